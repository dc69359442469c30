//! Response times of plain services.

use std::{collections::HashMap, time::Duration};

use conf::id;
use tokio::time::Instant;

/// Weight of the newest response time in the moving averages, 0 to 1. A larger one would let the
/// scatter of single responses look like a difference between zones.
const NEWEST_WEIGHT: f64 = 0.05;
/// Mean response time of a service until one has been measured.
const DEFAULT_MEAN: Duration = Duration::from_millis(100);
/// Time after which an endpoint without responses counts as unmeasured, so that one that was slow once
/// is tried again.
const MEASUREMENT_TTL: Duration = Duration::from_secs(10);
/// Part of the own zone's predicted time that a request must gain elsewhere, besides the round trip.
const MIN_GAIN: f64 = 0.1;

/// Predicts response times of plain services from those measured.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    services: HashMap<id::Service, Means>,
}

/// Mean response times of a service and its endpoints.
#[derive(Clone, Debug)]
struct Means {
    service: Duration,
    endpoints: HashMap<id::Endpoint, (Duration, Instant)>,
}

impl Latency {
    /// Records the time of a complete response.
    pub fn record(
        &mut self,
        service: &id::Service,
        endpoint: &id::Endpoint,
        time: Duration,
        now: Instant,
    ) {
        let means = self.services.entry(service.clone());
        let means = means.or_insert_with(|| Means {
            service: time,
            endpoints: HashMap::new(),
        });
        means.service = average(means.service, time);
        let endpoint = means.endpoints.entry(endpoint.clone());
        let (mean, measured_at) = endpoint.or_insert((means.service, now));
        if now.duration_since(*measured_at) >= MEASUREMENT_TTL {
            *mean = means.service;
        }
        (*mean, *measured_at) = (average(*mean, time), now);
    }

    /// Predicts the response time of one more request at an endpoint with `requests` in flight: the mean
    /// time x (requests + 1) / slots, at least the mean.
    #[must_use]
    pub fn predict(
        &self,
        service: &str,
        endpoint: &str,
        requests: u32,
        slots: u32,
        now: Instant,
    ) -> Duration {
        let mean = self.services.get(service).map_or(DEFAULT_MEAN, |means| {
            let measured = means.endpoints.get(endpoint);
            let recent = measured.filter(|(_, at)| now.duration_since(*at) < MEASUREMENT_TTL);
            recent.map_or(means.service, |(mean, _)| *mean)
        });
        let load = f64::from(requests.saturating_add(1)) / f64::from(slots.max(1));
        mean.mul_f64(load.max(1.0))
    }

    /// Removes the endpoints that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&id::Endpoint) -> bool) {
        for means in self.services.values_mut() {
            means.endpoints.retain(|endpoint, _| known(endpoint));
        }
        self.services.retain(|_, means| !means.endpoints.is_empty());
    }
}

/// Returns whether a request gains enough in another zone: its predicted time there is below `own`, that
/// in the own zone, by more than the round trip plus a tenth of `own`.
#[must_use]
pub fn is_gain(own: Duration, elsewhere: Duration, round_trip: Duration) -> bool {
    let least_gain = round_trip.saturating_add(own.mul_f64(MIN_GAIN));
    own > elsewhere.saturating_add(least_gain)
}

fn average(mean: Duration, newest: Duration) -> Duration {
    mean.mul_f64(1.0 - NEWEST_WEIGHT) + newest.mul_f64(NEWEST_WEIGHT)
}
