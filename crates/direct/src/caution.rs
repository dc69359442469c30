use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use conf::id;
use fleet::View;
use group::REFUSAL_TIME;
use tokio::time::Instant;

/// Time after the first endpoints are known in which those that ended just before the start come back.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);
/// Least time between the starts of two endpoints of a service that did not start together.
const START_SPREAD: Duration = Duration::from_secs(2);

/// Tells whether endpoints may have crashed under requests that this entry does not know of.
///
/// An entry learns from others which requests are refused. If all entries end, nobody is left that knows; the next ones
/// take that for possible, for as long as a request is refused, at services of which endpoints started anew shortly before.
/// Entries tell each other how far back their knowledge reaches, so that one survivor is enough.
#[derive(Clone, Debug)]
pub struct Caution {
    started: Instant,
    /// Time before the start of this entry that others have told it about.
    told: Duration,
    /// Time at which endpoints were known first.
    observed_at: Option<Instant>,
    /// Services of which endpoints started anew before this entry, or just after it.
    restarted: HashSet<id::Service>,
}

impl Caution {
    /// Creates the caution of an entry that has just started and knows nothing of the time before.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            told: Duration::ZERO,
            observed_at: None,
            restarted: HashSet::new(),
        }
    }

    /// Takes note that no entry ran before.
    #[must_use]
    pub fn first_start(mut self) -> Self {
        self.told = REFUSAL_TIME;
        self
    }

    /// Returns how far back this entry knows which requests crashed endpoints; at most the time for which these are
    /// refused.
    #[must_use]
    pub fn memory(&self, now: Instant) -> Duration {
        (self.told + now.duration_since(self.started)).min(REFUSAL_TIME)
    }

    /// Records how far back another entry knows, which has told what it knows.
    pub fn merge(&mut self, memory: Duration, now: Instant) {
        let own = now.duration_since(self.started);
        let told = memory.min(REFUSAL_TIME).saturating_sub(own);
        self.told = self.told.max(told);
    }

    /// Records which services have endpoints that started anew, from their registrations; `unix_time` is the time since
    /// the Unix epoch. Returns the services that were not known to have any.
    pub fn observe(&mut self, view: &View, unix_time: Duration, now: Instant) -> Vec<id::Service> {
        if view.endpoints.is_empty() {
            return Vec::new();
        }
        let observed_at = *self.observed_at.get_or_insert(now);
        if now.duration_since(observed_at) >= OBSERVATION_TIME {
            return Vec::new();
        }
        let mut starts: HashMap<&id::Service, Vec<Duration>> = HashMap::new();
        for registration in view.endpoints.values() {
            let endpoint = &registration.endpoint;
            let started = Duration::from_millis(endpoint.started_ms);
            starts.entry(&endpoint.service).or_default().push(started);
        }
        let is_restarted = |starts: &[Duration]| {
            let first = starts.iter().min().copied().unwrap_or_default();
            starts.iter().any(|started| {
                *started >= first + START_SPREAD && *started + REFUSAL_TIME > unix_time
            })
        };
        let found = starts
            .into_iter()
            .filter(|(service, starts)| !self.restarted.contains(*service) && is_restarted(starts))
            .map(|(service, _)| service.clone());
        let found: Vec<id::Service> = found.collect();
        self.restarted.extend(found.iter().cloned());
        found
    }

    /// Returns whether endpoints of a service may have crashed under requests that this entry does not know of.
    #[must_use]
    pub fn applies(&self, service: &str, now: Instant) -> bool {
        self.memory(now) < REFUSAL_TIME && self.restarted.contains(service)
    }
}
