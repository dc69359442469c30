use std::sync::Arc;

use conf::{Document, Number, ZoneState, id};
use event::Kind;
use smol_str::{SmolStr, ToSmolStr as _, format_smolstr};

use crate::{
    Act, Send,
    world::{Due, LATENCY, Platform, Sent, State, World},
};

/// # Configuration
impl World {
    pub(crate) fn publish(&mut self) {
        let number = self.log.len() as u64 + 1;
        let document = serde_json::to_value(&self.document).unwrap_or_default();
        let record = serde_json::json!({ "number": number, "document": document });
        self.log.push(record.to_smolstr());
    }

    pub(crate) fn read_platform(&mut self, name: &id::Process) {
        let shown = match self.platform {
            Platform::Down => return,
            Platform::Stale(length) => length,
            Platform::Up => self.log.len(),
        };
        if self.is_cut(name, &SmolStr::new_static("platform")) {
            return;
        }
        let known = self.processes[name].records.len();
        if known < shown {
            let page = self.log[known..shown].to_vec();
            let life = self.processes[name].life;
            self.after(2 * LATENCY, Due::Page(name.clone(), life, known, page));
        }
    }

    /// Lets a process take in published records after a place in the log, from the platform or a peer.
    pub(crate) fn adopt(&mut self, name: &id::Process, after: usize, records: &[SmolStr]) {
        let known = self.processes[name].records.len();
        for record in records.iter().skip(known.saturating_sub(after)) {
            let Some(process) = self.processes.get_mut(name) else {
                return;
            };
            let before = process.fold.version().number;
            if process.fold.apply(record).is_err() {
                return;
            }
            process.records.push(record.clone());
            let (number, life) = (process.fold.version().number, process.life);
            if number == before {
                continue;
            }
            let document = process.fold.document().cloned();
            self.facts
                .versions
                .push((self.now, name.clone(), life, number));
            self.note(name, None, Kind::Version { number });
            if let Some(document) = document {
                self.enforce(name, number, document);
            }
        }
    }

    fn enforce(&mut self, name: &id::Process, number: Number, document: Arc<Document>) {
        if self.entries.contains_key(name) {
            self.tell_entry(name, route::Event::Document(document));
        } else {
            self.adopt_agent(name, number, document);
        }
    }
}

/// # Acts
impl World {
    pub(crate) fn act(&mut self, act: Act) {
        match act {
            Act::Send(send) => self.callers(&send),
            Act::Key {
                key,
                service,
                entry,
            } => self.issue_named(key, &service, &entry),
            Act::Kill(name) => self.kill(&name),
            Act::Start(name) => self.start(&name),
            Act::Stop(name) => self.set_state(&name, State::Stopped),
            Act::Continue(name) => self.wake(&name),
            Act::Terminate(name) => self.terminate(&name),
            Act::Cut(a, b) => {
                self.cuts.insert((a, b));
            }
            Act::Heal(a, b) => {
                let pair = (a, b);
                self.cuts.remove(&pair);
                self.delays.remove(&pair);
            }
            Act::Late(a, b, time) => {
                self.delays.insert((a, b), time);
            }
            Act::Silence(a, b) => self.silence(&a, &b),
            Act::Zone(zone, out) => {
                let state = if out { ZoneState::Out } else { ZoneState::In };
                if let Some(zone) = self.document.zones.get_mut(&zone) {
                    zone.state = state;
                }
                self.publish();
            }
            Act::Leave(name) => {
                if let Some(endpoint) = self.document.endpoints.get_mut(&name) {
                    endpoint.leaving = true;
                }
                self.publish();
            }
            Act::Publish => self.publish(),
            Act::PlatformDown => self.platform = Platform::Down,
            Act::PlatformStale => self.platform = Platform::Stale(self.log.len()),
            Act::PlatformUp => self.platform = Platform::Up,
            Act::EngineDown(..)
            | Act::EngineUp(..)
            | Act::EngineRestart(..)
            | Act::EngineStall(..)
            | Act::EngineTakes(..)
            | Act::EngineCross(..) => self.machine_act(&act),
        }
    }

    fn callers(&mut self, send: &Send) {
        for i in 0..send.count {
            let number = self.facts.sent.len() + 1;
            let request = format_smolstr!("r{number}");
            let once = self.document.services[&send.service]
                .routes
                .iter()
                .any(|route| !route.repeatable);
            let own = once.then(|| format_smolstr!("key-{number}"));
            let sent = Sent {
                request: request.clone(),
                entry: send.entries[i as usize % send.entries.len()].clone(),
                service: send.service.clone(),
                team: send.team.clone(),
                fresh: once && send.key.is_none(),
                key: send.key.clone().filter(|_| once).or(own),
                poison: send.poison,
                at: self.now + send.every * i,
                end: None,
            };
            self.facts.sent.insert(request, sent.clone());
            self.at(sent.at, Due::Sent(sent));
        }
    }

    fn set_state(&mut self, name: &id::Process, state: State) {
        if let Some(process) = self.processes.get_mut(name) {
            process.state = state;
        }
    }

    fn kill(&mut self, name: &id::Process) {
        self.set_state(name, State::Dead);
        self.entry_killed(name);
    }

    fn wake(&mut self, name: &id::Process) {
        self.set_state(name, State::Running);
        let Some(process) = self.processes.get_mut(name) else {
            return;
        };
        for due in std::mem::take(&mut process.frozen) {
            self.dispatch(due);
        }
    }

    fn silence(&mut self, a: &SmolStr, b: &SmolStr) {
        let pair = (a.clone(), b.clone());
        let mut silent = Vec::new();
        for (name, entry) in &self.entries {
            for (endpoint, link) in &entry.links {
                if self.apart(name, endpoint, &pair) {
                    silent.push((name.clone(), endpoint.clone(), link.epoch));
                }
            }
        }
        self.silent.extend(silent);
    }

    fn terminate(&mut self, name: &id::Process) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.leaving = true;
        } else {
            self.tell_agent(name, gate::Event::Shutdown);
        }
    }
}
