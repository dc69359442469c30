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

/// Chooses the least loaded reachable endpoint, in the own zone first.
pub struct Plain {
    zone: id::Zone,
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
    /// Creates a policy for an entry in a zone.
    #[must_use]
    pub fn new(zone: id::Zone) -> Self {
        Self {
            zone,
            document: None,
            hints: BTreeMap::new(),
            calls: HashMap::new(),
        }
    }

    fn next(&mut self, request: &Request, last: Fault) -> Vec<Action> {
        let Some(mut call) = self.calls.remove(request) else {
            return Vec::new();
        };
        let choice = if call.attempt < ATTEMPTS {
            self.choose(&call)
        } else {
            None
        };
        let Some(endpoint) = choice else {
            let fault = if last.retry_time().is_some() {
                last
            } else {
                last.retry_after(COME_BACK)
            };
            return vec![Action::GiveUp {
                request: request.clone(),
                fault,
            }];
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

    fn choose(&self, call: &Call) -> Option<id::Endpoint> {
        let document = self.document.as_ref()?;
        let fits = |name: &id::Endpoint| {
            let Some(endpoint) = document.endpoints.get(name) else {
                return false;
            };
            let out = document
                .zones
                .get(&endpoint.zone)
                .is_none_or(|z| z.state == ZoneState::Out);
            endpoint.service == call.ask.service && !endpoint.leaving && !out
        };
        let owned = |name: &id::Endpoint| call.ask.owner.as_ref().is_none_or(|owner| owner == name);
        self.hints
            .iter()
            .filter(|(name, _)| fits(name) && owned(name) && !call.tried.contains(name))
            .min_by_key(|(name, hint)| {
                let far = document
                    .endpoints
                    .get(*name)
                    .is_some_and(|e| e.zone != self.zone);
                (!hint.open, far, load(hint))
            })
            .map(|(name, _)| name.clone())
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
                self.calls.insert(
                    request.clone(),
                    Call {
                        ask,
                        attempt: 0,
                        tried: Vec::new(),
                    },
                );
                return self.next(&request, ErrorKind::NoEndpoint.into());
            }
            Event::Refused { request, fault, .. } => {
                if fault.run() == Run::No {
                    return self.next(&request, fault);
                }
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
            Event::Admitted { .. } | Event::Progress { .. } | Event::Tick => {}
        }
        Vec::new()
    }
}
