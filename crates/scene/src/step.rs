use std::sync::Arc;

use conf::{Document, Number, ZoneState, id};
use event::Kind;
use smol_str::{SmolStr, ToSmolStr as _, format_smolstr};

use crate::{
    Batch, Step,
    simulation::{MIN_LATENCY, Platform, Simulation, State, Submission, Task},
};

/// # Configuration
impl Simulation {
    pub(crate) fn publish(&mut self) {
        let number = self.published.len() as u64 + 1;
        let document = serde_json::to_value(&self.document).unwrap_or_default();
        let record = serde_json::json!({ "number": number, "document": document });
        self.published.push(record.to_smolstr());
    }

    pub(crate) fn read_platform(&mut self, name: &id::Process) {
        let available = match self.platform {
            Platform::Down => return,
            Platform::Stale(length) => length,
            Platform::Up => self.published.len(),
        };
        if self.is_partitioned(name, &SmolStr::new_static("platform")) {
            return;
        }
        let known = self.processes[name].records.len();
        if known < available {
            let missing = self.published[known..available].to_vec();
            let incarnation = self.processes[name].incarnation;
            self.schedule_after(
                2 * MIN_LATENCY,
                Task::Records(name.clone(), incarnation, known, missing),
            );
        }
    }

    /// Applies published records from the platform or a peer to a process, skipping known ones.
    ///
    /// `offset` is the position of the first of `records` in the published log.
    pub(crate) fn apply_records(&mut self, name: &id::Process, offset: usize, records: &[SmolStr]) {
        let known = self.processes[name].records.len();
        for record in records.iter().skip(known.saturating_sub(offset)) {
            let Some(process) = self.processes.get_mut(name) else {
                return;
            };
            let before = process.config.version().number;
            if process.config.apply(record).is_err() {
                return;
            }
            process.records.push(record.clone());
            let (number, incarnation) = (process.config.version().number, process.incarnation);
            if number == before {
                continue;
            }
            let document = process.config.document().cloned();
            self.trace
                .versions
                .push((self.now, name.clone(), incarnation, number));
            self.record_event(name, None, Kind::Version { number });
            if let Some(document) = document {
                self.apply_document(name, number, document);
            }
        }
    }

    fn apply_document(&mut self, name: &id::Process, number: Number, document: Arc<Document>) {
        if self.entries.contains_key(name) {
            self.notify_entry(name, route::Event::Document(document));
        } else {
            self.configure_agent(name, number, document);
        }
    }
}

/// # Steps
impl Simulation {
    pub(crate) fn perform(&mut self, step: Step) {
        match step {
            Step::Send(batch) => self.send_batch(&batch),
            Step::IssueKey {
                name,
                service,
                entry,
            } => self.issue_key(name, &service, &entry),
            Step::Kill(name) => self.kill(&name),
            Step::Start(name) => self.start_process(&name),
            Step::Stop(name) => self.set_state(&name, State::Paused),
            Step::Continue(name) => self.resume(&name),
            Step::Terminate(name) => self.terminate(&name),
            Step::Cut(a, b) => {
                self.partitions.insert((a, b));
            }
            Step::Heal(a, b) => {
                let pair = (a, b);
                self.partitions.remove(&pair);
                self.delays.remove(&pair);
            }
            Step::Delay(a, b, time) => {
                self.delays.insert((a, b), time);
            }
            Step::Silence(a, b) => self.silence(&a, &b),
            Step::Zone(zone, out) => {
                let state = if out { ZoneState::Out } else { ZoneState::In };
                if let Some(zone) = self.document.zones.get_mut(&zone) {
                    zone.state = state;
                }
                self.publish();
            }
            Step::Leave(name) => {
                if let Some(endpoint) = self.document.endpoints.get_mut(&name) {
                    endpoint.leaving = true;
                }
                self.publish();
            }
            Step::Publish => self.publish(),
            Step::PlatformDown => self.platform = Platform::Down,
            Step::PlatformStale => self.platform = Platform::Stale(self.published.len()),
            Step::PlatformUp => self.platform = Platform::Up,
            Step::EngineDown(..)
            | Step::EngineUp(..)
            | Step::EngineRestart(..)
            | Step::EngineStall(..)
            | Step::EngineRunTime(..)
            | Step::EngineCross(..) => self.perform_engine_step(&step),
        }
    }

    fn send_batch(&mut self, batch: &Batch) {
        for index in 0..batch.count {
            let number = self.trace.submissions.len() + 1;
            let request = format_smolstr!("r{number}");
            let at_most_once = self.document.services[&batch.service]
                .routes
                .iter()
                .any(|route| !route.repeatable);
            let generated_key = at_most_once.then(|| format_smolstr!("key-{number}"));
            let submission = Submission {
                request: request.clone(),
                entry: batch.entries[index as usize % batch.entries.len()].clone(),
                service: batch.service.clone(),
                team: batch.team.clone(),
                keyless: at_most_once && batch.key.is_none(),
                key: batch.key.clone().filter(|_| at_most_once).or(generated_key),
                poison: batch.poison,
                sent_at: self.now + batch.interval * index,
                outcome: None,
            };
            self.trace.submissions.insert(request, submission.clone());
            self.schedule_at(submission.sent_at, Task::Submission(submission));
        }
    }

    fn set_state(&mut self, name: &id::Process, state: State) {
        if let Some(process) = self.processes.get_mut(name) {
            process.state = state;
        }
    }

    fn kill(&mut self, name: &id::Process) {
        self.set_state(name, State::Dead);
        self.disconnect_clients(name);
    }

    fn resume(&mut self, name: &id::Process) {
        self.set_state(name, State::Running);
        let Some(process) = self.processes.get_mut(name) else {
            return;
        };
        for task in std::mem::take(&mut process.deferred) {
            self.dispatch(task);
        }
    }

    fn silence(&mut self, a: &SmolStr, b: &SmolStr) {
        let pair = (a.clone(), b.clone());
        let mut links = Vec::new();
        for (name, entry) in &self.entries {
            for (endpoint, link) in &entry.links {
                if self.is_between(name, endpoint, &pair) {
                    links.push((name.clone(), endpoint.clone(), link.epoch));
                }
            }
        }
        self.silent_links.extend(links);
    }

    fn terminate(&mut self, name: &id::Process) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.shutting_down = true;
        } else {
            self.notify_agent(name, gate::Event::Shutdown);
        }
    }
}
