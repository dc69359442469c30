use std::{collections::HashSet, net::SocketAddr, time::Duration};

use conf::id;
use fault::{ErrorKind, Fault};
use fleet::{Known, View};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    Bounds, Budget, Cold, Health, Load, Loads, Stalls, Suspects,
    share::UNKNOWN_ENTRIES,
    suspect::{Crash, Fingerprint},
};

/// Prompt tokens that weigh as much as one writing request.
///
/// An engine reads about as many in the time that one request adds to a pass.
const UNREAD_WEIGHT: f64 = 400.0;
/// What another zone weighs against one writing request; traffic between zones is priced.
const FAR: f64 = 0.3;
/// What a kept connection weighs against one writing request; new connections are priced.
const KEPT: f64 = 0.4;
/// Range of the random part, in requests; keeps entries with equal news from choosing alike.
const SPREAD: f64 = 0.6;
/// What a share of failures of 1 weighs, in requests.
const FAILING: f64 = 12.0;
/// Requests that an engine may have waiting beyond its slots.
const WAITING: u32 = 2;
/// Time after its start in which an entry may not have heard of all others.
const UNSETTLED: Duration = Duration::from_secs(5);
/// Shortest and longest time after which callers of a service at its limit come back.
///
/// A draft ends within the span on average, so that a place is free then.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(700), Duration::from_millis(2200));
/// Part of the time left at which callers of a service that is down come back.
///
/// Callers come back once, and wait for a third of what they have left at most: the later, the
/// likelier the service is back.
const LAST_CALL: (f64, f64) = (0.26, 0.33);

/// One request that needs an endpoint.
#[derive(Clone, Debug)]
pub struct Send<'a> {
    /// Service that runs it.
    pub service: &'a id::Service,
    /// Prompt tokens.
    pub prompt: u32,
    /// Number that is the same for all sends of the request.
    pub fingerprint: Fingerprint,
    /// Endpoints that had it before.
    pub avoid: &'a [id::Endpoint],
    /// Whether an endpoint got it before.
    pub again: bool,
    /// Endpoints to which a connection is kept that the request may use.
    pub kept: &'a HashSet<id::Endpoint>,
    /// Time that the caller still waits.
    pub left: Duration,
}

/// Endpoint that a request goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Endpoint.
    pub endpoint: id::Endpoint,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Prompt tokens that count as unread there.
    pub prompt: u32,
    /// Requests that all entries had there, as far as known.
    pub seen: u32,
    /// Whether the endpoint is cold.
    pub cold: bool,
}

/// Result of a choice.
pub type Choice = Result<Placement, Fault>;

/// How a send ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer came whole.
    Whole,
    /// The endpoint stated a failure of its own.
    Failed,
    /// The endpoint stated that it did not run the request.
    Declined,
    /// Another endpoint has the address.
    Misdirected,
    /// The endpoint could not be reached.
    Unreached,
    /// The connection broke before or amid the answer.
    Broke,
    /// This side gave up: the caller left or the deadline passed.
    Dropped,
}

/// Decides where requests go, from what is known at the moment.
pub struct Desk {
    zone: id::Zone,
    bounds: Bounds,
    entries: usize,
    started: Instant,
    loads: Loads,
    health: Health,
    cold: Cold,
    budget: Budget,
    suspects: Suspects,
    stalls: Stalls,
    random: SmallRng,
}

/// # Construction
impl Desk {
    /// Creates a desk of an entry in a zone.
    #[must_use]
    pub fn new(zone: id::Zone, bounds: Bounds, seed: u64, now: Instant) -> Self {
        let budget = Budget::new(
            bounds.retry_ratio,
            bounds.retry_extra,
            bounds.retry_window,
            now,
        );
        Self {
            zone,
            entries: bounds.entries,
            started: now,
            bounds,
            loads: Loads::default(),
            health: Health::default(),
            cold: Cold::default(),
            budget,
            suspects: Suspects::default(),
            stalls: Stalls::default(),
            random: SmallRng::seed_from_u64(seed),
        }
    }
}

/// # Choice
impl Desk {
    /// Chooses an endpoint and counts the request there.
    ///
    /// # Errors
    ///
    /// Returns a fault that says "not run" if no endpoint may get the request now.
    pub fn choose(&mut self, view: &View, send: &Send<'_>, now: Instant) -> Choice {
        if !self.suspects.allows(send.fingerprint, now) {
            return Err(ErrorKind::Suspect.into());
        }
        let Some(mut placement) = self.best(view, send, now)? else {
            return Err(self
                .is_down(send)
                .detail("no endpoint is present, reachable and making progress"));
        };
        if send.again && !self.budget.again(send.service, self.entries, now) {
            let detail = "the budget for repeats is used up";
            return Err(self.is_full(ErrorKind::Overloaded).detail(detail));
        }
        if !send.again {
            self.budget.first(send.service, now);
        }
        placement.prompt = send.prompt;
        self.loads.sent(&placement.endpoint, send.prompt, now);
        if placement.cold {
            self.cold.sent(&placement.endpoint, now);
        }
        Ok(placement)
    }

    /// Finds the endpoint with the lowest score; `None` if none is there at all.
    fn best(
        &mut self,
        view: &View,
        send: &Send<'_>,
        now: Instant,
    ) -> Result<Option<Placement>, Fault> {
        let service = view
            .configuration
            .as_ref()
            .and_then(|c| c.services.get(send.service));
        let engine = service.is_some_and(|s| s.engine.is_some());
        let cold_rate = service.map_or(0.0, |s| s.cold_rate);
        let settled = now.duration_since(self.started) >= UNSETTLED;
        let entries = match settled {
            true => self.entries,
            false => self.entries.max(UNKNOWN_ENTRIES),
        };
        let (mut best, mut kind): (Option<(f64, Placement)>, _) = (None, None);
        for (id, known) in view.open(send.service, now) {
            let passed_over = self.health.is_paused(id, now)
                || self.stalls.holds(id, now)
                || self.loads.is_silent(id, now);
            if send.avoid.contains(id) || passed_over {
                continue;
            }
            let load = self.loads.at(id, now);
            let slots = known.endpoint.slots.max(1);
            let cold = known.cold_until > now && cold_rate > 0.0;
            let bound = cold_rate * self.bounds.cold_overshoot + self.bounds.cold_slack;
            if cold && !self.cold.allows(id, bound, entries, now) {
                kind = kind.or(Some(ErrorKind::Cold));
                continue;
            }
            if engine && load.requests >= slots + WAITING {
                kind = Some(ErrorKind::Overloaded);
                continue;
            }
            let mut score = f64::from(load.requests) + f64::from(load.unread) / UNREAD_WEIGHT;
            score += self.penalty(id, known, cold);
            if send.kept.contains(id) {
                score -= KEPT;
            }
            score += self.random.random_range(0.0..SPREAD);
            if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                let placement = Placement {
                    endpoint: id.clone(),
                    address: known.endpoint.address,
                    prompt: send.prompt,
                    seen: load.requests,
                    cold,
                };
                best = Some((score, placement));
            }
        }
        match (best, kind) {
            (None, Some(kind)) => Err(self.is_full(kind)),
            (best, _) => Ok(best.map(|(_, placement)| placement)),
        }
    }

    fn penalty(&self, id: &id::Endpoint, known: &Known, cold: bool) -> f64 {
        let far = if known.endpoint.zone == self.zone {
            0.0
        } else {
            FAR
        };
        let slow = if cold {
            f64::from(known.endpoint.slots) / 2.0
        } else {
            0.0
        };
        far + slow + self.health.failures(id) * FAILING
    }

    /// Refuses because all endpoints have as much as they bear.
    fn is_full(&mut self, kind: ErrorKind) -> Fault {
        let wait = self.random.random_range(COME_BACK.0..COME_BACK.1);
        Fault::new(kind).retry_after(wait)
    }

    /// Refuses because no endpoint can be used.
    fn is_down(&mut self, send: &Send<'_>) -> Fault {
        let part = self.random.random_range(LAST_CALL.0..LAST_CALL.1);
        Fault::new(ErrorKind::NoEndpoint).retry_after(send.left.mul_f64(part))
    }
}

/// # Outcomes
impl Desk {
    /// Notes that an answer has come a step further.
    pub fn progressed(&mut self, placement: &Placement, now: Instant) {
        self.loads.progressed(&placement.endpoint, now);
    }

    /// Notes that the answer has begun.
    pub fn began(&mut self, placement: &Placement) {
        self.loads.began(&placement.endpoint, placement.prompt);
    }

    /// Notes how a send ended; returns whether the endpoint is now passed over for a while.
    pub fn ended(&mut self, placement: &Placement, outcome: Outcome, now: Instant) -> bool {
        let id = &placement.endpoint;
        self.loads.ended(id);
        match outcome {
            Outcome::Whole => {
                self.health.succeeded(id);
                self.stalls.answered(id, now);
            }
            Outcome::Failed => self.health.failed(id),
            Outcome::Misdirected => {
                self.health.left(id, now);
                return true;
            }
            Outcome::Unreached | Outcome::Broke => return self.health.broke(id, now),
            Outcome::Declined | Outcome::Dropped => {}
        }
        false
    }

    /// Notes that a connection broke while an endpoint ran a request.
    pub fn crashed(&mut self, fingerprint: Fingerprint, crash: Crash, now: Instant) {
        self.suspects.crashed(fingerprint, crash, now);
    }

    /// Notes that an endpoint's group is stalled by the loss of another rank, named by id or address.
    pub fn stalled(&mut self, view: &View, endpoint: &id::Endpoint, at_fault: &str, now: Instant) {
        let named = |(id, known): &(&id::Endpoint, &Known)| {
            id.as_str() == at_fault || known.endpoint.address.to_string() == at_fault
        };
        let found = view.endpoints.iter().find(named).map(|(id, _)| id.clone());
        // A rank that is gone may not be known any more; the one that declined still is.
        let at_fault = found.unwrap_or_else(|| endpoint.clone());
        self.stalls.declined(endpoint, &at_fault, now);
    }

    /// Forgets what belongs to endpoints that are no longer known.
    pub fn adopt(&mut self, view: &View) {
        let known = |id: &id::Endpoint| view.endpoints.contains_key(id);
        self.loads.retain(known);
        self.health.retain(known);
        self.cold.retain(known);
        self.stalls.retain(known);
    }
}

/// # Other entries
impl Desk {
    /// Sets how many entries share the fleet's bounds.
    pub fn count_entries(&mut self, entries: usize) {
        self.entries = entries.max(self.bounds.entries);
    }

    /// Returns the own work at each endpoint.
    #[must_use]
    pub fn own_loads(&self) -> Vec<(id::Endpoint, Load)> {
        self.loads.own()
    }

    /// Returns the endpoints that were found to be gone within `span`.
    #[must_use]
    pub fn missing(&self, span: Duration, now: Instant) -> Vec<id::Endpoint> {
        self.health.missing(span, now)
    }

    /// Notes that another entry found an endpoint to be gone.
    pub fn hear_missing(&mut self, endpoint: &id::Endpoint, now: Instant) {
        self.health.hear_missing(endpoint, now);
    }

    /// Returns the crashes that were noted within `span`.
    #[must_use]
    pub fn crashes(&self, span: Duration, now: Instant) -> Vec<(Fingerprint, Crash)> {
        self.suspects.recent(span, now)
    }

    /// Takes in the work of another entry.
    pub fn hear(&mut self, entry: &id::Process, loads: Vec<(id::Endpoint, Load)>, now: Instant) {
        self.loads.hear(entry, loads, now);
    }
}
