use std::collections::HashSet;

use conf::id;
use tokio::time::Instant;
use wire::{Attempt, Hint, Request};

use crate::{Action, Event, Policy};

/// Admits every attempt at once: the baseline without admission control.
pub struct Passthrough {
    incarnation: id::Incarnation,
    limit: u32,
    running: HashSet<(Request, Attempt)>,
}

impl Passthrough {
    /// Creates a policy that reports `limit` in its hints but does not enforce it.
    #[must_use]
    pub fn new(incarnation: id::Incarnation, limit: u32) -> Self {
        Self {
            incarnation,
            limit,
            running: HashSet::new(),
        }
    }
}

impl Policy for Passthrough {
    fn handle(&mut self, event: Event, _now: Instant) -> Vec<Action> {
        match event {
            Event::Offer(descriptor) => {
                let (request, attempt) = (descriptor.request, descriptor.attempt);
                self.running.insert((request.clone(), attempt));
                return vec![Action::Admit { request, attempt }];
            }
            Event::Withdrawn { request, attempt }
            | Event::Finished {
                request, attempt, ..
            } => {
                self.running.remove(&(request, attempt));
            }
            _ => {}
        }
        Vec::new()
    }

    fn hint(&self) -> Hint {
        Hint {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: 0,
            limit: self.limit,
            open: true,
            incarnation: self.incarnation,
        }
    }
}
