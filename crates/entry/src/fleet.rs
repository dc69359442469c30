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

use crate::choose::Chooser;

/// Knows which endpoint stands behind which address, and tells the chooser what links bring.
///
/// Lock order: `endpoints` before `hints`; neither is held across an await or into the chooser.
pub(crate) struct Fleet {
    chooser: Chooser,
    recorder: Recorder,
    endpoints: Mutex<HashMap<SocketAddr, (id::Endpoint, bool)>>,
    hints: Mutex<BTreeMap<id::Endpoint, Hint>>,
    members: Arc<Members>,
    /// Name of the own process, which picks its part of large services.
    name: id::Process,
    /// Own availability zone.
    zone: id::Zone,
}

impl Fleet {
    /// Creates an empty fleet.
    pub(crate) fn new(
        name: id::Process,
        zone: id::Zone,
        chooser: Chooser,
        recorder: Recorder,
        members: Arc<Members>,
    ) -> Arc<Self> {
        Arc::new(Self {
            chooser,
            recorder,
            endpoints: Mutex::default(),
            hints: Mutex::default(),
            members,
            name,
            zone,
        })
    }

    /// Takes in a new document and returns the addresses to link to.
    pub(crate) fn adopt(&self, document: &Document) -> Vec<SocketAddr> {
        let Ok(mut endpoints) = self.endpoints.lock() else {
            return Vec::new();
        };
        let old = std::mem::take(&mut *endpoints);
        let chosen = route::select_subset(document, &self.name, &self.zone);
        let linked = document.endpoints.iter();
        for (name, endpoint) in linked.filter(|(name, _)| chosen.contains(name)) {
            let up = old
                .get(&endpoint.agent)
                .is_some_and(|(known, up)| known == name && *up);
            endpoints.insert(endpoint.agent, (name.clone(), up));
        }
        endpoints.keys().copied().collect()
    }

    /// Returns the last load of each endpoint that can be reached.
    pub(crate) fn hints(&self) -> BTreeMap<id::Endpoint, Hint> {
        self.hints
            .lock()
            .map(|hints| hints.clone())
            .unwrap_or_default()
    }

    /// Returns the life of an endpoint's agent that was seen last.
    pub(crate) fn incarnation(&self, endpoint: &id::Endpoint) -> Option<id::Incarnation> {
        let hints = self.hints.lock().ok()?;
        hints.get(endpoint).map(|hint| hint.incarnation)
    }

    /// Tells the chooser how many entries share the teams' rates.
    pub(crate) fn count(&self) {
        let members = self.members.list();
        let others = members
            .iter()
            .filter(|m| m.role == Role::Entry && m.process != self.name && !m.leaving);
        let entries = u32::try_from(others.count()).unwrap_or(u32::MAX);
        self.chooser
            .tell(Event::EntryCount(entries.saturating_add(1)));
    }

    /// Marks a link and returns the endpoint and whether the mark changed.
    fn mark(&self, address: SocketAddr, up: bool) -> Option<(id::Endpoint, bool)> {
        let mut endpoints = self.endpoints.lock().ok()?;
        let (endpoint, was) = endpoints.get_mut(&address)?;
        let changed = *was != up;
        *was = up;
        Some((endpoint.clone(), changed))
    }
}

impl Observer for Fleet {
    fn on_heartbeat(&self, address: SocketAddr, beat: &Heartbeat) {
        self.members.record_heartbeat(beat);
        let Some((endpoint, changed)) = self.mark(address, true) else {
            return;
        };
        if changed {
            self.recorder.record(
                None,
                Kind::Member {
                    peer: beat.member.process.clone(),
                    up: true,
                },
            );
            self.chooser.tell(Event::Connected {
                endpoint: endpoint.clone(),
            });
        }
        if let Some(hint) = beat.hint {
            if let Ok(mut hints) = self.hints.lock() {
                hints.insert(endpoint.clone(), hint);
            }
            self.chooser.tell(Event::Hint { endpoint, hint });
        }
    }

    fn on_disconnect(&self, address: SocketAddr) {
        let Some((endpoint, true)) = self.mark(address, false) else {
            return;
        };
        self.recorder.record(
            None,
            Kind::Member {
                peer: endpoint.clone(),
                up: false,
            },
        );
        self.chooser.tell(Event::Disconnected { endpoint });
    }
}
