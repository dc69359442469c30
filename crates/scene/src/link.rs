use std::time::Duration;

use conf::id;
use event::Kind;
use fault::ErrorKind;
use route::Event;
use wire::Hint;

use crate::{
    agent,
    entry::Stage,
    simulation::{Epoch, Simulation, State, Task},
};

/// Time without an answer to a heartbeat after which a link is closed.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// State of an entry's link to an agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Link {
    pub(crate) epoch: Epoch,
    /// Incarnation of the agent to which messages are sent.
    pub(crate) incarnation: id::Incarnation,
    /// Whether a heartbeat was answered on this connection.
    pub(crate) up: bool,
    pub(crate) hint: Option<Hint>,
    /// Time at which the unanswered heartbeat was sent.
    pub(crate) awaiting_since: Option<Duration>,
}

/// # Links
impl Simulation {
    pub(crate) fn entry_tick(&mut self, name: &id::Process, heartbeat_due: bool) {
        let running = |name: &&id::Process| self.processes[*name].state == State::Running;
        let entries = self.entries.keys().filter(running).count();
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        self.notify_entry(name, Event::EntryCount(entries));
        self.notify_entry(name, Event::Tick);
        let now = self.now;
        let overdue = |link: &Link| {
            link.awaiting_since
                .is_some_and(|sent| sent + HEARTBEAT_TIMEOUT <= now)
        };
        let links = &self.entry(name).links;
        let timed_out: Vec<_> = links
            .iter()
            .filter(|(_, link)| overdue(link))
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in timed_out {
            self.close_link(name, &endpoint);
        }
        if heartbeat_due {
            self.send_heartbeats(name);
        }
    }

    /// Sends a heartbeat on each link without an unanswered one; connects links that are down.
    fn send_heartbeats(&mut self, name: &id::Process) {
        let Some(document) = self.processes[name].config.document().cloned() else {
            return;
        };
        let (now, known_records) = (self.now, self.processes[name].records.len());
        let instant = self.instant();
        let suspects = self.entry(name).policy.suspects(instant);
        let heartbeat = agent::Message::Heartbeat(known_records, suspects);
        for endpoint in document.endpoints.keys() {
            let incarnation = self.processes[endpoint].incarnation;
            let link = self.entry(name).links.entry(endpoint.clone()).or_default();
            if link.awaiting_since.is_some() {
                continue;
            }
            if !link.up {
                link.incarnation = incarnation;
            }
            link.awaiting_since = Some(now);
            self.send_to_agent(name, endpoint, heartbeat.clone());
        }
    }

    pub(crate) fn handle_heartbeat(
        &mut self,
        name: &id::Process,
        endpoint: &id::Endpoint,
        epoch: Epoch,
        hint: Hint,
    ) {
        let link = self.entry(name).links.entry(endpoint.clone()).or_default();
        if link.epoch != epoch {
            return;
        }
        link.awaiting_since = None;
        link.hint = Some(hint);
        let endpoint = endpoint.clone();
        if !std::mem::replace(&mut link.up, true) {
            let peer = endpoint.clone();
            self.record_event(name, None, Kind::Member { peer, up: true });
            let endpoint = endpoint.clone();
            self.notify_entry(name, Event::Connected { endpoint });
        }
        self.notify_entry(name, Event::Hint { endpoint, hint });
    }

    /// Sends an agent the published records after the first `known`.
    pub(crate) fn send_missing_records(
        &mut self,
        name: &id::Process,
        to: &id::Endpoint,
        known: usize,
    ) {
        let records = &self.processes[name].records;
        if known < records.len() {
            let missing = records[known..].to_vec();
            self.send_to_agent(name, to, agent::Message::Records(known, missing));
        }
    }

    /// Closes a link, which ends its attempts on both sides; the next heartbeat reconnects.
    fn close_link(&mut self, name: &id::Process, endpoint: &id::Endpoint) {
        let link = self.entry(name).links.entry(endpoint.clone()).or_default();
        let (was_up, epoch, incarnation) = (link.up, link.epoch, link.incarnation);
        *link = Link {
            epoch: epoch + 1,
            ..Link::default()
        };
        let closed = agent::Notification::LinkClosed(name.clone(), epoch);
        self.schedule_after(
            Duration::ZERO,
            Task::AgentNotification(endpoint.clone(), incarnation, closed),
        );
        if !was_up {
            return;
        }
        let peer = endpoint.clone();
        self.record_event(name, None, Kind::Member { peer, up: false });
        let disconnected = Event::Disconnected {
            endpoint: endpoint.clone(),
        };
        self.notify_entry(name, disconnected);
        self.interrupt_attempts(name, endpoint);
    }

    fn interrupt_attempts(&mut self, name: &id::Process, endpoint: &id::Endpoint) {
        let attempt_at_endpoint = |stage: &Stage| {
            stage
                .attempt()
                .filter(|(_, offered_to)| *offered_to == endpoint)
                .map(|(attempt, _)| attempt)
        };
        let calls = &self.entry(name).calls;
        let interrupted: Vec<_> = calls
            .iter()
            .filter_map(|(request, call)| {
                let offered = matches!(call.stage, Stage::Offered(..));
                attempt_at_endpoint(&call.stage).map(|attempt| (request.clone(), attempt, offered))
            })
            .collect();
        for (request, attempt, offered) in interrupted {
            if offered {
                self.handle_missing_verdict(name, &request, attempt);
            } else {
                self.handle_interruption(name, &request, ErrorKind::Interrupted.into());
            }
        }
    }
}
