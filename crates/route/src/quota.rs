use std::{collections::HashMap, time::Duration};

use conf::{Document, id};
use tokio::time::Instant;

/// Largest number of retries that a team can save up; also its initial balance.
const MAX_BALANCE: f64 = 10.0;
/// Longest time that a team which has used up its rate is told to wait.
const MAX_WAIT_SECONDS: f64 = 60.0;

/// Retry budget of each team, a share of its requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budget {
    /// Number of retries that each team has left.
    balances: HashMap<id::Team, f64>,
}

impl Budget {
    /// Adds `percent` hundredths of a retry to a team's balance, for a new request.
    pub(crate) fn deposit(&mut self, team: &id::Team, percent: u32) {
        let balance = self.balances.entry(team.clone()).or_insert(MAX_BALANCE);
        *balance = (*balance + f64::from(percent) / 100.0).min(MAX_BALANCE);
    }

    /// Withdraws one retry; returns whether there was one.
    pub(crate) fn withdraw(&mut self, team: &id::Team) -> bool {
        let balance = self.balances.get_mut(team);
        let Some(balance) = balance.filter(|balance| **balance >= 1.0) else {
            return false;
        };
        *balance -= 1.0;
        true
    }
}

/// Rate limiter for each team: a token bucket with this entry's part of the team's rate.
#[derive(Clone, Debug, Default)]
pub(crate) struct Limiter {
    buckets: HashMap<id::Team, Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
}

impl Limiter {
    /// Takes a token for a request of a team.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token if the team has used up its rate at one of `entries`
    /// entries.
    pub(crate) fn acquire(
        &mut self,
        document: &Document,
        team: &id::Team,
        entries: u32,
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(rate) = document.teams.get(team).and_then(|t| t.rate) else {
            return Ok(());
        };
        let rate = f64::from(rate) / f64::from(entries.max(1));
        let capacity = rate.max(1.0);
        let full = Bucket {
            tokens: capacity,
            refilled_at: now,
        };
        let bucket = self.buckets.entry(team.clone()).or_insert(full);
        let elapsed = now.duration_since(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(capacity);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            let wait = (1.0 - bucket.tokens) / rate.max(f64::MIN_POSITIVE);
            return Err(Duration::from_secs_f64(wait.min(MAX_WAIT_SECONDS)));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }
}
