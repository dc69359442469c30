use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use conf::{Document, ZoneState, id};
use fault::{ErrorKind, Fault, Run};
use tokio::time::Instant;
use wire::{Attempt, Hint, Request};

use crate::{Action, Ask, Event, Policy};

/// Attempts at one request at most.
const ATTEMPTS: Attempt = 3;
/// Time after which callers come back if no endpoint could say.
const COME_BACK: Duration = Duration::from_secs(1);

/// How [`Plain`] orders the endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// One after the other.
    Rotation,
    /// The least loaded by its last hint first.
    LeastLoaded,
}

/// Baseline: chooses over all zones by a simple order, and tries the next one at once.
pub struct Plain {
    order: Order,
    turn: usize,
    document: Option<Arc<Document>>,
    hints: BTreeMap<id::Endpoint, Hint>,
    calls: HashMap<Request, Call>,
}

struct Call {
    ask: Ask,
    attempt: Attempt,
    tried: Vec<id::Endpoint>,
}

impl Plain {
    /// Creates a baseline with an order.
    #[must_use]
    pub fn new(order: Order) -> Self {
        Self {
            order,
            turn: 0,
            document: None,
            hints: BTreeMap::new(),
            calls: HashMap::new(),
        }
    }

    fn next(&mut self, request: &Request, last: Fault) -> Vec<Action> {
        let Some(mut call) = self.calls.remove(request) else {
            return Vec::new();
        };
        let choice = (call.attempt < ATTEMPTS).then(|| self.choose(&call));
        let Some(endpoint) = choice.flatten() else {
            let fault = if last.retry_delay().is_some() {
                last
            } else {
                last.retry_after(COME_BACK)
            };
            let request = request.clone();
            return vec![Action::GiveUp { request, fault }];
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

    fn choose(&mut self, call: &Call) -> Option<id::Endpoint> {
        let document = self.document.as_ref()?;
        let fits = |name: &&id::Endpoint| {
            document.endpoints.get(*name).is_some_and(|endpoint| {
                let zone = document.zones.get(&endpoint.zone);
                let in_service = zone.is_some_and(|z| z.state == ZoneState::In);
                endpoint.service == call.ask.service && !endpoint.leaving && in_service
            })
        };
        let owner = call.ask.owner.as_ref();
        let fitting: Vec<_> = self
            .hints
            .keys()
            .filter(fits)
            .filter(|name| owner.is_none_or(|owner| owner == *name))
            .filter(|name| !call.tried.contains(name))
            .collect();
        let chosen = match self.order {
            Order::Rotation => {
                self.turn += 1;
                fitting.get(self.turn % fitting.len().max(1)).copied()
            }
            Order::LeastLoaded => fitting
                .into_iter()
                .min_by_key(|name| load(&self.hints[*name])),
        };
        chosen.cloned()
    }
}

/// Returns the load in thousandths of the limit.
fn load(hint: &Hint) -> u64 {
    u64::from(hint.running + hint.queued) * 1000 / u64::from(hint.limit.max(1))
}

impl Policy for Plain {
    fn handle(&mut self, event: Event, _now: Instant) -> Vec<Action> {
        match event {
            Event::Document(document) => self.document = Some(document),
            Event::Up { endpoint } => {
                self.hints.entry(endpoint).or_default();
            }
            Event::Down { endpoint } => {
                self.hints.remove(&endpoint);
            }
            Event::Hint { endpoint, hint } => {
                self.hints.insert(endpoint, hint);
            }
            Event::Begin(ask) => {
                let request = ask.request.clone();
                let call = Call {
                    ask,
                    attempt: 0,
                    tried: Vec::new(),
                };
                self.calls.insert(request.clone(), call);
                return self.next(&request, ErrorKind::NoEndpoint.into());
            }
            Event::Refused { request, fault, .. } if fault.run() == Run::No => {
                return self.next(&request, fault);
            }
            Event::Refused { request, fault, .. } => {
                return vec![Action::GiveUp { request, fault }];
            }
            Event::Broken {
                request,
                fault,
                replayable,
                ..
            } => {
                let repeatable = self.calls.get(&request).is_some_and(|c| c.ask.repeatable);
                if repeatable && replayable {
                    return self.next(&request, fault);
                }
                return vec![Action::GiveUp { request, fault }];
            }
            Event::Ended { request } => {
                self.calls.remove(&request);
            }
            _ => {}
        }
        Vec::new()
    }
}
