use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use conf::{Document, id};
use event::{Kind, Recorder};
use node::Observer;
use peer::Members;
use route::Event;
use wire::{Heartbeat, Hint, Role};

use crate::dispatch::Dispatcher;

/// Endpoints that this entry routes to, with the state of the links to their agents.
///
/// Reports changes of links and load to the dispatcher.
///
/// Lock order: `by_agent` before `hints`; neither is held across an await or a call to the
/// dispatcher.
pub(crate) struct Endpoints {
    dispatcher: Dispatcher,
    recorder: Recorder,
    /// Endpoint at each agent's address, and whether the link to that agent is up.
    by_agent: Mutex<HashMap<SocketAddr, (id::Endpoint, bool)>>,
    /// Load that each endpoint reported last.
    hints: Mutex<BTreeMap<id::Endpoint, Hint>>,
    members: Arc<Members>,
    /// Name of this process, which determines its subset of the endpoints of large services.
    process: id::Process,
    /// Availability zone of this process.
    zone: id::Zone,
}

impl Endpoints {
    /// Creates a set without endpoints; [`Self::apply`] adds them.
    pub(crate) fn new(
        process: id::Process,
        zone: id::Zone,
        dispatcher: Dispatcher,
        recorder: Recorder,
        members: Arc<Members>,
    ) -> Arc<Self> {
        Arc::new(Self {
            dispatcher,
            recorder,
            by_agent: Mutex::default(),
            hints: Mutex::default(),
            members,
            process,
            zone,
        })
    }

    /// Applies a new configuration and returns the addresses of the agents to connect to.
    pub(crate) fn apply(&self, document: &Document) -> Vec<SocketAddr> {
        let Ok(mut by_agent) = self.by_agent.lock() else {
            return Vec::new();
        };
        let old = std::mem::take(&mut *by_agent);
        let subset = route::select_subset(document, &self.process, &self.zone);
        let published = document.endpoints.iter();
        for (name, endpoint) in published.filter(|(name, _)| subset.contains(name)) {
            let up = old
                .get(&endpoint.agent)
                .is_some_and(|(known, up)| known == name && *up);
            by_agent.insert(endpoint.agent, (name.clone(), up));
        }
        by_agent.keys().copied().collect()
    }

    /// Returns the load that each endpoint reported last.
    pub(crate) fn hints(&self) -> BTreeMap<id::Endpoint, Hint> {
        self.hints
            .lock()
            .map(|hints| hints.clone())
            .unwrap_or_default()
    }

    /// Returns the incarnation of an endpoint's agent, from its last load report.
    pub(crate) fn incarnation(&self, endpoint: &id::Endpoint) -> Option<id::Incarnation> {
        let hints = self.hints.lock().ok()?;
        hints.get(endpoint).map(|hint| hint.incarnation)
    }

    /// Reports to the dispatcher how many entries share the rate limits of the teams.
    pub(crate) fn report_entry_count(&self) {
        let members = self.members.list();
        let others = members
            .iter()
            .filter(|m| m.role == Role::Entry && m.process != self.process && !m.leaving);
        let entries = u32::try_from(others.count()).unwrap_or(u32::MAX);
        self.dispatcher
            .notify(Event::EntryCount(entries.saturating_add(1)));
    }

    /// Sets the state of a link and returns its endpoint and whether the state changed.
    fn set_link_state(&self, address: SocketAddr, up: bool) -> Option<(id::Endpoint, bool)> {
        let mut by_agent = self.by_agent.lock().ok()?;
        let (endpoint, was_up) = by_agent.get_mut(&address)?;
        let changed = *was_up != up;
        *was_up = up;
        Some((endpoint.clone(), changed))
    }
}

impl Observer for Endpoints {
    fn on_heartbeat(&self, address: SocketAddr, heartbeat: &Heartbeat) {
        self.members.record_heartbeat(heartbeat);
        let Some((endpoint, changed)) = self.set_link_state(address, true) else {
            return;
        };
        if changed {
            self.recorder.record(
                None,
                Kind::Member {
                    peer: heartbeat.member.process.clone(),
                    up: true,
                },
            );
            self.dispatcher.notify(Event::Connected {
                endpoint: endpoint.clone(),
            });
        }
        if let Some(hint) = heartbeat.hint {
            if let Ok(mut hints) = self.hints.lock() {
                hints.insert(endpoint.clone(), hint);
            }
            self.dispatcher.notify(Event::Hint { endpoint, hint });
        }
    }

    fn on_disconnect(&self, address: SocketAddr) {
        let Some((endpoint, true)) = self.set_link_state(address, false) else {
            return;
        };
        self.recorder.record(
            None,
            Kind::Member {
                peer: endpoint.clone(),
                up: false,
            },
        );
        self.dispatcher.notify(Event::Disconnected { endpoint });
    }
}
