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
    Action, Descriptor, Event, Policy,
    affinity::Affinity,
    call::{Call, Dispatch, State},
    health::{Domain, Health},
    quota::{Budget, Limiter},
    selector::{Load, Selector, failure_domain},
};

/// Time, before jitter, after which clients may retry if no endpoint gave one; also the shortest
/// time that a team over its rate is told to wait.
const RETRY_TIME: Duration = Duration::from_secs(1);
/// Largest extension of that time by jitter, in percent.
const RETRY_JITTER_PERCENT: u32 = 50;
/// Time after which a request that is suspected of crashing endpoints may be retried.
const SUSPECT_RETRY_TIME: Duration = Duration::from_secs(60);
/// Pause before an interrupted request runs again.
///
/// It may have crashed its endpoint, and all processes must learn of the crash first.
const SUSPECT_PAUSE: Duration = Duration::from_millis(1500);
/// Pause before a request is offered again to an endpoint that could not take it yet.
const REOFFER_PAUSE: Duration = Duration::from_millis(600);
/// Number of interrupted attempts from which on a request is rejected.
const MAX_INTERRUPTIONS: u32 = 2;
/// Longest time between two ticks of a process that was not paused.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Ratio to the usual time to the first chunk from which on an attempt counts as stalled.
const STALL_RATIO: u32 = 4;
/// Weight of a new sample in the usual time to the first chunk: 1 / `FIRST_CHUNK_SMOOTHING`.
const FIRST_CHUNK_SMOOTHING: u32 = 8;

/// Routing policy with prefix affinity, zone failover and limited retries.
///
/// Requests with equal prefixes go to the same endpoint while it has capacity. They go to other
/// zones when the own zone has no capacity left. A request is retried only if it has not run or may
/// be repeated, and within a budget.
pub struct Router {
    /// Zone of the entry.
    zone: id::Zone,
    document: Option<Arc<Document>>,
    /// Loads of the endpoints whose agents are connected.
    loads: BTreeMap<id::Endpoint, Load>,
    calls: BTreeMap<Request, Call>,
    affinity: Affinity,
    retry_budget: Budget,
    rate_limiter: Limiter,
    health: Health,
    suspects: Suspects,
    /// Number of entries that are alive, this one included.
    entry_count: u32,
    /// Time of the last chunk from each failure domain.
    last_progress: HashMap<Domain, Instant>,
    /// Usual time from admission to the first chunk of an answer.
    first_chunk_times: HashMap<id::Service, Duration>,
    last_tick: Instant,
    rng: ChaCha8Rng,
}

/// # Construction
impl Router {
    /// Creates a router for an entry in a zone, with a seed for its jitter.
    #[must_use]
    pub fn new(zone: id::Zone, seed: u64, now: Instant) -> Self {
        Self {
            zone,
            document: None,
            loads: BTreeMap::new(),
            calls: BTreeMap::new(),
            affinity: Affinity::default(),
            retry_budget: Budget::default(),
            rate_limiter: Limiter::default(),
            health: Health::default(),
            suspects: Suspects::default(),
            entry_count: 1,
            last_progress: HashMap::new(),
            first_chunk_times: HashMap::new(),
            last_tick: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

/// # Attempts
impl Router {
    fn handle_begin(&mut self, descriptor: Descriptor, now: Instant) -> Vec<Action> {
        let request = descriptor.request.clone();
        if let Some(document) = &self.document {
            let percent = document.policy.retry_percent;
            self.retry_budget.deposit(&descriptor.team, percent);
            let acquired =
                self.rate_limiter
                    .acquire(document, &descriptor.team, self.entry_count, now);
            if let Err(wait) = acquired {
                let fault = Fault::new(ErrorKind::TeamLimit).retry_after(wait.max(RETRY_TIME));
                return vec![Action::Reject { request, fault }];
            }
        }
        self.calls.insert(request.clone(), Call::new(descriptor));
        self.start_attempt(&request, now)
    }

    /// Starts the next attempt at a request, or rejects it.
    fn start_attempt(&mut self, request: &Request, now: Instant) -> Vec<Action> {
        let Some(mut call) = self.calls.remove(request) else {
            return Vec::new();
        };
        call.paused_until = None;
        call.dispatch = None;
        let may_start = call.has_attempts_left() && now < call.descriptor.deadline;
        let selected = may_start.then(|| self.select_endpoint(&mut call, now));
        let Some(endpoint) = selected.flatten() else {
            return vec![self.reject(request.clone(), call.last_fault)];
        };
        call.start_attempt(endpoint.clone());
        let attempt = call.attempt;
        if let Some(load) = self.loads.get_mut(&endpoint) {
            load.pending_offers += 1;
        }
        if let Some(document) = &self.document {
            let domain = failure_domain(document, &endpoint);
            self.health.record_selection(&domain, now);
        }
        self.calls.insert(request.clone(), call);
        vec![Action::Offer {
            request: request.clone(),
            attempt,
            endpoint,
        }]
    }

    fn select_endpoint(&mut self, call: &mut Call, now: Instant) -> Option<id::Endpoint> {
        let document = self.document.as_ref()?;
        let fingerprint = call.descriptor.fingerprint;
        if self.suspects.is_blocked(fingerprint) {
            call.last_fault = Fault::new(ErrorKind::Suspect).retry_after(SUSPECT_RETRY_TIME);
            return None;
        }
        if call.descriptor.owner.is_none() && self.suspects.is_suspect(fingerprint) {
            let endpoint = self.suspects.quarantine_endpoint(fingerprint, document)?;
            return self.loads.contains_key(&endpoint).then_some(endpoint);
        }
        let hash = if call.attempt == 0 {
            self.affinity
                .select_prefix(&call.descriptor.prefixes, self.loads.len())
        } else {
            call.descriptor
                .prefixes
                .first()
                .copied()
                .unwrap_or_default()
        };
        let selector = Selector {
            document,
            zone: &self.zone,
            loads: &self.loads,
            health: &self.health,
            call,
            hash,
            now,
        };
        selector.select()
    }

    /// Rejects a request, with the fault's own retry time or a default one with jitter.
    fn reject(&mut self, request: Request, fault: Fault) -> Action {
        let fault = if fault.retry_delay().is_some() {
            fault
        } else {
            let percent = 100 + self.rng.random_range(0..=RETRY_JITTER_PERCENT);
            fault.retry_after(RETRY_TIME * percent / 100)
        };
        Action::Reject { request, fault }
    }

    /// Withdraws a retry from the team's budget, and returns whether the request may be retried.
    ///
    /// A request of high priority may be retried even if the budget is used up.
    fn withdraw_retry(&mut self, request: &Request) -> bool {
        let Some(call) = self.calls.get(request) else {
            return false;
        };
        self.retry_budget.withdraw(&call.descriptor.team)
            || call.descriptor.priority == Priority::High
    }

    fn handle_refused(&mut self, request: &Request, fault: Fault, now: Instant) -> Vec<Action> {
        let Some(dispatch) = self.take_dispatch(request) else {
            return Vec::new();
        };
        if fault.kind() == ErrorKind::NoEndpoint {
            self.record_failure(&dispatch.endpoint, now);
        }
        let suspect = {
            let call = self.calls.get(request);
            call.is_some_and(|c| self.suspects.is_suspect(c.descriptor.fingerprint))
        };
        let Some(call) = self.calls.get_mut(request) else {
            return Vec::new();
        };
        call.last_fault = fault.clone();
        let reoffer = match fault.kind() {
            ErrorKind::StaleVersion => true,
            ErrorKind::Suspect => !self.suspects.is_blocked(call.descriptor.fingerprint),
            _ => suspect,
        };
        if reoffer && fault.run() == Run::No {
            call.tried.retain(|name| *name != dispatch.endpoint);
            if call.pause_until(now + REOFFER_PAUSE) {
                return Vec::new();
            }
        }
        if may_retry_elsewhere(&fault) && self.withdraw_retry(request) {
            return self.start_attempt(request, now);
        }
        self.calls.remove(request);
        vec![self.reject(request.clone(), fault)]
    }

    fn handle_interrupted(
        &mut self,
        request: &Request,
        fault: Fault,
        replayable: bool,
        now: Instant,
    ) -> Vec<Action> {
        if let Some(dispatch) = self.take_dispatch(request) {
            self.record_failure(&dispatch.endpoint, now);
        }
        let Some(call) = self.calls.get_mut(request) else {
            return Vec::new();
        };
        call.interruptions += 1;
        call.last_fault = fault.clone();
        let may_retry =
            call.descriptor.repeatable && replayable && call.interruptions < MAX_INTERRUPTIONS;
        if may_retry && self.withdraw_retry(request) {
            let Some(call) = self.calls.get_mut(request) else {
                return Vec::new();
            };
            if call.pause_until(now + SUSPECT_PAUSE) {
                return Vec::new();
            }
        }
        self.calls.remove(request);
        vec![self.reject(request.clone(), fault)]
    }

    /// Removes and returns the current attempt of a request, which no longer loads its endpoint.
    fn take_dispatch(&mut self, request: &Request) -> Option<Dispatch> {
        let dispatch = self.calls.get_mut(request)?.dispatch.take()?;
        if dispatch.state == State::Offered {
            self.remove_pending_offer(&dispatch.endpoint);
        }
        Some(dispatch)
    }

    fn remove_pending_offer(&mut self, endpoint: &id::Endpoint) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.pending_offers = load.pending_offers.saturating_sub(1);
        }
    }

    /// Returns an attempt; `None` if it is not the current one of its request.
    fn dispatch(&mut self, request: &Request, attempt: Attempt) -> Option<&mut Dispatch> {
        let call = self.calls.get_mut(request)?;
        if call.attempt != attempt {
            return None;
        }
        call.dispatch.as_mut()
    }
}

/// # Health
impl Router {
    fn record_failure(&mut self, endpoint: &id::Endpoint, now: Instant) {
        if let Some(document) = &self.document {
            let domain = failure_domain(document, endpoint);
            self.health.record_failure(&domain, now);
        }
    }

    fn handle_admitted(&mut self, request: &Request, attempt: Attempt, now: Instant) {
        let Some(dispatch) = self.dispatch(request, attempt) else {
            return;
        };
        dispatch.state = State::Started(now);
        let endpoint = dispatch.endpoint.clone();
        self.remove_pending_offer(&endpoint);
    }

    fn handle_progress(&mut self, request: &Request, attempt: Attempt, now: Instant) {
        let Some(dispatch) = self.dispatch(request, attempt) else {
            return;
        };
        let previous = dispatch.state;
        dispatch.state = State::Streaming(now);
        let endpoint = dispatch.endpoint.clone();
        if let (State::Started(at), Some(call)) = (previous, self.calls.get(request)) {
            let time = now.duration_since(at);
            let service = call.descriptor.service.clone();
            let usual = self.first_chunk_times.entry(service).or_insert(time);
            *usual = (*usual * (FIRST_CHUNK_SMOOTHING - 1) + time) / FIRST_CHUNK_SMOOTHING;
        }
        if let Some(document) = &self.document {
            let domain = failure_domain(document, &endpoint);
            self.health.record_progress(&domain, now);
            self.last_progress.insert(domain, now);
        }
    }

    /// Ejects the failure domains whose attempts have stalled, and moves to other endpoints the
    /// attempts that have no answer yet and may be repeated.
    fn handle_stalls(&mut self, now: Instant) -> Vec<Action> {
        let Some(document) = self.document.clone() else {
            return Vec::new();
        };
        let stall = document.policy.stall;
        let mut domains = BTreeSet::new();
        let mut movable = Vec::new();
        for (request, call) in &self.calls {
            let Some(dispatch) = &call.dispatch else {
                continue;
            };
            let service = &call.descriptor.service;
            let (since, timeout, unanswered) = match dispatch.state {
                State::Started(at) => (at, self.first_chunk_timeout(service, stall), true),
                State::Streaming(at) => (at, stall, false),
                State::Offered | State::Backpressure => continue,
            };
            let domain = failure_domain(&document, &dispatch.endpoint);
            let progress = self.last_progress.get(&domain);
            let stalled = progress.is_none_or(|at| *at + stall <= now);
            if is_streaming(&document, service) && since + timeout <= now && stalled {
                domains.insert(domain);
                if unanswered && call.descriptor.repeatable && call.descriptor.replayable {
                    movable.push(request.clone());
                }
            }
        }
        for domain in &domains {
            self.health.record_failure(domain, now);
        }
        let movable = movable.into_iter();
        movable
            .flat_map(|request| self.move_attempt(&request, now))
            .collect()
    }

    /// Abandons a stalled attempt and starts another one at a different endpoint.
    fn move_attempt(&mut self, request: &Request, now: Instant) -> Vec<Action> {
        let Some(call) = self.calls.get_mut(request) else {
            return Vec::new();
        };
        let attempt = call.attempt;
        if call.interruptions + 1 >= MAX_INTERRUPTIONS
            || call.descriptor.owner.is_some()
            || !call.has_attempts_left()
        {
            return Vec::new();
        }
        if !self.withdraw_retry(request) {
            return Vec::new();
        }
        self.take_dispatch(request);
        if let Some(call) = self.calls.get_mut(request) {
            call.interruptions += 1;
            call.last_fault = Fault::new(ErrorKind::Interrupted);
        }
        let mut actions = vec![Action::Abandon {
            request: request.clone(),
            attempt,
        }];
        actions.extend(self.start_attempt(request, now));
        actions
    }

    /// Returns the time from admission to the first chunk after which an attempt has stalled.
    fn first_chunk_timeout(&self, service: &id::Service, stall: Duration) -> Duration {
        let usual = self
            .first_chunk_times
            .get(service)
            .copied()
            .unwrap_or_default();
        stall.max(usual * STALL_RATIO)
    }

    /// Restarts the stall timers after a pause of this process, in which nothing could be read.
    fn restart_stall_timers(&mut self, now: Instant) {
        for call in self.calls.values_mut() {
            if let Some(dispatch) = &mut call.dispatch {
                dispatch.state = match dispatch.state {
                    State::Started(_) => State::Started(now),
                    State::Streaming(_) => State::Streaming(now),
                    other => other,
                };
            }
        }
    }

    fn handle_tick(&mut self, now: Instant) -> Vec<Action> {
        if now.duration_since(self.last_tick) > MAX_TICK_INTERVAL {
            self.restart_stall_timers(now);
        }
        self.last_tick = now;
        self.suspects.expire(now);
        let due = |call: &Call| call.paused_until.is_some_and(|until| until <= now);
        let mut actions = self.resume_paused(due, now);
        actions.extend(self.handle_stalls(now));
        actions
    }

    /// Starts the next attempt at the paused requests that match.
    fn resume_paused(&mut self, matches: impl Fn(&Call) -> bool, now: Instant) -> Vec<Action> {
        let calls = self.calls.iter();
        let due: Vec<Request> = calls
            .filter(|(_, call)| call.paused_until.is_some() && matches(call))
            .map(|(request, _)| request.clone())
            .collect();
        due.iter()
            .flat_map(|request| self.start_attempt(request, now))
            .collect()
    }
}

/// Returns whether a request may be offered to another endpoint after a refusal.
fn may_retry_elsewhere(fault: &Fault) -> bool {
    let final_kinds = [
        ErrorKind::DeadlineExpired,
        ErrorKind::InProgress,
        ErrorKind::Suspect,
        ErrorKind::TeamLimit,
    ];
    fault.run() == Run::No
        && fault.kind().response().retry == Retry::Later
        && !final_kinds.contains(&fault.kind())
}

/// Returns whether a service streams its answers token by token.
fn is_streaming(document: &Document, service: &id::Service) -> bool {
    let service = document.services.get(service);
    service.is_some_and(|s| s.kind == ServiceKind::Group)
}

impl Policy for Router {
    fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        match event {
            Event::Document(document) => {
                self.document = Some(document);
                let stale = |call: &Call| call.last_fault.kind() == ErrorKind::StaleVersion;
                return self.resume_paused(stale, now);
            }
            Event::Connected { endpoint } => {
                self.loads.entry(endpoint).or_default();
            }
            Event::Disconnected { endpoint } => {
                self.loads.remove(&endpoint);
            }
            Event::Hint { endpoint, hint } => {
                if let Some(load) = self.loads.get_mut(&endpoint) {
                    load.hint = hint;
                }
            }
            Event::Begin(descriptor) => return self.handle_begin(descriptor, now),
            Event::Admitted { request, attempt } => self.handle_admitted(&request, attempt, now),
            Event::Refused {
                request,
                attempt,
                fault,
            } => {
                if self.dispatch(&request, attempt).is_some() {
                    return self.handle_refused(&request, fault, now);
                }
            }
            Event::Progress { request, attempt } => self.handle_progress(&request, attempt, now),
            Event::Backpressure { request } => {
                let call = self.calls.get_mut(&request);
                if let Some(dispatch) = call.and_then(|c| c.dispatch.as_mut()) {
                    dispatch.state = State::Backpressure;
                }
            }
            Event::Interrupted {
                request,
                attempt,
                fault,
                replayable,
            } => {
                if self.dispatch(&request, attempt).is_some() {
                    return self.handle_interrupted(&request, fault, replayable, now);
                }
            }
            Event::Ended { request } => {
                self.take_dispatch(&request);
                self.calls.remove(&request);
            }
            Event::Suspects(suspects) => self.suspects.merge(&suspects, now),
            Event::EntryCount(count) => self.entry_count = count,
            Event::Tick => return self.handle_tick(now),
        }
        Vec::new()
    }

    fn suspects(&self, now: Instant) -> Vec<Suspect> {
        self.suspects.list(now)
    }
}
