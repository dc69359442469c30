use std::{collections::HashMap, mem, sync::Arc, time::Duration};

use conf::{Document, Number, ZoneState, id};
use fault::{ErrorKind, Fault};
use tokio::time::Instant;
use wire::{Attempt, Fingerprint, Hint, Request, Suspect};

use crate::{
    Action, Descriptor, Event, Outcome, Policy, Status, Suspects, limiter::Limiter, pause,
    queue::Queue, throughput::Throughput,
};

/// Time after which a request may be retried that was not refused for want of capacity.
const RETRY_TIME: Duration = Duration::from_secs(1);
/// Time after which a request that is suspected of crashing endpoints may be retried.
const SUSPECT_RETRY_TIME: Duration = Duration::from_secs(60);
/// Time after a lost connection before a load report shows that the engine did not crash.
const CRASH_CHECK_TIME: Duration = Duration::from_millis(300);

/// Key of an attempt.
type Target = (Request, Attempt);

/// Admission controller: admits as many attempts as the endpoint can run and that can end by their
/// deadline.
///
/// It queues the others for a short time, by priority and fairly between teams, and refuses at once
/// what exceeds the queue.
pub struct Controller {
    endpoint: id::Endpoint,
    incarnation: id::Incarnation,
    /// Version of the configuration in force.
    version: Number,
    /// Version in which the endpoint, its zone or its service last changed.
    last_change: Number,
    document: Option<Arc<Document>>,
    /// Whether the engine answers.
    up: bool,
    shutting_down: bool,
    /// Attempts in the engine that this process of the agent did not start; `None` until the engine
    /// reports its load.
    inherited: Option<u32>,
    limiter: Limiter,
    pause: pause::Detector,
    throughput: Throughput,
    queue: Queue,
    /// Attempts from entries with a newer configuration, and until when they wait for it.
    awaiting_version: Vec<(Descriptor, Instant)>,
    running: HashMap<Target, Running>,
    suspects: Suspects,
    disconnect: Option<Disconnect>,
    /// Number of crashes that were detected.
    crashes: u64,
}

/// Admitted attempt.
struct Running {
    fingerprint: Fingerprint,
    began: Instant,
    /// Attempts in flight when it began, itself included.
    in_flight: u32,
}

/// Lost connection to the engine, which may be due to a crash.
struct Disconnect {
    at: Instant,
    /// Attempts that were running then.
    running: Vec<Fingerprint>,
}

/// # Construction
impl Controller {
    /// Creates a controller that admits nothing until the configuration and a load report arrive,
    /// and then starts at the cold limit.
    #[must_use]
    pub fn new(endpoint: id::Endpoint, incarnation: id::Incarnation, now: Instant) -> Self {
        Self {
            endpoint,
            incarnation,
            version: 0,
            last_change: 0,
            document: None,
            up: false,
            shutting_down: false,
            inherited: None,
            limiter: Limiter::new(now),
            pause: pause::Detector::new(now),
            throughput: Throughput::new(incarnation, now),
            queue: Queue::default(),
            awaiting_version: Vec::new(),
            running: HashMap::new(),
            suspects: Suspects::default(),
            disconnect: None,
            crashes: 0,
        }
    }
}

/// # Configuration
impl Controller {
    fn endpoint_config(&self) -> Option<&conf::Endpoint> {
        self.document.as_ref()?.endpoints.get(&self.endpoint)
    }

    fn apply_document(
        &mut self,
        version: Number,
        document: Arc<Document>,
        now: Instant,
    ) -> Vec<Action> {
        let first = self.document.is_none();
        let unchanged = self
            .document
            .as_ref()
            .is_some_and(|old| self.own_config(old) == self.own_config(&document));
        if !unchanged {
            self.last_change = version;
        }
        self.version = version;
        let limit = self.own_config(&document).0.map(|e| e.limit);
        let limit = limit.unwrap_or(conf::Limit { cold: 0, full: 0 });
        self.limiter.configure(limit, document.policy.warm_up);
        self.document = Some(document);
        if first {
            self.limiter.reset(now);
        }
        let mut actions = self.recheck_waiting(now);
        for (descriptor, _) in mem::take(&mut self.awaiting_version) {
            actions.extend(self.handle_offer(descriptor, now));
        }
        actions
    }

    /// Returns the parts of a configuration that concern this endpoint.
    fn own_config<'a>(
        &self,
        document: &'a Document,
    ) -> (
        Option<&'a conf::Endpoint>,
        Option<&'a conf::Zone>,
        Option<&'a conf::Service>,
    ) {
        let endpoint = document.endpoints.get(&self.endpoint);
        let zone = endpoint.and_then(|e| document.zones.get(&e.zone));
        let service = endpoint.and_then(|e| document.services.get(&e.service));
        (endpoint, zone, service)
    }

    fn queue_time(&self) -> Duration {
        let document = self.document.as_ref();
        document.map_or(Duration::ZERO, |d| d.policy.queue_time)
    }

    fn weight(&self, team: &id::Team) -> u32 {
        let document = self.document.as_ref();
        let team = document.and_then(|d| d.teams.get(team));
        team.map_or(1, |t| t.weight)
    }
}

/// # Admission
impl Controller {
    /// Returns why no attempt at all can be admitted now; `None` if some can.
    fn closed_reason(&self) -> Option<ErrorKind> {
        let (Some(document), Some(endpoint)) = (&self.document, self.endpoint_config()) else {
            return Some(ErrorKind::NotReady);
        };
        let zone = document.zones.get(&endpoint.zone);
        if self.shutting_down || endpoint.leaving {
            return Some(ErrorKind::Leaving);
        }
        if zone.is_none_or(|z| z.state == ZoneState::Out) {
            return Some(ErrorKind::ZoneOut);
        }
        if !self.pause.is_current() {
            return Some(ErrorKind::NotReady);
        }
        (!self.up).then_some(ErrorKind::NoEndpoint)
    }

    /// Returns why an attempt must not run here now; `None` if it may.
    fn refusal_reason(&self, descriptor: &Descriptor, now: Instant) -> Option<ErrorKind> {
        if let Some(kind) = self.closed_reason() {
            return Some(kind);
        }
        let config = self.endpoint_config();
        if config.is_none_or(|e| e.service != descriptor.service) {
            return Some(ErrorKind::UnknownService);
        }
        if descriptor.version < self.last_change {
            return Some(ErrorKind::StaleVersion);
        }
        if descriptor.deadline <= now {
            return Some(ErrorKind::DeadlineExpired);
        }
        (!self.may_run(descriptor.fingerprint)).then_some(ErrorKind::Suspect)
    }

    /// Returns whether suspicion permits a request to run here.
    ///
    /// A suspect request runs only at its quarantine endpoint if it has one, and nowhere once it is
    /// blocked.
    fn may_run(&self, fingerprint: Fingerprint) -> bool {
        if !self.suspects.is_suspect(fingerprint) {
            return true;
        }
        let document = self.document.as_ref();
        let quarantine = document.and_then(|d| self.suspects.quarantine_endpoint(fingerprint, d));
        !self.suspects.is_blocked(fingerprint)
            && quarantine.is_none_or(|endpoint| endpoint == self.endpoint)
    }

    fn handle_offer(&mut self, descriptor: Descriptor, now: Instant) -> Vec<Action> {
        if descriptor.version > self.version && self.document.is_some() {
            let until = descriptor.deadline.min(now + self.queue_time());
            self.awaiting_version.push((descriptor, until));
            return Vec::new();
        }
        if let Some(kind) = self.refusal_reason(&descriptor, now) {
            return vec![self.refuse(&descriptor, kind, now)];
        }
        let weight = self.weight(&descriptor.team);
        self.queue.push(descriptor, weight, self.queue_time(), now);
        let mut actions = self.admit_queued(now);
        while self.queue.len() > self.queue_capacity(now)
            && let Some(descriptor) = self.queue.remove_last()
        {
            actions.push(self.refuse(&descriptor, self.capacity_error(), now));
        }
        actions
    }

    /// Admits queued attempts while there is capacity; only one suspect request runs at a time.
    fn admit_queued(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.has_capacity() {
            let in_flight = self.in_flight();
            let (suspects, running) = (&self.suspects, &self.running);
            let may_join = |descriptor: &Descriptor| {
                let suspect_runs = || running.values().any(|r| suspects.is_suspect(r.fingerprint));
                !(suspects.is_suspect(descriptor.fingerprint) && suspect_runs())
            };
            let Some(descriptor) = self.queue.pop(may_join) else {
                break;
            };
            if !self.can_meet_deadline(&descriptor, now) {
                actions.push(self.refuse(&descriptor, self.capacity_error(), now));
                continue;
            }
            let running = Running {
                fingerprint: descriptor.fingerprint,
                began: now,
                in_flight: in_flight + 1,
            };
            let (request, attempt) = (descriptor.request, descriptor.attempt);
            self.running.insert((request.clone(), attempt), running);
            actions.push(Action::Admit { request, attempt });
        }
        actions
    }

    /// Returns the number of attempts in the engine, whichever process of the agent started them.
    fn in_flight(&self) -> u32 {
        let own = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        own.saturating_add(self.inherited.unwrap_or(0))
    }

    fn has_capacity(&self) -> bool {
        let known = self.inherited.is_some();
        self.closed_reason().is_none() && known && self.in_flight() < self.limiter.limit()
    }

    /// Returns how many attempts may be queued: as many as complete within the queue time, but at
    /// least one and at most the limit.
    fn queue_capacity(&self, now: Instant) -> usize {
        let limit = f64::from(self.limiter.limit());
        let completed = self
            .throughput
            .rate(now)
            .map_or(limit, |rate| rate * self.queue_time().as_secs_f64());
        completed.clamp(1.0, limit.max(1.0)) as usize
    }

    fn can_meet_deadline(&self, descriptor: &Descriptor, now: Instant) -> bool {
        let service_time = self.throughput.service_time().unwrap_or_default();
        now + service_time <= descriptor.deadline
    }

    /// Returns the kind of error for attempts that are refused for want of capacity.
    fn capacity_error(&self) -> ErrorKind {
        if self.limiter.is_cold() {
            ErrorKind::Cold
        } else {
            ErrorKind::Overloaded
        }
    }

    fn refuse(&mut self, descriptor: &Descriptor, kind: ErrorKind, now: Instant) -> Action {
        let retry_time = match kind {
            ErrorKind::Cold | ErrorKind::Overloaded => {
                let ahead = self.queue.count_ahead(descriptor.priority);
                let limit = self.limiter.limit();
                self.throughput
                    .retry_time(&descriptor.team, ahead, limit, now)
            }
            ErrorKind::Suspect => SUSPECT_RETRY_TIME,
            _ => RETRY_TIME,
        };
        Action::Refuse {
            request: descriptor.request.clone(),
            attempt: descriptor.attempt,
            fault: Fault::new(kind).retry_after(retry_time),
        }
    }

    /// Refuses waiting attempts that have expired or must not run here any more.
    fn recheck_waiting(&mut self, now: Instant) -> Vec<Action> {
        let mut refused = Vec::new();
        for descriptor in self.queue.remove_expired(now) {
            refused.push((descriptor, self.capacity_error()));
        }
        let mut queue = mem::take(&mut self.queue);
        let invalid =
            queue.remove_matching(|item| self.refusal_reason(&item.descriptor, now).is_some());
        for descriptor in invalid {
            let kind = self.refusal_reason(&descriptor, now);
            refused.push((descriptor, kind.unwrap_or(ErrorKind::Internal)));
        }
        self.queue = queue;
        let awaiting = mem::take(&mut self.awaiting_version);
        let (expired, awaiting): (Vec<_>, Vec<_>) =
            awaiting.into_iter().partition(|(_, until)| *until <= now);
        self.awaiting_version = awaiting;
        let expired = expired.into_iter();
        refused.extend(expired.map(|(descriptor, _)| (descriptor, ErrorKind::NotReady)));
        let refused = refused.into_iter();
        refused
            .map(|(descriptor, kind)| self.refuse(&descriptor, kind, now))
            .collect()
    }
}

/// # State of the engine
impl Controller {
    /// Stops admission until the next load report, and starts then at the cold limit.
    fn mark_down(&mut self, now: Instant) {
        self.up = false;
        self.inherited = None;
        self.limiter.reset(now);
    }

    fn handle_status(&mut self, status: Status, now: Instant) {
        match status {
            Status::Up => {}
            Status::Down | Status::Restarted => {
                self.mark_down(now);
                self.confirm_crash(now);
            }
            Status::Load { running, queued } => self.handle_load(running + queued, now),
        }
    }

    fn handle_load(&mut self, reported: u32, now: Instant) {
        let disconnect = self.disconnect.as_ref();
        if disconnect.is_some_and(|d| now < d.at + CRASH_CHECK_TIME) {
            return;
        }
        self.disconnect = None;
        if !self.up {
            self.limiter.reset(now);
        }
        self.up = true;
        self.pause.record_load_report();
        let own = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let inherited = reported.saturating_sub(own);
        let known = self.inherited.unwrap_or(inherited);
        self.inherited = Some(known.min(inherited));
    }

    /// Records the last lost connection as a crash, if there was one.
    fn confirm_crash(&mut self, now: Instant) {
        if let Some(disconnect) = self.disconnect.take() {
            self.crashes += 1;
            let number = self.incarnation.wrapping_add(self.crashes);
            self.suspects
                .record_crash(&self.endpoint, number, disconnect.running, now);
        }
    }

    fn handle_first_chunk(&mut self, target: &Target, now: Instant) {
        if let Some(running) = self.running.get(target) {
            let time = now.duration_since(running.began);
            self.limiter.record_first_chunk(time, now);
        }
    }

    fn handle_finished(&mut self, target: &Target, outcome: Outcome, now: Instant) {
        if outcome == Outcome::Disconnected && self.running.contains_key(target) {
            let running = self.running.values().map(|r| r.fingerprint).collect();
            self.disconnect
                .get_or_insert(Disconnect { at: now, running });
            self.mark_down(now);
        }
        let Some(running) = self.running.remove(target) else {
            return;
        };
        let service_time = now.duration_since(running.began);
        match outcome {
            Outcome::Done => {
                self.throughput.record_completion(service_time, now);
                self.limiter
                    .record_completion(running.began, running.in_flight, now);
                self.suspects.clear(running.fingerprint);
            }
            Outcome::Failed => self.throughput.record_completion(service_time, now),
            Outcome::Disconnected | Outcome::Cancelled => {}
        }
    }

    fn withdraw(&mut self, target: &Target) {
        self.running.remove(target);
        let is_target = |descriptor: &Descriptor| {
            descriptor.request == target.0 && descriptor.attempt == target.1
        };
        self.queue
            .remove_matching(|item| is_target(&item.descriptor));
        self.awaiting_version
            .retain(|(descriptor, _)| !is_target(descriptor));
    }
}

impl Policy for Controller {
    fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        self.pause.record_event(matches!(event, Event::Tick), now);
        let mut actions = Vec::new();
        match event {
            Event::Document { number, document } => {
                actions = self.apply_document(number, document, now);
            }
            Event::Offer(descriptor) => return self.handle_offer(descriptor, now),
            Event::Withdrawn { request, attempt } => self.withdraw(&(request, attempt)),
            Event::FirstChunk { request, attempt } => {
                self.handle_first_chunk(&(request, attempt), now);
            }
            Event::Finished {
                request,
                attempt,
                outcome,
            } => self.handle_finished(&(request, attempt), outcome, now),
            Event::Status(status) => self.handle_status(status, now),
            Event::Shutdown => self.shutting_down = true,
            Event::Suspects(suspects) => self.suspects.merge(&suspects, now),
            Event::Tick => self.suspects.expire(now),
        }
        actions.extend(self.recheck_waiting(now));
        actions.extend(self.admit_queued(now));
        actions
    }

    fn hint(&self) -> Hint {
        Hint {
            running: self.in_flight(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            limit: self.limiter.limit(),
            open: self.closed_reason().is_none(),
            incarnation: self.incarnation,
        }
    }

    fn suspects(&self, now: Instant) -> Vec<Suspect> {
        self.suspects.list(now)
    }
}
