use std::time::Duration;

use fault::Fault;
use rand::RngExt as _;
use wire::Request;

use super::{
    CONVERSATIONS, Call, Event, MAX_RESUBMISSIONS, MESSAGE_DELAY, ORDER_TOKENS, SHARED_PREFIX,
    Simulator, request_name,
};
use crate::simulation::{
    plan::{DRAFT_TOKENS, priority},
    summary::Outcome,
};

/// # Clients
impl Simulator {
    pub(super) fn add_request(&mut self) {
        let demand = self.plan.demand.clone();
        let total = demand.drafts + demand.orders;
        let interarrival = -(1.0 - self.rng.random::<f64>()).ln() / total;
        self.schedule(Duration::from_secs_f64(interarrival), Event::Arrival);
        let is_order = self.rng.random::<f64>() * total < demand.orders;
        let low_priority = self.rng.random::<f64>() < demand.low_share;
        let mut remaining = self.rng.random::<f64>();
        let team = demand.teams.iter().find(|team| {
            remaining -= team.share;
            remaining < 0.0
        });
        let conversation = CONVERSATIONS as f64 * self.rng.random::<f64>().powi(2);
        let (service, tokens) = if is_order {
            ("orders", ORDER_TOKENS)
        } else {
            (
                "drafts",
                self.rng.random_range(DRAFT_TOKENS.0..=DRAFT_TOKENS.1),
            )
        };
        self.outcomes.push(Outcome {
            team: team.or(demand.teams.last()).map_or("", |team| team.name),
            priority: priority(is_order, low_priority),
            arrived: self.now - self.started_at,
            first_token: None,
            answered: None,
            rejections: 0,
            truncated: false,
        });
        self.requests.push(Call {
            service,
            entry: 0,
            prefixes: vec![SHARED_PREFIX, 2 + conversation as u64],
            tokens,
            deadline: self.now,
            submissions: 0,
            submitted_at: self.now,
            attempt: 0,
        });
        self.submit(self.requests.len() - 1);
    }

    /// Submits a request to a random entry.
    pub(super) fn submit(&mut self, request: usize) {
        let entry = self.rng.random_range(0..self.entries.len());
        let call = &mut self.requests[request];
        call.entry = entry;
        call.submissions += 1;
        call.submitted_at = self.now;
        call.attempt = 0;
        call.deadline = self.now + Duration::from_secs(10);
        let outcome = &self.outcomes[request];
        let begin = route::Event::Begin(route::Descriptor {
            request: request_name(request, call.submissions),
            team: outcome.team.into(),
            service: call.service.into(),
            priority: outcome.priority,
            repeatable: call.service == "drafts",
            owner: None,
            prefixes: call.prefixes.clone(),
            fingerprint: request as u64,
            replayable: true,
            deadline: call.deadline,
        });
        self.handle_entry_event(entry, begin);
    }

    pub(super) fn handle_entry_event(&mut self, entry: usize, event: route::Event) {
        for action in self.entries[entry].policy.handle(event, self.now) {
            let Some(request) = self.request_index(action.request()) else {
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
                        self.schedule(
                            MESSAGE_DELAY,
                            Event::Offer {
                                agent,
                                request,
                                attempt,
                                version,
                            },
                        );
                    }
                }
                route::Action::Reject { fault, .. } => self.reject(request, &fault),
                route::Action::Abandon { attempt, .. } => self.cancel_abandoned(request, attempt),
            }
        }
    }

    /// Records a rejection and schedules the next submission of the request, if there is one.
    pub(super) fn reject(&mut self, request: usize, fault: &Fault) {
        self.outcomes[request].rejections += 1;
        let call = &self.requests[request];
        let (entry, name) = (call.entry, request_name(request, call.submissions));
        let wait = self.now - call.submitted_at;
        if fault.run() == fault::Run::No {
            self.slowest_rejection = self.slowest_rejection.max(wait);
        }
        let retry_delay = fault.retry_delay();
        self.handle_entry_event(entry, route::Event::Ended { request: name });
        if let (true, Some(retry_delay)) = (
            self.outcomes[request].rejections <= MAX_RESUBMISSIONS,
            retry_delay,
        ) {
            let seconds = Duration::from_secs(retry_delay.as_secs_f64().ceil() as u64);
            let delay = seconds.mul_f64(1.0 + 0.1 * self.rng.random::<f64>());
            self.schedule(delay, Event::Resubmit(request));
        }
    }

    /// Returns the index of the request whose current submission has the given name.
    pub(super) fn request_index(&self, name: &Request) -> Option<usize> {
        let (request, submission) = name.split_once('.')?;
        let request: usize = request.parse().ok()?;
        let current = self.requests.get(request)?.submissions.to_string() == submission;
        current.then_some(request)
    }
}
