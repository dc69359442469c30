use std::{collections::HashMap, time::Duration};

use hdrhistogram::Histogram;
use smol_str::SmolStr;
use tokio::time::Instant;

/// Time after which the older half of the durations is forgotten.
const WINDOW: Duration = Duration::from_secs(30);
/// Quantile that counts as the usual duration, 0 to 1.
const USUAL_QUANTILE: f64 = 0.95;
/// Number of requests from which on the usual duration is known.
const MIN_REQUESTS: u64 = 20;
/// Maximum number of routes whose durations are recorded.
const MAX_ROUTES: usize = 256;
/// Longest duration that is told apart, in milliseconds.
const MAX_MILLIS: u64 = 600_000;

/// Remembers how long the requests of each route took lately, from their arrival to the end of the answer.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    routes: HashMap<SmolStr, Windows>,
}

#[derive(Clone, Debug)]
struct Windows {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    started: Instant,
}

impl Durations {
    /// Records how long a request took.
    pub fn record(&mut self, route: &SmolStr, duration: Duration, now: Instant) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            return;
        }
        let Some(windows) = self.windows(route, now) else {
            return;
        };
        windows.turn(now);
        let millis = u64::try_from(duration.as_millis()).unwrap_or(MAX_MILLIS);
        windows.current.saturating_record(millis);
    }

    fn windows(&mut self, route: &SmolStr, now: Instant) -> Option<&mut Windows> {
        if !self.routes.contains_key(route) {
            let histogram = Histogram::new_with_max(MAX_MILLIS, 1).ok()?;
            let windows = Windows {
                current: histogram.clone(),
                previous: histogram,
                started: now,
            };
            self.routes.insert(route.clone(), windows);
        }
        self.routes.get_mut(route)
    }

    /// Returns the time within which the requests of a route are usually complete, if enough of them were.
    #[must_use]
    pub fn usual(&self, route: &str) -> Option<Duration> {
        let windows = self.routes.get(route)?;
        let mut all = windows.current.clone();
        all.add(&windows.previous).ok()?;
        (all.len() >= MIN_REQUESTS)
            .then(|| Duration::from_millis(all.value_at_quantile(USUAL_QUANTILE)))
    }
}

impl Windows {
    /// Forgets what is older than the last two windows.
    fn turn(&mut self, now: Instant) {
        if now.duration_since(self.started) >= WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.started = now;
        }
    }
}
