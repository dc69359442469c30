use std::{collections::HashSet, sync::Arc, time::Duration};

use conf::{Document, Limit, Priority};
use fault::{ErrorKind, Fault};
use gate::{Action, Controller, Descriptor, Event, Outcome, Policy as _, Status};
use tokio::time::{self, Instant};

/// Time between two tick events.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Drives the controller of the endpoint `e` in paused time and records its actions.
pub(crate) struct Harness {
    pub(crate) controller: Controller,
    pub(crate) running: HashSet<u32>,
    pub(crate) refused: Vec<(u32, Fault)>,
    /// Number of the last offer.
    last: u32,
}

pub(crate) fn document(limit: Limit) -> Document {
    let json = serde_json::json!({
        "schema": 1,
        "zones": { "a": { "region": "r" } },
        "services": { "s": { "kind": "plain", "routes": [] } },
        "endpoints": { "e": { "zone": "a", "service": "s", "agent": "127.0.0.1:1", "limit": limit } },
        "teams": { "large": { "keys": [] }, "small": { "keys": [] }, "heavy": { "keys": [], "weight": 3 } },
    });
    serde_json::from_value(json).unwrap()
}

pub(crate) fn descriptor(number: u32, team: &str, priority: Priority) -> Descriptor {
    Descriptor {
        request: number.to_string().into(),
        attempt: 1,
        service: "s".into(),
        team: team.into(),
        priority,
        repeatable: true,
        fingerprint: u64::from(number),
        deadline: Instant::now() + Duration::from_secs(60),
        version: 1,
    }
}

impl Harness {
    /// Creates a harness whose engine is up and reports `running` attempts in its batch.
    pub(crate) fn new(limit: Limit, running: u32) -> Self {
        let mut harness = Self {
            controller: Controller::new("e".into(), 7, Instant::now()),
            running: HashSet::new(),
            refused: Vec::new(),
            last: 0,
        };
        harness.apply(1, document(limit));
        harness.report_load(running);
        harness
    }

    pub(crate) fn apply(&mut self, number: u64, document: Document) {
        let document = Arc::new(document);
        self.handle(Event::Document { number, document });
    }

    pub(crate) fn report_load(&mut self, running: u32) {
        self.handle(Event::Status(Status::Load { running, queued: 0 }));
    }

    pub(crate) fn handle(&mut self, event: Event) {
        for action in self.controller.handle(event, Instant::now()) {
            match action {
                Action::Admit { request, .. } => {
                    self.running.insert(request.parse().unwrap());
                }
                Action::Refuse { request, fault, .. } => {
                    self.refused.push((request.parse().unwrap(), fault));
                }
            }
        }
    }

    /// Offers an attempt of the team `small` and returns its number.
    pub(crate) fn offer(&mut self) -> u32 {
        self.offer_as("small", Priority::Normal)
    }

    pub(crate) fn offer_as(&mut self, team: &str, priority: Priority) -> u32 {
        self.last += 1;
        self.handle(Event::Offer(descriptor(self.last, team, priority)));
        self.last
    }

    pub(crate) fn finish(&mut self, number: u32, outcome: Outcome) {
        assert!(self.running.remove(&number), "{number} is running");
        self.handle(Event::Finished {
            request: number.to_string().into(),
            attempt: 1,
            outcome,
        });
    }

    pub(crate) fn finish_all(&mut self) {
        for number in self.running.clone() {
            self.finish(number, Outcome::Done);
        }
    }

    /// Advances the time, with tick events.
    pub(crate) async fn advance(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            time::advance(TICK_INTERVAL).await;
            self.handle(Event::Tick);
        }
    }

    pub(crate) fn limit(&self) -> u32 {
        self.controller.hint().limit
    }

    /// Returns why an attempt was refused; `None` if it was not.
    pub(crate) fn refusal_kind(&self, number: u32) -> Option<ErrorKind> {
        let refused = self.refused.iter().find(|(n, _)| *n == number);
        refused.map(|(_, fault)| fault.kind())
    }
}
