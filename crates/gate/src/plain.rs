use std::{collections::HashSet, sync::Arc, time::Duration};

use conf::{Document, Number, ZoneState, id};
use fault::{ErrorKind, Fault};
use tokio::time::Instant;
use wire::{Attempt, Hint, Request};

use crate::{Action, Ask, Event, Policy, Sign};

/// Time after which callers come back.
const COME_BACK: Duration = Duration::from_secs(1);
/// Finished requests after which the limit grows by one.
const WARM_UP: u32 = 4;

/// Admits up to a limit that grows from the cold bound with finished work.
pub struct Plain {
    endpoint: id::Endpoint,
    incarnation: id::Incarnation,
    number: Number,
    document: Option<Arc<Document>>,
    up: bool,
    leaving: bool,
    limit: u32,
    finished: u32,
    running: HashSet<(Request, Attempt)>,
}

impl Plain {
    /// Creates a policy for an endpoint in cold start.
    #[must_use]
    pub fn new(endpoint: id::Endpoint, incarnation: id::Incarnation) -> Self {
        Self {
            endpoint,
            incarnation,
            number: 0,
            document: None,
            up: false,
            leaving: false,
            limit: 0,
            finished: 0,
            running: HashSet::new(),
        }
    }

    fn settings(&self) -> Option<&conf::Endpoint> {
        self.document.as_ref()?.endpoints.get(&self.endpoint)
    }

    fn chill(&mut self) {
        self.limit = self.settings().map_or(0, |e| e.limit.cold);
        self.finished = 0;
    }

    fn grow(&mut self) {
        self.finished += 1;
        let full = self.settings().map_or(0, |e| e.limit.full);
        if self.finished.is_multiple_of(WARM_UP) && self.limit < full {
            self.limit += 1;
        }
    }

    fn decide(&self, ask: &Ask, now: Instant) -> Result<(), ErrorKind> {
        let (Some(document), Some(endpoint)) = (&self.document, self.settings()) else {
            return Err(ErrorKind::NotReady);
        };
        let out = document
            .zones
            .get(&endpoint.zone)
            .is_none_or(|z| z.state == ZoneState::Out);
        if self.leaving || endpoint.leaving {
            return Err(ErrorKind::Leaving);
        }
        if out {
            return Err(ErrorKind::ZoneOut);
        }
        if ask.service != endpoint.service {
            return Err(ErrorKind::UnknownService);
        }
        if ask.deadline <= now {
            return Err(ErrorKind::DeadlineExpired);
        }
        if !self.up {
            return Err(ErrorKind::NoEndpoint);
        }
        if self.running.len() < self.limit as usize {
            return Ok(());
        }
        Err(if self.limit < endpoint.limit.full {
            ErrorKind::Cold
        } else {
            ErrorKind::Overloaded
        })
    }

    fn offer(&mut self, ask: Ask, now: Instant) -> Vec<Action> {
        let decision = self.decide(&ask, now);
        let Ask {
            request, attempt, ..
        } = ask;
        match decision {
            Ok(()) => {
                self.running.insert((request.clone(), attempt));
                vec![Action::Admit { request, attempt }]
            }
            Err(kind) => {
                let fault = Fault::new(kind).retry_after(COME_BACK);
                vec![Action::Refuse {
                    request,
                    attempt,
                    fault,
                }]
            }
        }
    }
}

impl Policy for Plain {
    fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        match event {
            Event::Document { number, document } => {
                let first = self.document.is_none();
                self.number = number;
                self.document = Some(document);
                if first {
                    self.chill();
                }
            }
            Event::Offer(ask) => return self.offer(ask, now),
            Event::Withdrawn { request, attempt } => {
                self.running.remove(&(request, attempt));
            }
            Event::Finished {
                request, attempt, ..
            } => {
                if self.running.remove(&(request, attempt)) {
                    self.grow();
                }
            }
            Event::Sign(Sign::Up) => self.up = true,
            Event::Sign(Sign::Down) => {
                self.up = false;
                self.chill();
            }
            Event::Sign(Sign::Restarted) => self.chill(),
            Event::Leave => self.leaving = true,
            Event::First { .. }
            | Event::Sign(Sign::Load { .. })
            | Event::Suspects(_)
            | Event::Tick => {}
        }
        Vec::new()
    }

    fn hint(&self) -> Hint {
        Hint {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: 0,
            limit: self.limit,
            open: self.up && !self.leaving,
            incarnation: self.incarnation,
        }
    }
}
