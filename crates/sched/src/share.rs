use std::{collections::HashMap, time::Duration};

use conf::id;
use tokio::time::Instant;

/// Time constant with which counts fade, in seconds.
const FADE_TIME: f64 = 2.0;
/// Least time between two computations of the fair share.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of teams with a count; others count as within their share.
const MAX_TEAMS: usize = 1024;
/// Count below which a team is forgotten; a single request falls below it within 6 s.
const MIN_COUNT: f64 = 0.05;

/// Max-min fair shares of teams in the requests that one entry admits to a service.
///
/// Teams have equal weights. The share is that up to which the requests of all teams could have been
/// admitted, given how many were.
#[derive(Clone, Debug)]
pub struct Shares {
    teams: HashMap<id::Team, Count>,
    admitted: Count,
    /// Requests that each team may have admitted, as a count; infinite while all are admitted.
    fair: f64,
    updated_at: Option<Instant>,
}

/// Number of events of the last seconds, of which older ones count less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Count {
    value: f64,
    at: Option<Instant>,
}

impl Count {
    pub(crate) fn value(self, now: Instant) -> f64 {
        let age = self
            .at
            .map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        self.value * (-age / FADE_TIME).exp()
    }

    pub(crate) fn add(&mut self, now: Instant) {
        *self = Self {
            value: self.value(now) + 1.0,
            at: Some(now),
        };
    }
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            teams: HashMap::new(),
            admitted: Count::default(),
            fair: f64::INFINITY,
            updated_at: None,
        }
    }
}

impl Shares {
    /// Counts a request of a team.
    pub fn record_request(&mut self, team: &id::Team, now: Instant) {
        self.update(now);
        if let Some(count) = self.teams.get_mut(team) {
            count.add(now);
        } else if self.teams.len() < MAX_TEAMS {
            self.teams.entry(team.clone()).or_default().add(now);
        }
    }

    /// Counts the admission of a request that was recorded.
    pub fn record_admitted(&mut self, now: Instant) {
        self.admitted.add(now);
    }

    /// Returns whether a team's requests of the last two seconds are within its fair share.
    #[must_use]
    pub fn is_within(&self, team: &id::Team, now: Instant) -> bool {
        let count = self.teams.get(team).map_or(0.0, |count| count.value(now));
        count <= self.fair
    }

    /// Computes the fair share anew if the last computation is older than 100 ms.
    fn update(&mut self, now: Instant) {
        let is_recent = |at| now.duration_since(at) < UPDATE_INTERVAL;
        if self.updated_at.is_some_and(is_recent) {
            return;
        }
        self.updated_at = Some(now);
        self.teams.retain(|_, count| count.value(now) >= MIN_COUNT);
        let counts = self.teams.values().map(|count| count.value(now)).collect();
        self.fair = fair_share(counts, self.admitted.value(now));
    }
}

/// Returns the largest amount that, if each demand gets at most as much, adds up to `capacity`.
fn fair_share(mut demands: Vec<f64>, mut capacity: f64) -> f64 {
    // Less than one request is within the error of the counts.
    if demands.iter().sum::<f64>() < capacity + 1.0 {
        return f64::INFINITY;
    }
    loop {
        let share = capacity.max(0.0) / demands.len() as f64;
        let before = demands.len();
        demands.retain(|demand| {
            let is_met = *demand <= share;
            capacity -= if is_met { *demand } else { 0.0 };
            !is_met
        });
        if demands.len() == before || demands.is_empty() {
            return share;
        }
    }
}
