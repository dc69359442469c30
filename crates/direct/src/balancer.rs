mod exchange;
mod outcomes;
mod partitions;
mod passes;
mod scoring;
mod spill;

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use conf::id;
use fault::{ErrorKind, Fault};
use fleet::View;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use sched::{Admission, Demand, Latency, Locality, Outranked, Refusal, Request};
use tokio::time::Instant;

use self::{
    partitions::{Candidate, Fitness, Partitions},
    passes::{Passes, Usages},
    spill::Spills,
};
pub use self::{
    passes::{Comfort, Reading},
    spill::Spill,
};
use crate::{
    Blame, Bounds, Budget, Caution, Departures, Durations, Fingerprint, Health, Limits, Loads,
    Part, Pauses, Restarts, Stalls, budget, cold, departures::Incarnation, terms::Terms,
};

/// Number of engines of a group that must run requests without progress for the group to count as
/// stopped; a single one may only have a long queue.
const SILENT_ENGINES: usize = 2;
/// Maximum number of requests that wait at an engine in addition to those in its slots.
const MAX_WAITING: u32 = 2;
/// Time after its start in which an entry may know few other entries.
const CONTACT_TIME: Duration = Duration::from_millis(1500);
/// Time after its start in which an entry may not know all other entries yet, but half of them.
const DISCOVERY_TIME: Duration = Duration::from_secs(5);
/// Time for which the fleet's limits are still divided among entries that are no longer heard of: they
/// may only be cut off from this one.
const ENTRY_MEMORY: Duration = Duration::from_secs(60);
/// Shortest and longest `Retry-After` time when all endpoints of a service are at their limit.
///
/// A generating request ends within this range on average, so that a slot is free by then.
const OVERLOAD_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(700), Duration::from_millis(2200));
/// Smallest and largest `Retry-After` time when a service is down, as a part of the client's remaining
/// time.
///
/// Clients retry once and wait for at most a third of their remaining time. The later they retry, the
/// likelier the service is available again.
const UNAVAILABLE_RETRY_AFTER: (f64, f64) = (0.26, 0.33);

/// Attempt to run a request, for which an endpoint is to be chosen.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// Service that runs the request.
    pub service: &'a id::Service,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Hash that is the same for all attempts of the request.
    pub fingerprint: Fingerprint,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: &'a [Part],
    /// Endpoints that are not to be chosen, since they were tried before.
    pub excluded: &'a [id::Endpoint],
    /// Whether the request was sent to an endpoint before; retries use up the budget.
    pub is_retry: bool,
    /// Endpoints with an idle connection that the request may use.
    pub connected: &'a HashSet<id::Endpoint>,
    /// Time left until the client's deadline.
    pub time_left: Duration,
    /// Level of the request's rank in its service; 0 is the most urgent.
    pub level: u8,
    /// Number of levels of the service.
    pub levels: u8,
    /// Team of the client, if known.
    pub team: Option<&'a id::Team>,
    /// Whether the client sends the request again after a refusal.
    pub returning: bool,
}

/// Endpoint chosen for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Id of the endpoint.
    pub endpoint: id::Endpoint,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Prompt tokens that count as pending there until the response starts.
    pub prompt_tokens: u32,
    /// Known requests of all entries in flight there when the endpoint was chosen.
    pub requests: u32,
    /// Whether the endpoint is in another zone than the entry.
    pub other_zone: bool,
    /// Whether the endpoint is or may be cold, so that its request rate is limited.
    pub cold: bool,
    /// Requests per second that the endpoint states it takes from all entries, if it does.
    pub limit: Option<f64>,
    /// Incarnation of the endpoint that is registered under the id.
    pub incarnation: Incarnation,
    /// Service of the endpoint.
    pub service: id::Service,
    /// Time at which the endpoint was chosen.
    pub chosen_at: Instant,
    /// Use of the retry budget before the attempt, if that is a retry.
    pub retry: Option<budget::Balance>,
}

/// Chosen endpoint, or the error response if there is none.
pub type Choice = Result<Placement, Fault>;

/// Why endpoints that are up cannot be chosen.
#[derive(Clone, Copy, Debug, Default)]
struct Obstacles {
    /// Kind of fault of endpoints that are full or cold.
    kind: Option<ErrorKind>,
    /// Whether endpoints are in groups that have lost a rank.
    lost_groups: bool,
    /// Time at which the first pause ends that an endpoint asked for.
    pause_end: Option<Instant>,
    /// Sum of the rates of endpoints that have reached the limits that they state.
    limited_rate: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The response was received completely.
    Whole,
    /// The endpoint responded with an error of its own.
    Failed,
    /// The endpoint responded that it did not run the request.
    Declined,
    /// Another endpoint was found at the address.
    Misdirected,
    /// No connection to the endpoint could be set up.
    Unreached,
    /// The connection broke before the response was complete, or the response was invalid or late.
    Broke,
    /// The entry cancelled the attempt: the client disconnected or the deadline passed.
    Dropped,
}

/// Chooses the endpoint for each attempt by load, health and connection state.
pub struct Balancer {
    zone: id::Zone,
    bounds: Bounds,
    /// Number of entries that are heard of, this one included.
    live_entries: usize,
    /// Largest number of entries that another one is aware of.
    reported_entries: usize,
    /// Numbers of entries that were known before some were lost, in descending order, and the time of each loss.
    losses: VecDeque<(usize, Instant)>,
    started: Instant,
    loads: Loads,
    health: Health,
    departures: Departures,
    restarts: Restarts,
    pauses: Pauses,
    limits: Limits,
    admission: Admission,
    /// Refusal by rank of the last attempt.
    outranked: Option<Outranked>,
    cold: cold::Limiter,
    budget: Budget,
    /// Requests under which endpoints crash.
    suspects: Blame<Fingerprint>,
    /// Parts of prompts under which endpoints crash.
    blame: Blame<Part>,
    /// Whether crashes before the start of this entry may be unknown.
    caution: Caution,
    stalls: Stalls,
    groups: group::Directory,
    passes: Passes,
    /// Ranks and gap targets of the last configuration that a request came under.
    terms: Option<Terms>,
    locality: Locality,
    latency: Latency,
    durations: Durations,
    spills: Spills,
    random: SmallRng,
}

/// # Construction
impl Balancer {
    /// Creates the balancer of an entry in `zone`; `seed` is that of its random numbers.
    #[must_use]
    pub fn new(zone: id::Zone, bounds: Bounds, seed: u64, now: Instant) -> Self {
        let budget = Budget::new(
            bounds.retry_ratio,
            bounds.retry_extra,
            bounds.retry_window,
            now,
        );
        Self {
            locality: Locality::new(zone.clone()),
            latency: Latency::default(),
            durations: Durations::default(),
            spills: Spills::default(),
            zone,
            live_entries: 1,
            reported_entries: 1,
            losses: VecDeque::new(),
            started: now,
            bounds,
            loads: Loads::default(),
            health: Health::default(),
            departures: Departures::default(),
            restarts: Restarts::default(),
            pauses: Pauses::default(),
            limits: Limits::default(),
            admission: Admission::default(),
            outranked: None,
            cold: cold::Limiter::new(seed),
            budget,
            suspects: Blame::default(),
            blame: Blame::default(),
            caution: Caution::new(now),
            stalls: Stalls::default(),
            groups: group::Directory::default(),
            passes: Passes::default(),
            terms: None,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Allows all retries of this entry's share at once, as no process ran before on its VM; nor are there earlier
    /// crashes that it does not know of.
    #[must_use]
    pub fn first_start(mut self) -> Self {
        self.budget = self.budget.first_start();
        self.caution = self.caution.first_start();
        self
    }
}

/// # Endpoint choice
impl Balancer {
    /// Chooses an endpoint and adds the request to its load.
    ///
    /// # Errors
    ///
    /// Returns a fault that states "not run" if no endpoint may get the request now.
    pub fn choose(&mut self, view: &View, attempt: &Attempt<'_>, now: Instant) -> Choice {
        self.outranked = None;
        if !attempt.is_retry {
            self.budget.record_request(attempt.service, now);
        }
        if self
            .suspects
            .find_refused(&[attempt.fingerprint], now)
            .is_some()
        {
            return Err(Fault::new(ErrorKind::Suspect).detail("endpoints crash under this request"));
        }
        if let Some(part) = self.blame.find_refused(attempt.shared_parts, now) {
            let detail = format!("endpoints crash under prompt part {part}");
            return Err(Fault::new(ErrorKind::Suspect).detail(detail));
        }
        let Some(mut placement) = self.find_best(view, attempt, now)? else {
            return Err(self
                .fail_unavailable(ErrorKind::NoEndpoint, attempt.time_left)
                .detail("no endpoint is present, reachable and making progress"));
        };
        if attempt.is_retry {
            let entries = self.entry_count(now);
            match self.budget.try_retry(attempt.service, entries, now) {
                Ok(balance) => placement.retry = Some(balance),
                Err(balance) => return Err(self.fail_exhausted(&balance)),
            }
        }
        placement.prompt_tokens = attempt.prompt_tokens;
        self.loads
            .record_sent(&placement.endpoint, attempt.prompt_tokens, now);
        if placement.cold {
            self.cold.record_sent(&placement.endpoint, now);
        }
        if placement.limit.is_some() {
            self.limits.record_sent(&placement.endpoint);
        }
        Ok(placement)
    }

    /// Returns the best endpoint in the zone chosen for the request, else the best one of all, or `None` if
    /// no endpoint is available.
    ///
    /// # Errors
    ///
    /// Returns a fault if all available endpoints are at their limit.
    fn find_best(
        &mut self,
        view: &View,
        attempt: &Attempt<'_>,
        now: Instant,
    ) -> Result<Option<Placement>, Fault> {
        let service = view
            .configuration
            .as_ref()
            .and_then(|c| c.services.get(attempt.service));
        let has_engine = service.is_some_and(|s| s.engine.is_some());
        let cold_rate = service.map_or(0.0, |s| s.cold_rate);
        let cold_time = service.map_or(Duration::ZERO, |s| s.cold_time);
        let entries = self.assumed_entry_count(now);
        let sharing_entries = self.sharing_entry_count(now);
        let mut partitions = Partitions::default();
        let mut obstacles = Obstacles::default();
        let silent_groups = self.silent_groups(view, now);
        let mut demand = Demand::default();
        let usages = match has_engine {
            true => self.comfortable_usages(view, attempt.service, now),
            false => Usages::new(),
        };
        for (id, known) in view.available(attempt.service, now) {
            let address = known.endpoint.address;
            let load = self.loads.total(id, now);
            let own_requests = self.loads.own_requests(id);
            demand.own_requests = demand.own_requests.saturating_add(own_requests);
            let other_requests = load.requests.saturating_sub(own_requests);
            demand.requests = demand.requests.saturating_add(other_requests);
            let is_group_lost =
                self.groups.is_broken(address, now) || self.is_in(&silent_groups, address);
            obstacles.lost_groups |= is_group_lost;
            let skipped = is_group_lost
                || self.health.is_ejected(id, now)
                || self.stalls.is_stalled(id, now)
                || self.loads.is_unresponsive(id, now);
            let incarnation = known.endpoint.started_ms;
            let is_leaving = self.departures.is_leaving(id, incarnation);
            if skipped || is_leaving {
                continue;
            }
            if let Some(until) = self.pauses.until(id, now) {
                let first = obstacles.pause_end.map_or(until, |end| end.min(until));
                obstacles.pause_end = Some(first);
                continue;
            }
            let slots = known.endpoint.slots.max(1);
            let limit = self.limits.rate(id, incarnation);
            // What an endpoint with a limit runs takes no room from the others, and it has none to offer.
            let offered = limit.map_or(slots, |_| slots.min(load.requests));
            demand.slots = demand.slots.saturating_add(offered);
            let accepted = slots.saturating_add(MAX_WAITING);
            demand.limit = demand
                .limit
                .saturating_add(limit.map_or(accepted, |_| offered));
            let group = self.groups.group(address).filter(|_| has_engine);
            let usage = usages.get(&group.cloned()).copied().unwrap_or(1.0);
            demand.comfortable_load += usage * f64::from(offered);
            let zone = &known.endpoint.zone;
            let partition = partitions.count(group, zone, offered, load.requests);
            if attempt.excluded.contains(id) {
                continue;
            }
            if let Some(rate) = limit
                && !self.limits.allows(id, sharing_entries, now)
            {
                obstacles.limited_rate += rate;
                continue;
            }
            let cold = known.cold_until > now && cold_rate > 0.0;
            let may_be_cold =
                cold_rate > 0.0 && self.restarts.may_be_cold(id, incarnation, cold_time, now);
            let rate_limit = cold_rate * self.bounds.cold_overshoot + self.bounds.cold_slack;
            if (cold || may_be_cold) && !self.cold.allows(id, rate_limit, entries, now) {
                obstacles.kind = obstacles.kind.or(Some(ErrorKind::Cold));
                continue;
            }
            if has_engine && load.requests >= accepted {
                obstacles.kind = Some(ErrorKind::Overloaded);
                continue;
            }
            let mut candidate = self.score(attempt, (id, known), load, cold, now);
            candidate.limit = limit;
            // One that only may be cold is as good as any other, within the limit.
            candidate.cold |= may_be_cold;
            if !has_engine && candidate.fitness != Fitness::Impaired {
                let (service, requests) = (attempt.service, load.requests);
                let time = self.latency.predict(service, id, requests, slots, now);
                partitions.record_time(partition, time);
            }
            partitions.offer(partition, candidate);
        }
        let zone = self.choose_zone(view, attempt, &partitions, &usages, now);
        let best = partitions.take_best(&self.zone, &zone, has_engine);
        // The rate of an endpoint with a limit is bounded by that; the demand has no slots for it while it is idle.
        if has_engine && best.as_ref().is_some_and(|best| best.limit.is_none()) {
            self.admit(attempt, &demand, obstacles.lost_groups, now)?;
        }
        if let Some(candidate) = best {
            return Ok(Some(self.place(attempt, &candidate, now)));
        }
        self.fail_full(attempt, &obstacles, now)
            .map_or(Ok(None), Err)
    }

    /// Decides whether a request may be sent, given what is in demand.
    ///
    /// # Errors
    ///
    /// Returns a fault that states "not run" if it is refused.
    fn admit(
        &mut self,
        attempt: &Attempt<'_>,
        demand: &Demand,
        lost_groups: bool,
        now: Instant,
    ) -> Result<(), Fault> {
        // A request that was sent before has been admitted by its rank, and counted for its team.
        let request = Request {
            service: attempt.service,
            level: if attempt.is_retry { 0 } else { attempt.level },
            levels: attempt.levels,
            team: attempt.team.filter(|_| !attempt.is_retry),
            returning: attempt.returning,
        };
        let draw = match attempt.levels {
            // Without a decision by rank, no random number is used.
            0 | 1 => 0.0,
            _ => self.random.random(),
        };
        let entries = self.known_entries();
        let admitted = self.admission.admit(&request, demand, entries, draw, now);
        match admitted {
            Ok(()) => Ok(()),
            Err(Refusal::Rationed) => {
                let fault = match lost_groups {
                    true => self.fail_unavailable(ErrorKind::Overloaded, attempt.time_left),
                    false => self.fail_overloaded(ErrorKind::Overloaded),
                };
                Err(fault.detail("more requests are in demand than slots"))
            }
            Err(Refusal::Outranked(outranked)) => {
                self.outranked = Some(outranked);
                let Outranked {
                    level, load, bound, ..
                } = outranked;
                let detail = format!(
                    "more urgent requests have priority: level {level}, load {load:.0}, bound {bound:.0}"
                );
                let fault = Fault::new(ErrorKind::Overloaded).retry_after(outranked.retry_after);
                Err(fault.detail(detail))
            }
        }
    }

    /// Returns how many retries were decided on since the start of the process.
    #[must_use]
    pub const fn retry_totals(&self) -> budget::Totals {
        self.budget.totals()
    }

    /// Returns the refusal if the last attempt was refused because of its rank.
    pub const fn take_outranked(&mut self) -> Option<Outranked> {
        self.outranked.take()
    }

    /// Returns the fault if no endpoint can be chosen, unless none is available at all.
    fn fail_full(
        &mut self,
        attempt: &Attempt<'_>,
        obstacles: &Obstacles,
        now: Instant,
    ) -> Option<Fault> {
        if let Some(kind) = obstacles.kind {
            return Some(match obstacles.lost_groups {
                true => self.fail_unavailable(kind, attempt.time_left),
                false => self.fail_overloaded(kind),
            });
        }
        let pause = obstacles.pause_end.map(|end| end.duration_since(now));
        let fault = Fault::new(ErrorKind::Overloaded);
        if obstacles.limited_rate == 0.0 {
            let detail = "all endpoints asked for a pause";
            return pause.map(|pause| fault.retry_after(pause).detail(detail));
        }
        let entries = self.sharing_entry_count(now);
        let (rate, random) = (obstacles.limited_rate, &mut self.random);
        let turn = self
            .limits
            .next_turn(attempt.service, rate, entries, random, now);
        let fault = fault.retry_after(pause.map_or(turn, |pause| pause.min(turn)));
        Some(fault.detail("all endpoints have reached the limits that they state"))
    }

    /// Returns the groups of which several engines run requests of this entry and none makes progress.
    ///
    /// Engines of a group run each forward pass together, so that one that is lost stops all others.
    fn silent_groups(&self, view: &View, now: Instant) -> HashSet<group::Key> {
        // Number of busy engines of each group, and of those that make progress.
        let mut counts: HashMap<&group::Key, (usize, usize)> = HashMap::new();
        for endpoint in self.loads.busy() {
            let known = view.endpoints.get(endpoint);
            let key = known.and_then(|known| self.groups.group(known.endpoint.address));
            if let Some(key) = key {
                let count = counts.entry(key).or_default();
                count.0 += 1;
                count.1 += usize::from(!self.loads.is_unresponsive(endpoint, now));
            }
        }
        let silent = counts
            .into_iter()
            .filter(|(_, (busy, progressing))| *busy >= SILENT_ENGINES && *progressing == 0);
        silent.map(|(key, _)| key.clone()).collect()
    }

    /// Returns whether the group of an engine is one of `groups`.
    fn is_in(&self, groups: &HashSet<group::Key>, engine: SocketAddr) -> bool {
        let group = self.groups.group(engine);
        !groups.is_empty() && group.is_some_and(|group| groups.contains(group))
    }

    /// Creates the placement of an attempt at a candidate.
    fn place(&self, attempt: &Attempt<'_>, candidate: &Candidate<'_>, now: Instant) -> Placement {
        let endpoint = &candidate.known.endpoint;
        Placement {
            endpoint: candidate.endpoint.clone(),
            address: endpoint.address,
            prompt_tokens: attempt.prompt_tokens,
            requests: candidate.requests,
            other_zone: endpoint.zone != self.zone,
            cold: candidate.cold,
            limit: candidate.limit,
            incarnation: endpoint.started_ms,
            service: attempt.service.clone(),
            chosen_at: now,
            retry: None,
        }
    }

    /// Creates the fault for a request that may not be sent again.
    fn fail_exhausted(&mut self, balance: &budget::Balance) -> Fault {
        let budget::Balance {
            retries,
            requests,
            allowed,
        } = balance;
        let detail = format!(
            "the budget for repeats is used up: {retries} retries, {allowed:.1} allowed, {requests} requests"
        );
        self.fail_overloaded(ErrorKind::Overloaded).detail(detail)
    }

    /// Creates the fault for a service whose endpoints are all at their limit.
    fn fail_overloaded(&mut self, kind: ErrorKind) -> Fault {
        let wait = self
            .random
            .random_range(OVERLOAD_RETRY_AFTER.0..OVERLOAD_RETRY_AFTER.1);
        Fault::new(kind).retry_after(wait)
    }

    /// Creates the fault for a service that has lost all or some of its endpoints.
    pub(crate) fn fail_unavailable(&mut self, kind: ErrorKind, time_left: Duration) -> Fault {
        let part = self
            .random
            .random_range(UNAVAILABLE_RETRY_AFTER.0..UNAVAILABLE_RETRY_AFTER.1);
        Fault::new(kind).retry_after(time_left.mul_f64(part))
    }
}
