use std::{collections::HashMap, mem, sync::Arc, time::Duration};

use conf::{Document, Number, ZoneState, id};
use fault::{ErrorKind, Fault};
use tokio::time::Instant;
use wire::{Attempt, Fingerprint, Hint, Request, Suspect};

use crate::{
    Action, Descriptor, Event, Outcome, Policy, Status, Suspects, drain::Drain, pulse::Pulse,
    queue::Queue, ramp::Ramp,
};

/// Time after which a request comes back that another endpoint could not take either.
const COME_BACK: Duration = Duration::from_secs(1);
/// Time after which a request that crashes endpoints may be sent again.
const SUSPECT_BACK: Duration = Duration::from_secs(60);
/// Time after a broken connection before a sign of load tells that the endpoint lives.
const VERIFY: Duration = Duration::from_millis(300);

type Target = (Request, Attempt);

/// Admits what the endpoint can bear and what can still end in time; queues the rest for a short
/// time, by priority and fair between teams, and refuses what is beyond that at once.
pub struct Controller {
    endpoint: id::Endpoint,
    incarnation: id::Incarnation,
    number: Number,
    /// Version in which the endpoint, its zone or its service last changed.
    changed: Number,
    document: Option<Arc<Document>>,
    up: bool,
    leaving: bool,
    /// Attempts at the engine that this life of the agent did not start; `None` if not known yet.
    foreign: Option<u32>,
    ramp: Ramp,
    pulse: Pulse,
    drain: Drain,
    queue: Queue,
    /// Attempts whose sender knows a newer version, and until when they wait for it.
    learning: Vec<(Descriptor, Instant)>,
    running: HashMap<Target, Running>,
    suspects: Suspects,
    broken: Option<Broken>,
    crashes: u64,
}

/// Attempt that was admitted.
struct Running {
    fingerprint: Fingerprint,
    began: Instant,
    /// Attempts in flight when it began, with itself.
    beside: u32,
}

/// Broken connection that may tell of a crash.
struct Broken {
    at: Instant,
    /// What ran then.
    running: Vec<Fingerprint>,
}

/// # Construction
impl Controller {
    /// Creates a policy for an endpoint in cold start.
    #[must_use]
    pub fn new(endpoint: id::Endpoint, incarnation: id::Incarnation, now: Instant) -> Self {
        Self {
            endpoint,
            incarnation,
            number: 0,
            changed: 0,
            document: None,
            up: false,
            leaving: false,
            foreign: None,
            ramp: Ramp::new(now),
            pulse: Pulse::new(now),
            drain: Drain::new(incarnation, now),
            queue: Queue::default(),
            learning: Vec::new(),
            running: HashMap::new(),
            suspects: Suspects::default(),
            broken: None,
            crashes: 0,
        }
    }
}

/// # Configuration
impl Controller {
    fn settings(&self) -> Option<&conf::Endpoint> {
        self.document.as_ref()?.endpoints.get(&self.endpoint)
    }

    fn adopt(&mut self, number: Number, document: Arc<Document>, now: Instant) -> Vec<Action> {
        let first = self.document.is_none();
        let same = self
            .document
            .as_ref()
            .is_some_and(|old| self.view(old) == self.view(&document));
        if !same {
            self.changed = number;
        }
        self.number = number;
        let limit = self.view(&document).0.map(|e| e.limit);
        let limit = limit.unwrap_or(conf::Limit { cold: 0, full: 0 });
        self.ramp.bound(limit, document.policy.warm_up);
        self.document = Some(document);
        if first {
            self.ramp.chill(now);
        }
        let mut actions = self.recheck(now);
        for (ask, _) in mem::take(&mut self.learning) {
            actions.extend(self.offer(ask, now));
        }
        actions
    }

    /// Returns what a document says about the own endpoint.
    fn view<'a>(
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
    /// Returns why nothing at all is admitted now, if so.
    fn closed(&self) -> Option<ErrorKind> {
        let (Some(document), Some(endpoint)) = (&self.document, self.settings()) else {
            return Some(ErrorKind::NotReady);
        };
        let zone = document.zones.get(&endpoint.zone);
        if self.leaving || endpoint.leaving {
            return Some(ErrorKind::Leaving);
        }
        if zone.is_none_or(|z| z.state == ZoneState::Out) {
            return Some(ErrorKind::ZoneOut);
        }
        if !self.pulse.fresh() {
            return Some(ErrorKind::NotReady);
        }
        (!self.up).then_some(ErrorKind::NoEndpoint)
    }

    /// Returns why an attempt must not run here now, if so.
    fn refusal(&self, ask: &Descriptor, now: Instant) -> Option<ErrorKind> {
        if let Some(kind) = self.closed() {
            return Some(kind);
        }
        if self.settings().is_none_or(|e| e.service != ask.service) {
            return Some(ErrorKind::UnknownService);
        }
        if ask.version < self.changed {
            return Some(ErrorKind::StaleVersion);
        }
        if ask.deadline <= now {
            return Some(ErrorKind::DeadlineExpired);
        }
        (!self.may_run(ask.fingerprint)).then_some(ErrorKind::Suspect)
    }

    /// Returns whether a request, if it is suspected, may run here.
    fn may_run(&self, fingerprint: Fingerprint) -> bool {
        if !self.suspects.is_suspect(fingerprint) {
            return true;
        }
        let document = self.document.as_ref();
        let home = document.and_then(|d| self.suspects.quarantine_endpoint(fingerprint, d));
        !self.suspects.is_blocked(fingerprint) && home.is_none_or(|home| home == self.endpoint)
    }

    fn offer(&mut self, ask: Descriptor, now: Instant) -> Vec<Action> {
        if ask.version > self.number && self.document.is_some() {
            let until = ask.deadline.min(now + self.queue_time());
            self.learning.push((ask, until));
            return Vec::new();
        }
        if let Some(kind) = self.refusal(&ask, now) {
            return vec![self.refuse(&ask, kind, now)];
        }
        let weight = self.weight(&ask.team);
        self.queue.push(ask, weight, self.queue_time(), now);
        let mut actions = self.pump(now);
        while self.queue.len() > self.places(now)
            && let Some(ask) = self.queue.shed()
        {
            actions.push(self.refuse(&ask, self.full(), now));
        }
        actions
    }

    /// Admits from the queue while there is room.
    fn pump(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.room() {
            let beside = self.beside();
            let (suspects, running) = (&self.suspects, &self.running);
            let apart = |ask: &Descriptor| {
                let others = || running.values().any(|r| suspects.is_suspect(r.fingerprint));
                !(suspects.is_suspect(ask.fingerprint) && others())
            };
            let Some(ask) = self.queue.pop(apart) else {
                break;
            };
            if !self.ends_in_time(&ask, now) {
                actions.push(self.refuse(&ask, self.full(), now));
                continue;
            }
            let running = Running {
                fingerprint: ask.fingerprint,
                began: now,
                beside: beside + 1,
            };
            let (request, attempt) = (ask.request, ask.attempt);
            self.running.insert((request.clone(), attempt), running);
            actions.push(Action::Admit { request, attempt });
        }
        actions
    }

    fn beside(&self) -> u32 {
        let own = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        own.saturating_add(self.foreign.unwrap_or(0))
    }

    fn room(&self) -> bool {
        let known = self.foreign.is_some();
        self.closed().is_none() && known && self.beside() < self.ramp.limit()
    }

    /// Returns how many may wait: what drains in the queue time.
    fn places(&self, now: Instant) -> usize {
        let limit = f64::from(self.ramp.limit());
        let drained = self
            .drain
            .rate(now)
            .map_or(limit, |rate| rate * self.queue_time().as_secs_f64());
        drained.clamp(1.0, limit.max(1.0)) as usize
    }

    fn ends_in_time(&self, ask: &Descriptor, now: Instant) -> bool {
        let service = self.drain.service().unwrap_or_default();
        now + service <= ask.deadline
    }

    /// Returns the kind of a refusal for want of room.
    fn full(&self) -> ErrorKind {
        if self.ramp.cold() {
            ErrorKind::Cold
        } else {
            ErrorKind::Overloaded
        }
    }

    fn refuse(&mut self, ask: &Descriptor, kind: ErrorKind, now: Instant) -> Action {
        let after = match kind {
            ErrorKind::Cold | ErrorKind::Overloaded => {
                let ahead = self.queue.ahead(ask.priority);
                self.drain
                    .come_back(&ask.team, ahead, self.ramp.limit(), now)
            }
            ErrorKind::Suspect => SUSPECT_BACK,
            _ => COME_BACK,
        };
        Action::Refuse {
            request: ask.request.clone(),
            attempt: ask.attempt,
            fault: Fault::new(kind).retry_after(after),
        }
    }

    /// Refuses what waits and must not run here any more, or has waited too long.
    fn recheck(&mut self, now: Instant) -> Vec<Action> {
        let mut refused = Vec::new();
        for ask in self.queue.expire(now) {
            refused.push((ask, self.full()));
        }
        let mut queue = mem::take(&mut self.queue);
        for ask in queue.take(|waiting| self.refusal(&waiting.ask, now).is_some()) {
            let kind = self.refusal(&ask, now).unwrap_or(ErrorKind::Internal);
            refused.push((ask, kind));
        }
        self.queue = queue;
        let learning = mem::take(&mut self.learning);
        let (late, waiting): (Vec<_>, Vec<_>) =
            learning.into_iter().partition(|(_, until)| *until <= now);
        self.learning = waiting;
        refused.extend(late.into_iter().map(|(ask, _)| (ask, ErrorKind::NotReady)));
        let refused = refused.into_iter();
        refused
            .map(|(ask, kind)| self.refuse(&ask, kind, now))
            .collect()
    }
}

/// # The endpoint's state
impl Controller {
    fn chill(&mut self, now: Instant) {
        self.up = false;
        self.foreign = None;
        self.ramp.chill(now);
    }

    fn sign(&mut self, sign: Status, now: Instant) {
        match sign {
            Status::Up => {}
            Status::Down | Status::Restarted => {
                self.chill(now);
                self.confirm(now);
            }
            Status::Load { running, queued } => self.load(running + queued, now),
        }
    }

    fn load(&mut self, reported: u32, now: Instant) {
        if self.broken.as_ref().is_some_and(|b| now < b.at + VERIFY) {
            return;
        }
        self.broken = None;
        if !self.up {
            self.ramp.chill(now);
        }
        self.up = true;
        self.pulse.hear();
        let own = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let foreign = reported.saturating_sub(own);
        let known = self.foreign.unwrap_or(foreign);
        self.foreign = Some(known.min(foreign));
    }

    /// Takes a broken connection for a crash.
    fn confirm(&mut self, now: Instant) {
        if let Some(broken) = self.broken.take() {
            self.crashes += 1;
            let crash = self.incarnation.wrapping_add(self.crashes);
            self.suspects
                .record_crash(&self.endpoint, crash, broken.running, now);
        }
    }

    fn first(&mut self, target: &Target, now: Instant) {
        if let Some(running) = self.running.get(target) {
            let time = now.duration_since(running.began);
            self.ramp.first(time, now);
        }
    }

    fn finish(&mut self, target: &Target, outcome: Outcome, now: Instant) {
        if outcome == Outcome::Disconnected && self.running.contains_key(target) {
            let running = self.running.values().map(|r| r.fingerprint).collect();
            let at = now;
            self.broken.get_or_insert(Broken { at, running });
            self.chill(now);
        }
        let Some(running) = self.running.remove(target) else {
            return;
        };
        let service = now.duration_since(running.began);
        match outcome {
            Outcome::Done => {
                self.drain.end(service, now);
                self.ramp.done(running.began, running.beside, now);
                self.suspects.clear(running.fingerprint);
            }
            Outcome::Failed => self.drain.end(service, now),
            Outcome::Disconnected | Outcome::Cancelled => {}
        }
    }

    fn withdraw(&mut self, target: &Target) {
        self.running.remove(target);
        let same = |ask: &Descriptor| ask.request == target.0 && ask.attempt == target.1;
        self.queue.take(|waiting| same(&waiting.ask));
        self.learning.retain(|(ask, _)| !same(ask));
    }
}

impl Policy for Controller {
    fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        self.pulse.event(matches!(event, Event::Tick), now);
        let mut actions = Vec::new();
        match event {
            Event::Document { number, document } => actions = self.adopt(number, document, now),
            Event::Offer(ask) => return self.offer(ask, now),
            Event::Withdrawn { request, attempt } => self.withdraw(&(request, attempt)),
            Event::FirstChunk { request, attempt } => self.first(&(request, attempt), now),
            Event::Finished {
                request,
                attempt,
                outcome,
            } => self.finish(&(request, attempt), outcome, now),
            Event::Status(sign) => self.sign(sign, now),
            Event::Shutdown => self.leaving = true,
            Event::Suspects(suspects) => self.suspects.merge(&suspects, now),
            Event::Tick => self.suspects.expire(now),
        }
        actions.extend(self.recheck(now));
        actions.extend(self.pump(now));
        actions
    }

    fn hint(&self) -> Hint {
        Hint {
            running: self.beside(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            limit: self.ramp.limit(),
            open: self.closed().is_none(),
            incarnation: self.incarnation,
        }
    }

    fn suspects(&self, now: Instant) -> Vec<Suspect> {
        self.suspects.list(now)
    }
}
