use std::{collections::HashMap, time::Duration};

use conf::{Document, id};
use tokio::time::Instant;

/// Retries that are allowed at once after a quiet time.
const BURST: f64 = 10.0;

/// Allows retries as a share of each team's fresh requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budget {
    left: HashMap<id::Team, f64>,
}

impl Budget {
    /// Takes in a fresh request that earns `percent` of a retry.
    pub(crate) fn earn(&mut self, team: &id::Team, percent: u32) {
        let left = self.left.entry(team.clone()).or_insert(BURST);
        *left = (*left + f64::from(percent) / 100.0).min(BURST);
    }

    /// Takes one retry, if there is one.
    pub(crate) fn spend(&mut self, team: &id::Team) -> bool {
        let Some(left) = self.left.get_mut(team).filter(|left| **left >= 1.0) else {
            return false;
        };
        *left -= 1.0;
        true
    }
}

/// Limits the rate of each team to the share of one entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rates {
    teams: HashMap<id::Team, Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    left: f64,
    at: Instant,
}

impl Rates {
    /// Takes in a request of a team.
    ///
    /// # Errors
    ///
    /// Returns when the team may come back, if it has used up its rate at one of `entries` entries.
    pub(crate) fn take(
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
        let burst = rate.max(1.0);
        let full = Bucket {
            left: burst,
            at: now,
        };
        let bucket = self.teams.entry(team.clone()).or_insert(full);
        let passed = now.duration_since(bucket.at).as_secs_f64();
        bucket.left = (bucket.left + passed * rate).min(burst);
        bucket.at = now;
        if bucket.left < 1.0 {
            let missing = (1.0 - bucket.left) / rate.max(f64::MIN_POSITIVE);
            return Err(Duration::from_secs_f64(missing.min(60.0)));
        }
        bucket.left -= 1.0;
        Ok(())
    }
}
