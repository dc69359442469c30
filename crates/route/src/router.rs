use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use conf::{Document, Priority, ServiceKind, id};
use fault::{ErrorKind, Fault, Retry, Run};
use gate::Suspects;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use wire::{Attempt, Request, Suspect};

use crate::{
    Action, Ask, Event, Policy,
    affinity::Affinity,
    budget::{Budget, Rates},
    call::{Call, Current, State},
    choice::{Choice, Peer, unit},
    health::{Health, Unit},
};

/// Time after which callers come back if no endpoint could say.
const COME_BACK: Duration = Duration::from_secs(1);
/// Jitter on that time, in percent more.
const JITTER: u32 = 50;
/// Pause before a request that may have crashed an endpoint runs again: all must know of it first.
const SPREAD: Duration = Duration::from_millis(1500);
/// Pause before a request comes back to an endpoint that did not take it yet.
const PAUSE: Duration = Duration::from_millis(600);
/// Attempts at one request that may break off.
const BREAKS: u32 = 2;
/// Longest time between two ticks of a process that was not paused.
const GAP: Duration = Duration::from_secs(1);
/// A first piece of an answer this many times later than usual counts as a stall.
const LATE: u32 = 4;
/// Part of a new sample in the usual time to it: one over this.
const SMOOTHING: u32 = 8;

/// Sends work near its cached prefix while that endpoint has room, spills to other zones when the
/// own one has none, and tries again only what may be tried again, within a budget.
pub struct Router {
    zone: id::Zone,
    document: Option<Arc<Document>>,
    peers: BTreeMap<id::Endpoint, Peer>,
    calls: BTreeMap<Request, Call>,
    affinity: Affinity,
    budget: Budget,
    rates: Rates,
    health: Health,
    suspects: Suspects,
    entries: u32,
    /// Last sign of progress of each unit.
    progress: HashMap<Unit, Instant>,
    /// Usual time from admission to the first piece of an answer.
    first: HashMap<id::Service, Duration>,
    ticked: Instant,
    rng: ChaCha8Rng,
}

/// # Construction
impl Router {
    /// Creates a policy for an entry in a zone.
    #[must_use]
    pub fn new(zone: id::Zone, seed: u64, now: Instant) -> Self {
        Self {
            zone,
            document: None,
            peers: BTreeMap::new(),
            calls: BTreeMap::new(),
            affinity: Affinity::default(),
            budget: Budget::default(),
            rates: Rates::default(),
            health: Health::default(),
            suspects: Suspects::default(),
            entries: 1,
            progress: HashMap::new(),
            first: HashMap::new(),
            ticked: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

/// # Attempts
impl Router {
    fn begin(&mut self, ask: Ask, now: Instant) -> Vec<Action> {
        let request = ask.request.clone();
        if let Some(document) = &self.document {
            self.budget.earn(&ask.team, document.policy.retry_percent);
            let taken = self.rates.take(document, &ask.team, self.entries, now);
            if let Err(after) = taken {
                let fault = Fault::new(ErrorKind::TeamLimit).retry_after(after.max(COME_BACK));
                return vec![Action::GiveUp { request, fault }];
            }
        }
        self.calls.insert(request.clone(), Call::new(ask));
        self.next(&request, now)
    }

    /// Starts the next attempt at a request, or gives it up.
    fn next(&mut self, request: &Request, now: Instant) -> Vec<Action> {
        let Some(mut call) = self.calls.remove(request) else {
            return Vec::new();
        };
        call.paused = None;
        call.current = None;
        let may_try = call.may_try() && now < call.ask.deadline;
        let Some(endpoint) = may_try.then(|| self.choose(&mut call, now)).flatten() else {
            return vec![self.give_up(request.clone(), call.last)];
        };
        call.start(endpoint.clone());
        let attempt = call.attempt;
        if let Some(peer) = self.peers.get_mut(&endpoint) {
            peer.offered += 1;
        }
        if let Some(document) = &self.document {
            self.health.chosen(&unit(document, &endpoint), now);
        }
        self.calls.insert(request.clone(), call);
        vec![Action::Offer {
            request: request.clone(),
            attempt,
            endpoint,
        }]
    }

    fn choose(&mut self, call: &mut Call, now: Instant) -> Option<id::Endpoint> {
        let document = self.document.as_ref()?;
        let fingerprint = call.ask.fingerprint;
        if self.suspects.certain(fingerprint) {
            call.last = Fault::new(ErrorKind::Suspect).retry_after(COME_BACK * 60);
            return None;
        }
        if call.ask.owner.is_none() && self.suspects.suspected(fingerprint) {
            let home = self.suspects.home(fingerprint, document)?;
            return self.peers.contains_key(&home).then_some(home);
        }
        let hash = if call.attempt == 0 {
            self.affinity.pick(&call.ask.prefix, self.peers.len())
        } else {
            call.ask.prefix.first().copied().unwrap_or_default()
        };
        let choice = Choice {
            document,
            zone: &self.zone,
            peers: &self.peers,
            health: &self.health,
            call,
            hash,
            now,
        };
        choice.find()
    }

    fn give_up(&mut self, request: Request, fault: Fault) -> Action {
        let fault = if fault.retry_delay().is_some() {
            fault
        } else {
            let percent = 100 + self.rng.random_range(0..=JITTER);
            fault.retry_after(COME_BACK * percent / 100)
        };
        Action::GiveUp { request, fault }
    }

    /// Returns whether one more attempt fits into the budget; high priority always does.
    fn afford(&mut self, request: &Request) -> bool {
        let Some(call) = self.calls.get(request) else {
            return false;
        };
        self.budget.spend(&call.ask.team) || call.ask.priority == Priority::High
    }

    fn refused(&mut self, request: &Request, fault: Fault, now: Instant) -> Vec<Action> {
        let Some(current) = self.leave(request) else {
            return Vec::new();
        };
        if fault.kind() == ErrorKind::NoEndpoint {
            self.fail(&current.endpoint, now);
        }
        let suspected = {
            let call = self.calls.get(request);
            call.is_some_and(|c| self.suspects.suspected(c.ask.fingerprint))
        };
        let Some(call) = self.calls.get_mut(request) else {
            return Vec::new();
        };
        call.last = fault.clone();
        let wait = match fault.kind() {
            ErrorKind::StaleVersion => true,
            ErrorKind::Suspect => !self.suspects.certain(call.ask.fingerprint),
            _ => suspected,
        };
        if wait && fault.run() == Run::No {
            call.tried.retain(|name| *name != current.endpoint);
            if call.pause(now + PAUSE) {
                return Vec::new();
            }
        }
        if elsewhere(&fault) && self.afford(request) {
            return self.next(request, now);
        }
        self.calls.remove(request);
        vec![self.give_up(request.clone(), fault)]
    }

    fn broken(
        &mut self,
        request: &Request,
        fault: Fault,
        replayable: bool,
        now: Instant,
    ) -> Vec<Action> {
        if let Some(current) = self.leave(request) {
            self.fail(&current.endpoint, now);
        }
        let Some(call) = self.calls.get_mut(request) else {
            return Vec::new();
        };
        call.broken += 1;
        call.last = fault.clone();
        let again = call.ask.repeatable && replayable && call.broken < BREAKS;
        if again && self.afford(request) {
            let Some(call) = self.calls.get_mut(request) else {
                return Vec::new();
            };
            if call.pause(now + SPREAD) {
                return Vec::new();
            }
        }
        self.calls.remove(request);
        vec![self.give_up(request.clone(), fault)]
    }

    /// Takes the current attempt off its endpoint.
    fn leave(&mut self, request: &Request) -> Option<Current> {
        let current = self.calls.get_mut(request)?.current.take()?;
        if current.state == State::Offered {
            self.answered(&current.endpoint);
        }
        Some(current)
    }

    fn answered(&mut self, endpoint: &id::Endpoint) {
        if let Some(peer) = self.peers.get_mut(endpoint) {
            peer.offered = peer.offered.saturating_sub(1);
        }
    }

    fn current(&mut self, request: &Request, attempt: Attempt) -> Option<&mut Current> {
        let call = self.calls.get_mut(request)?;
        if call.attempt != attempt {
            return None;
        }
        call.current.as_mut()
    }
}

/// # Health
impl Router {
    fn fail(&mut self, endpoint: &id::Endpoint, now: Instant) {
        if let Some(document) = &self.document {
            self.health.fail(&unit(document, endpoint), now);
        }
    }

    fn admitted(&mut self, request: &Request, attempt: Attempt, now: Instant) {
        let Some(current) = self.current(request, attempt) else {
            return;
        };
        current.state = State::Started(now);
        let endpoint = current.endpoint.clone();
        self.answered(&endpoint);
    }

    fn moved(&mut self, request: &Request, attempt: Attempt, now: Instant) {
        let Some(current) = self.current(request, attempt) else {
            return;
        };
        let before = current.state;
        current.state = State::Streaming(now);
        let endpoint = current.endpoint.clone();
        if let (State::Started(at), Some(call)) = (before, self.calls.get(request)) {
            let time = now.duration_since(at);
            let usual = self.first.entry(call.ask.service.clone()).or_insert(time);
            *usual = (*usual * (SMOOTHING - 1) + time) / SMOOTHING;
        }
        if let Some(document) = &self.document {
            let unit = unit(document, &endpoint);
            self.health.work(&unit, now);
            self.progress.insert(unit, now);
        }
    }

    /// Takes units out of choice whose streams stand still, and moves what can be moved.
    fn stalls(&mut self, now: Instant) -> Vec<Action> {
        let Some(document) = self.document.clone() else {
            return Vec::new();
        };
        let stall = document.policy.stall;
        let mut units = BTreeSet::new();
        let mut stuck = Vec::new();
        for (request, call) in &self.calls {
            let Some(current) = &call.current else {
                continue;
            };
            let (since, allowed, movable) = match current.state {
                State::Started(at) => (at, self.late(&call.ask.service, stall), true),
                State::Streaming(at) => (at, stall, false),
                State::Offered | State::Waiting => continue,
            };
            let unit = unit(&document, &current.endpoint);
            let moved = self.progress.get(&unit);
            let still = moved.is_none_or(|at| *at + stall <= now);
            if streams(&document, &call.ask.service) && since + allowed <= now && still {
                units.insert(unit);
                if movable && call.ask.repeatable && call.ask.replayable {
                    stuck.push(request.clone());
                }
            }
        }
        for unit in &units {
            self.health.fail(unit, now);
        }
        let stuck = stuck.into_iter();
        stuck
            .flat_map(|request| self.relocate(&request, now))
            .collect()
    }

    /// Leaves an attempt that stands still and starts another one elsewhere.
    fn relocate(&mut self, request: &Request, now: Instant) -> Vec<Action> {
        let Some(call) = self.calls.get_mut(request) else {
            return Vec::new();
        };
        let attempt = call.attempt;
        if call.broken + 1 >= BREAKS || call.ask.owner.is_some() || !call.may_try() {
            return Vec::new();
        }
        if !self.afford(request) {
            return Vec::new();
        }
        self.leave(request);
        if let Some(call) = self.calls.get_mut(request) {
            call.broken += 1;
            call.last = Fault::new(ErrorKind::Interrupted);
        }
        let mut actions = vec![Action::Abandon {
            request: request.clone(),
            attempt,
        }];
        actions.extend(self.next(request, now));
        actions
    }

    /// Returns the time from admission after which an answer should have begun.
    fn late(&self, service: &id::Service, stall: Duration) -> Duration {
        let usual = self.first.get(service).copied().unwrap_or_default();
        stall.max(usual * LATE)
    }

    /// Starts the clocks anew after a pause of the own process, in which nothing could be read.
    fn wake(&mut self, now: Instant) {
        for call in self.calls.values_mut() {
            if let Some(current) = &mut call.current {
                current.state = match current.state {
                    State::Started(_) => State::Started(now),
                    State::Streaming(_) => State::Streaming(now),
                    other => other,
                };
            }
        }
    }

    fn tick(&mut self, now: Instant) -> Vec<Action> {
        if now.duration_since(self.ticked) > GAP {
            self.wake(now);
        }
        self.ticked = now;
        self.suspects.expire(now);
        let mut actions = self.resume(|call| call.paused.is_some_and(|until| until <= now), now);
        actions.extend(self.stalls(now));
        actions
    }

    /// Goes on with the paused requests that match.
    fn resume(&mut self, matches: impl Fn(&Call) -> bool, now: Instant) -> Vec<Action> {
        let calls = self.calls.iter();
        let due: Vec<Request> = calls
            .filter(|(_, call)| call.paused.is_some() && matches(call))
            .map(|(request, _)| request.clone())
            .collect();
        due.iter()
            .flat_map(|request| self.next(request, now))
            .collect()
    }
}

/// Returns whether another endpoint may take what one refused.
fn elsewhere(fault: &Fault) -> bool {
    let here_only = [
        ErrorKind::DeadlineExpired,
        ErrorKind::InProgress,
        ErrorKind::Suspect,
        ErrorKind::TeamLimit,
    ];
    fault.run() == Run::No
        && fault.kind().response().retry == Retry::Later
        && !here_only.contains(&fault.kind())
}

/// Returns whether a service answers token by token.
fn streams(document: &Document, service: &id::Service) -> bool {
    let service = document.services.get(service);
    service.is_some_and(|s| s.kind == ServiceKind::Group)
}

impl Policy for Router {
    fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        match event {
            Event::Document(document) => {
                self.document = Some(document);
                let stale = |call: &Call| call.last.kind() == ErrorKind::StaleVersion;
                return self.resume(stale, now);
            }
            Event::Up { endpoint } => {
                self.peers.entry(endpoint).or_default();
            }
            Event::Down { endpoint } => {
                self.peers.remove(&endpoint);
            }
            Event::Hint { endpoint, hint } => {
                if let Some(peer) = self.peers.get_mut(&endpoint) {
                    peer.hint = hint;
                }
            }
            Event::Begin(ask) => return self.begin(ask, now),
            Event::Admitted { request, attempt } => self.admitted(&request, attempt, now),
            Event::Refused {
                request,
                attempt,
                fault,
            } => {
                if self.current(&request, attempt).is_some() {
                    return self.refused(&request, fault, now);
                }
            }
            Event::Progress { request, attempt } => self.moved(&request, attempt, now),
            Event::Waiting { request } => {
                let call = self.calls.get_mut(&request);
                if let Some(current) = call.and_then(|c| c.current.as_mut()) {
                    current.state = State::Waiting;
                }
            }
            Event::Broken {
                request,
                attempt,
                fault,
                replayable,
            } => {
                if self.current(&request, attempt).is_some() {
                    return self.broken(&request, fault, replayable, now);
                }
            }
            Event::Ended { request } => {
                self.leave(&request);
                self.calls.remove(&request);
            }
            Event::Suspects(suspects) => self.suspects.merge(&suspects, now),
            Event::Entries(entries) => self.entries = entries,
            Event::Tick => return self.tick(now),
        }
        Vec::new()
    }

    fn suspects(&self, now: Instant) -> Vec<Suspect> {
        self.suspects.list(now)
    }
}
