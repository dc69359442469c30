//! Score of an endpoint from its load, health and connections.

use conf::id;
use fleet::Registration;
use rand::RngExt as _;
use tokio::time::Instant;

use super::{
    Attempt, Balancer,
    partitions::{Candidate, Fitness},
};
use crate::Load;

/// Pending prompt tokens that weigh as much in an endpoint's score as one generating request.
///
/// An engine reads about as many in the time that one more request adds to a forward pass.
const TOKENS_PER_REQUEST: f64 = 400.0;
/// Score bonus of an endpoint with an idle connection, in generating requests; new connections are
/// billed.
const CONNECTION_BONUS: f64 = 0.4;
/// Upper bound of the random part of a score, in generating requests; it keeps entries with the same
/// information from choosing the same endpoint.
const MAX_JITTER: f64 = 0.6;
/// Score penalty of an endpoint with a failure rate of 1, in generating requests; lower rates count in
/// proportion.
const FAILURE_PENALTY: f64 = 12.0;
/// Score penalty of an endpoint that has just declined a request, in generating requests; it fades within
/// a second.
const DECLINE_PENALTY: f64 = 8.0;
/// Penalty for failures and declined requests from which an endpoint is not preferred for its zone; that of
/// one request in six that fails.
const IMPAIRED_PENALTY: f64 = 2.0;

impl Balancer {
    /// Scores an endpoint for an attempt.
    pub(super) fn score<'a>(
        &mut self,
        attempt: &Attempt<'_>,
        (endpoint, known): (&'a id::Endpoint, &'a Registration),
        load: Load,
        cold: bool,
        now: Instant,
    ) -> Candidate<'a> {
        let slots = f64::from(known.endpoint.slots);
        let weight = f64::from(load.requests) + f64::from(load.pending_tokens) / TOKENS_PER_REQUEST;
        let failures = self.health.failure_rate(endpoint) * FAILURE_PENALTY;
        let penalty = failures + self.health.recent_decline(endpoint, now) * DECLINE_PENALTY;
        let mut score = weight + penalty + if cold { slots } else { 0.0 };
        if attempt.connected.contains(endpoint) {
            score -= CONNECTION_BONUS;
        }
        score += self.random.random_range(0.0..MAX_JITTER);
        let fitness = if cold || penalty >= IMPAIRED_PENALTY {
            Fitness::Impaired
        } else if weight + penalty < slots.max(1.0) {
            Fitness::Room
        } else {
            Fitness::Full
        };
        Candidate {
            score,
            fitness,
            endpoint,
            known,
            requests: load.requests,
            cold,
            limit: None,
        }
    }
}
