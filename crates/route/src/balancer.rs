use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use conf::{Document, ZoneState, id};
use fault::{ErrorKind, Fault, Run};
use tokio::time::Instant;
use wire::{Attempt, Hint, Request};

use crate::{Action, Descriptor, Event, Policy};

/// Largest number of attempts at one request.
const MAX_ATTEMPTS: Attempt = 3;
/// Time after which clients may retry if no endpoint gave one.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// Rule by which a [`Balancer`] selects among the endpoints in service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Strategy {
    /// Each in turn.
    RoundRobin,
    /// The one with the lowest load in proportion to its limit, by its last hint.
    LeastLoaded,
}

/// Load balancer without zone preference and health tracking, which retries at once: the baseline
/// for [`Router`].
///
/// [`Router`]: crate::Router
pub struct Balancer {
    strategy: Strategy,
    /// Number of selections so far, for the round robin.
    selections: usize,
    document: Option<Arc<Document>>,
    hints: BTreeMap<id::Endpoint, Hint>,
    calls: HashMap<Request, Call>,
}

struct Call {
    descriptor: Descriptor,
    attempt: Attempt,
    tried: Vec<id::Endpoint>,
}

impl Balancer {
    /// Creates a load balancer without endpoints.
    #[must_use]
    pub fn new(strategy: Strategy) -> Self {
        Self {
            strategy,
            selections: 0,
            document: None,
            hints: BTreeMap::new(),
            calls: HashMap::new(),
        }
    }

    /// Starts the next attempt at a request, or rejects it with the fault of the last one.
    fn start_attempt(&mut self, request: &Request, last_fault: Fault) -> Vec<Action> {
        let Some(mut call) = self.calls.remove(request) else {
            return Vec::new();
        };
        let selected = (call.attempt < MAX_ATTEMPTS).then(|| self.select(&call));
        let Some(endpoint) = selected.flatten() else {
            let fault = if last_fault.retry_delay().is_some() {
                last_fault
            } else {
                last_fault.retry_after(RETRY_TIME)
            };
            let request = request.clone();
            return vec![Action::Reject { request, fault }];
        };
        call.attempt += 1;
        call.tried.push(endpoint.clone());
        let attempt = call.attempt;
        self.calls.insert(request.clone(), call);
        vec![Action::Offer {
            request: request.clone(),
            attempt,
            endpoint,
        }]
    }

    fn select(&mut self, call: &Call) -> Option<id::Endpoint> {
        let document = self.document.as_ref()?;
        let is_eligible = |name: &&id::Endpoint| {
            document.endpoints.get(*name).is_some_and(|endpoint| {
                let zone = document.zones.get(&endpoint.zone);
                let in_service = zone.is_some_and(|z| z.state == ZoneState::In);
                endpoint.service == call.descriptor.service && !endpoint.leaving && in_service
            })
        };
        let owner = call.descriptor.owner.as_ref();
        let eligible: Vec<_> = self
            .hints
            .keys()
            .filter(is_eligible)
            .filter(|name| owner.is_none_or(|owner| owner == *name))
            .filter(|name| !call.tried.contains(name))
            .collect();
        let selected = match self.strategy {
            Strategy::RoundRobin => {
                self.selections += 1;
                eligible
                    .get(self.selections % eligible.len().max(1))
                    .copied()
            }
            Strategy::LeastLoaded => eligible
                .into_iter()
                .min_by_key(|name| load_per_mille(&self.hints[*name])),
        };
        selected.cloned()
    }
}

/// Returns the load in thousandths of the limit.
fn load_per_mille(hint: &Hint) -> u64 {
    u64::from(hint.running + hint.queued) * 1000 / u64::from(hint.limit.max(1))
}

impl Policy for Balancer {
    fn handle(&mut self, event: Event, _now: Instant) -> Vec<Action> {
        match event {
            Event::Document(document) => self.document = Some(document),
            Event::Connected { endpoint } => {
                self.hints.entry(endpoint).or_default();
            }
            Event::Disconnected { endpoint } => {
                self.hints.remove(&endpoint);
            }
            Event::Hint { endpoint, hint } => {
                self.hints.insert(endpoint, hint);
            }
            Event::Begin(descriptor) => {
                let request = descriptor.request.clone();
                let call = Call {
                    descriptor,
                    attempt: 0,
                    tried: Vec::new(),
                };
                self.calls.insert(request.clone(), call);
                return self.start_attempt(&request, ErrorKind::NoEndpoint.into());
            }
            Event::Refused { request, fault, .. } if fault.run() == Run::No => {
                return self.start_attempt(&request, fault);
            }
            Event::Refused { request, fault, .. } => {
                return vec![Action::Reject { request, fault }];
            }
            Event::Interrupted {
                request,
                fault,
                replayable,
                ..
            } => {
                let repeatable = self
                    .calls
                    .get(&request)
                    .is_some_and(|c| c.descriptor.repeatable);
                if repeatable && replayable {
                    return self.start_attempt(&request, fault);
                }
                return vec![Action::Reject { request, fault }];
            }
            Event::Ended { request } => {
                self.calls.remove(&request);
            }
            _ => {}
        }
        Vec::new()
    }
}
