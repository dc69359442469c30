use std::time::Duration;

use conf::id;
use event::Kind;
use fault::ErrorKind;
use route::Event;
use wire::Hint;

use crate::{
    agent,
    entry::Stage,
    world::{Due, Epoch, State, World},
};

/// Time in which a heartbeat must be answered.
const ANSWER: Duration = Duration::from_secs(1);

/// Link to an agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Link {
    pub(crate) epoch: Epoch,
    pub(crate) life: id::Incarnation,
    pub(crate) up: bool,
    pub(crate) hint: Option<Hint>,
    pub(crate) unanswered: Option<Duration>,
}

/// # Links
impl World {
    pub(crate) fn entry_tick(&mut self, name: &id::Process, beat: bool) {
        let running = |name: &&id::Process| self.processes[*name].state == State::Running;
        let entries = self.entries.keys().filter(running).count();
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        self.tell_entry(name, Event::EntryCount(entries));
        self.tell_entry(name, Event::Tick);
        let now = self.now;
        let overdue = |link: &Link| link.unanswered.is_some_and(|sent| sent + ANSWER <= now);
        let links = &self.entry(name).links;
        let lost: Vec<_> = links
            .iter()
            .filter(|(_, link)| overdue(link))
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in lost {
            self.link_down(name, &endpoint);
        }
        if beat {
            self.beat_all(name);
        }
    }

    /// Sends a heartbeat on each link that owes no answer; dials those that are new or lost.
    fn beat_all(&mut self, name: &id::Process) {
        let Some(document) = self.processes[name].fold.document().cloned() else {
            return;
        };
        let (now, position) = (self.now, self.processes[name].records.len());
        let instant = self.instant();
        let suspects = self.entry(name).policy.suspects(instant);
        let beat = agent::Message::Beat(position, suspects);
        for endpoint in document.endpoints.keys() {
            let life = self.processes[endpoint].life;
            let link = self.entry(name).links.entry(endpoint.clone()).or_default();
            if link.unanswered.is_some() {
                continue;
            }
            if !link.up {
                link.life = life;
            }
            link.unanswered = Some(now);
            self.pass(name, endpoint, beat.clone());
        }
    }

    pub(crate) fn beat(
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
        link.unanswered = None;
        link.hint = Some(hint);
        let endpoint = endpoint.clone();
        if !std::mem::replace(&mut link.up, true) {
            let peer = endpoint.clone();
            self.note(name, None, Kind::Member { peer, up: true });
            let endpoint = endpoint.clone();
            self.tell_entry(name, Event::Connected { endpoint });
        }
        self.tell_entry(name, Event::Hint { endpoint, hint });
    }

    /// Hands over what the agent at the other end lacks of the published log.
    pub(crate) fn teach(&mut self, name: &id::Process, to: &id::Endpoint, reached: usize) {
        let records = &self.processes[name].records;
        if reached < records.len() {
            let page = records[reached..].to_vec();
            self.pass(name, to, agent::Message::Teach(reached, page));
        }
    }

    /// Gives a link up: what was on it is broken at both ends, and the next dial is a new link.
    fn link_down(&mut self, name: &id::Process, endpoint: &id::Endpoint) {
        let link = self.entry(name).links.entry(endpoint.clone()).or_default();
        let (was_up, epoch, life) = (link.up, link.epoch, link.life);
        *link = Link {
            epoch: epoch + 1,
            ..Link::default()
        };
        let closed = agent::Timer::Closed(name.clone(), epoch);
        self.after(Duration::ZERO, Due::Agent(endpoint.clone(), life, closed));
        if !was_up {
            return;
        }
        let peer = endpoint.clone();
        self.note(name, None, Kind::Member { peer, up: false });
        let down = Event::Disconnected {
            endpoint: endpoint.clone(),
        };
        self.tell_entry(name, down);
        self.break_calls(name, endpoint);
    }

    fn break_calls(&mut self, name: &id::Process, endpoint: &id::Endpoint) {
        let at = |stage: &Stage| {
            stage
                .attempt()
                .filter(|(_, at)| *at == endpoint)
                .map(|(a, _)| a)
        };
        let calls = &self.entry(name).calls;
        let broken: Vec<_> = calls
            .iter()
            .filter_map(|(request, call)| {
                let offered = matches!(call.stage, Stage::Offered(..));
                at(&call.stage).map(|attempt| (request.clone(), attempt, offered))
            })
            .collect();
        for (request, attempt, offered) in broken {
            if offered {
                self.unanswered(name, &request, attempt);
            } else {
                self.broken(name, &request, ErrorKind::Interrupted.into());
            }
        }
    }
}
