use std::time::Duration;

use fault::Fault;
use rand::RngExt as _;
use wire::Request;

use super::{Ask, Event, ORDER_TOKENS, RETURNS, TALKS, TEMPLATE, WIRE, World, name};
use crate::bench::{
    plan::{TOKENS, priority},
    tally::Outcome,
};

/// # Callers
impl World {
    pub(super) fn arrive(&mut self) {
        let demand = self.plan.demand.clone();
        let total = demand.drafts + demand.orders;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / total;
        self.push(Duration::from_secs_f64(gap), Event::Arrive);
        let orders = self.rng.random::<f64>() * total < demand.orders;
        let low = self.rng.random::<f64>() < demand.low;
        let mut point = self.rng.random::<f64>();
        let team = demand.teams.iter().find(|team| {
            point -= team.part;
            point < 0.0
        });
        let talk = TALKS as f64 * self.rng.random::<f64>().powi(2);
        let (service, tokens) = if orders {
            ("orders", ORDER_TOKENS)
        } else {
            ("drafts", self.rng.random_range(TOKENS.0..=TOKENS.1))
        };
        self.outcomes.push(Outcome {
            team: team.or(demand.teams.last()).map_or("", |team| team.name),
            priority: priority(orders, low),
            arrived: self.now - self.begin,
            first: None,
            answered: None,
            refused: 0,
            cut: false,
        });
        self.requests.push(Ask {
            service,
            entry: 0,
            prefix: vec![TEMPLATE, 2 + talk as u64],
            tokens,
            deadline: self.now,
            sends: 0,
            sent: self.now,
            attempt: 0,
        });
        self.send(self.requests.len() - 1);
    }

    pub(super) fn send(&mut self, request: usize) {
        let entry = self.rng.random_range(0..self.entries.len());
        let ask = &mut self.requests[request];
        ask.entry = entry;
        ask.sends += 1;
        ask.sent = self.now;
        ask.attempt = 0;
        ask.deadline = self.now + Duration::from_secs(10);
        let outcome = &self.outcomes[request];
        let begin = route::Event::Begin(route::Ask {
            request: name(request, ask.sends),
            team: outcome.team.into(),
            service: ask.service.into(),
            priority: outcome.priority,
            repeatable: ask.service == "drafts",
            owner: None,
            prefix: ask.prefix.clone(),
            fingerprint: request as u64,
            replayable: true,
            deadline: ask.deadline,
        });
        self.tell(entry, begin);
    }

    pub(super) fn tell(&mut self, entry: usize, event: route::Event) {
        for action in self.entries[entry].policy.handle(event, self.now) {
            let Some(request) = self.number(action.request()) else {
                continue;
            };
            match action {
                route::Action::Offer {
                    attempt, endpoint, ..
                } => {
                    self.requests[request].attempt = attempt;
                    let version = self.entries[entry].version;
                    let agent = self.agents.iter().position(|a| a.name == endpoint);
                    if let Some(agent) = agent {
                        self.push(
                            WIRE,
                            Event::Offer {
                                agent,
                                request,
                                attempt,
                                version,
                            },
                        );
                    }
                }
                route::Action::GiveUp { fault, .. } => self.give_up(request, &fault),
                route::Action::Abandon { attempt, .. } => self.abandon(request, attempt),
            }
        }
    }

    pub(super) fn give_up(&mut self, request: usize, fault: &Fault) {
        self.outcomes[request].refused += 1;
        let ask = &self.requests[request];
        let (entry, name) = (ask.entry, name(request, ask.sends));
        let waited = self.now - ask.sent;
        if fault.run() == fault::Run::No {
            self.slowest_refusal = self.slowest_refusal.max(waited);
        }
        let after = fault.retry_delay();
        self.tell(entry, route::Event::Ended { request: name });
        if let (true, Some(after)) = (self.outcomes[request].refused <= RETURNS, after) {
            let seconds = Duration::from_secs(after.as_secs_f64().ceil() as u64);
            let split = seconds.mul_f64(1.0 + 0.1 * self.rng.random::<f64>());
            self.push(split, Event::Return(request));
        }
    }

    /// Returns the number of a request whose present send has a name.
    pub(super) fn number(&self, name: &Request) -> Option<usize> {
        let (request, send) = name.split_once('.')?;
        let request: usize = request.parse().ok()?;
        let present = self.requests.get(request)?.sends.to_string() == send;
        present.then_some(request)
    }
}
