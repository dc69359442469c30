use std::{collections::HashMap, time::Duration};

use conf::id;
use rand::seq::IteratorRandom as _;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::time::Instant;

use crate::departures::Incarnation;

/// Time after the first answer for which a loss is told to other entries, longer than usual cold starts: entries that
/// start meanwhile learn of it. A loss without an answer is told for as long as the endpoint is registered.
const REPORT_SPAN: Duration = Duration::from_secs(5);
/// Largest difference between what two entries know of the same loss: the ages that they tell do not include the time
/// on the way.
const REPORT_TOLERANCE: Duration = Duration::from_millis(300);
/// Maximum number of losses in one message, so that it fits into one packet.
const MAX_NEWS: usize = 4;
/// Maximum number of endpoints that are remembered.
const MAX_RECORDS: usize = 4096;

/// Loss of an endpoint, for other entries.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loss {
    /// Endpoint to which a connection was lost, or could not be set up.
    pub endpoint: id::Endpoint,
    /// Incarnation that was registered then.
    pub incarnation: Incarnation,
    /// Time since the loss.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Time since the endpoint was certainly in the run that may have ended.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub alive_age: Duration,
    /// Time since the first answer to a request that was sent after the loss, if there was one.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub answer_age: Option<Duration>,
    /// Age of the connection of an answer after the loss, if it shows that the endpoint has survived.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub connection_age: Option<Duration>,
}

/// Answer of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Time at which its connection was set up.
    pub opened_at: Instant,
    /// Time at which its request was sent.
    pub sent_at: Instant,
    /// Time at which it came in.
    pub at: Instant,
}

/// Finds endpoints that may be back from a restart, and so in a cold start, although they are registered as before.
///
/// The store tells of a restart under the same id late, and not at all while it is down. After a lost connection, an
/// endpoint may have restarted at any time until it answers a later request; it is taken for cold until then, and for
/// its cold start from then on. Two things end this sooner: a registration of a later incarnation, which states how long
/// the endpoint is cold, and an answer on a connection that was set up while the endpoint was certainly in its earlier
/// run, which has thus survived.
#[derive(Clone, Debug, Default)]
pub struct Restarts {
    endpoints: HashMap<id::Endpoint, Record>,
    /// Endpoints that may have restarted, for the log.
    found: Vec<id::Endpoint>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    incarnation: Incarnation,
    /// Time at which the endpoint was certainly in the run that may have ended.
    alive_at: Instant,
    lost_at: Instant,
    /// Time of the first answer to a request that was sent after the loss.
    answered_at: Option<Instant>,
    /// Time at which a connection was set up that has outlived the loss.
    opened_at: Option<Instant>,
}

impl Record {
    /// Returns whether the endpoint may have restarted, with a cold start of `cold_time`.
    fn may_be_cold(&self, cold_time: Duration, now: Instant) -> bool {
        self.opened_at.is_none() && self.answered_at.is_none_or(|at| now < at + cold_time)
    }
}

impl Restarts {
    /// Returns whether an incarnation of an endpoint may have restarted, with a cold start of `cold_time`.
    #[must_use]
    pub fn may_be_cold(
        &self,
        endpoint: &str,
        incarnation: Incarnation,
        cold_time: Duration,
        now: Instant,
    ) -> bool {
        let record = self.endpoints.get(endpoint);
        record.is_some_and(|record| {
            record.incarnation == incarnation && record.may_be_cold(cold_time, now)
        })
    }

    /// Records that a connection to an endpoint was lost or could not be set up; the endpoint was certainly in its earlier
    /// run at `alive_at`.
    pub fn record_loss(
        &mut self,
        endpoint: &id::Endpoint,
        incarnation: Incarnation,
        alive_at: Instant,
        now: Instant,
    ) {
        // A second loss may tell of the same end.
        let known = self.endpoints.get(endpoint);
        let open = known.filter(|k| k.incarnation == incarnation && k.answered_at.is_none());
        let alive_at = open.map_or(alive_at, |known| known.alive_at.min(alive_at));
        if !self.may_be_cold(endpoint, incarnation, Duration::ZERO, now) {
            self.found.push(endpoint.clone());
        }
        if self.endpoints.len() < MAX_RECORDS || self.endpoints.contains_key(endpoint) {
            let record = Record {
                incarnation,
                alive_at,
                lost_at: now,
                answered_at: None,
                opened_at: None,
            };
            self.endpoints.insert(endpoint.clone(), record);
        }
    }

    /// Returns the endpoints that may have restarted, as was found since the last call.
    pub fn take_found(&mut self) -> Vec<id::Endpoint> {
        std::mem::take(&mut self.found)
    }

    /// Records an answer of an endpoint.
    pub fn record_answer(&mut self, endpoint: &str, answer: Answer) {
        let Some(record) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if answer.sent_at > record.lost_at {
            record.answered_at.get_or_insert(answer.at);
            if answer.opened_at < record.alive_at {
                record.opened_at = Some(answer.opened_at);
            }
        }
    }

    /// Removes endpoints that are not `known`, and those that answered longer ago than the longest cold start.
    pub fn retain(
        &mut self,
        known: impl Fn(&id::Endpoint) -> bool,
        longest: Duration,
        now: Instant,
    ) {
        let is_over = |at: Instant| now.duration_since(at) >= longest.max(REPORT_SPAN);
        self.endpoints
            .retain(|endpoint, record| known(endpoint) && !record.answered_at.is_some_and(is_over));
    }
}

/// # Other entries
impl Restarts {
    /// Returns the losses that still count, and those that lately turned out not to, a sample if they are many.
    #[must_use]
    pub fn news(&self, now: Instant) -> Vec<Loss> {
        let losses = self.endpoints.iter().filter_map(|(endpoint, record)| {
            let answer_age = record.answered_at.map(|at| now.duration_since(at));
            let is_told = answer_age.is_none_or(|age| age < REPORT_SPAN);
            is_told.then(|| Loss {
                endpoint: endpoint.clone(),
                incarnation: record.incarnation,
                age: now.duration_since(record.lost_at),
                alive_age: now.duration_since(record.alive_at),
                answer_age,
                connection_age: record.opened_at.map(|at| now.duration_since(at)),
            })
        });
        losses.sample(&mut rand::rng(), MAX_NEWS)
    }

    /// Applies what another entry tells of lost endpoints.
    pub fn merge(&mut self, losses: &[Loss], now: Instant) {
        for loss in losses {
            let lost_at = now.checked_sub(loss.age).unwrap_or(now);
            let known = self.endpoints.get(&loss.endpoint);
            let is_known = known.is_some_and(|record| {
                record.incarnation == loss.incarnation
                    && record.lost_at + REPORT_TOLERANCE >= lost_at
            });
            let counts = loss.answer_age.is_none_or(|age| age < REPORT_SPAN);
            if counts && !is_known {
                let alive_at = now.checked_sub(loss.alive_age).unwrap_or(now);
                self.record_loss(&loss.endpoint, loss.incarnation, alive_at, lost_at);
            }
            self.merge_answer(loss, now);
        }
    }

    /// Applies the answer to another entry after a loss, if it also came after the loss that is known here.
    fn merge_answer(&mut self, loss: &Loss, now: Instant) {
        let at = |age: Option<Duration>| Some(now.checked_sub(age?).unwrap_or(now));
        let Some(answered_at) = at(loss.answer_age) else {
            return;
        };
        let Some(record) = self.endpoints.get_mut(&loss.endpoint) else {
            return;
        };
        if record.incarnation != loss.incarnation
            || answered_at <= record.lost_at + REPORT_TOLERANCE
        {
            return;
        }
        let earliest = record.answered_at.unwrap_or(answered_at).min(answered_at);
        record.answered_at = Some(earliest);
        let opened_at = at(loss.connection_age);
        if let Some(opened_at) = opened_at.filter(|at| *at + REPORT_TOLERANCE < record.alive_at) {
            record.opened_at = Some(opened_at);
        }
    }
}
