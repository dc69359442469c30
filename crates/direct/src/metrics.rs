use prometheus::{
    Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

use crate::{Evicted, budget};

/// Upper bounds of the latency histogram buckets, in seconds; they are densest around the latency
/// targets that routes usually state.
const BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0,
];

/// Upper bounds of the buckets for errors of predicted passes, in seconds; a pass lasts 30 to 130 ms.
const PASS_ERROR_BUCKETS: [f64; 9] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2];

/// Largest level in the label of a metric; higher ones count for it.
pub(crate) const MAX_LEVEL: u8 = 9;

/// Prometheus metrics of an entry.
#[derive(Clone)]
pub(crate) struct Metrics {
    /// Client requests by outcome.
    pub(crate) requests: IntCounterVec,
    /// Attempts at endpoints by outcome.
    pub(crate) sends: IntCounterVec,
    /// Client requests that were refused because more urgent ones have priority, by level.
    pub(crate) outranked: IntCounterVec,
    /// Retries by decision of the retry budget: granted or refused.
    pub(crate) retries: IntCounterVec,
    /// Changes of which requests are refused because endpoints crash under them, by verdict.
    pub(crate) suspects: IntCounterVec,
    /// Changes of which prompt parts are refused because endpoints crash under them, by verdict.
    pub(crate) parts: IntCounterVec,
    /// What was forgotten or not told because of a limit, by kind.
    pub(crate) left_out: IntCounterVec,
    /// Endpoints that may have restarted, and are taken for cold.
    pub(crate) restarts: IntCounter,
    /// Attempts at endpoints in other zones.
    pub(crate) other_zone_sends: IntCounter,
    /// Highest share of the requests that leaves the zone, over the services.
    pub(crate) other_zone_share: Gauge,
    /// Time from a request's arrival to the first byte of its response, in seconds.
    pub(crate) first_byte: Histogram,
    /// Time from a request's arrival to the end of its response, in seconds.
    pub(crate) full_response: Histogram,
    /// Client requests in progress, without streams whose response has started.
    pub(crate) in_flight: IntGauge,
    /// Entries from which a gossip message came in recently, including this one.
    pub(crate) entries: IntGauge,
    /// Endpoints that state a limit.
    pub(crate) limited: IntGauge,
    /// Lowest comfortable load of a group, in requests per engine; 0 while none is known.
    pub(crate) comfortable_load: Gauge,
    /// Difference between the predicted and the measured duration of passes, in seconds.
    pub(crate) pass_error: Histogram,
}

impl Metrics {
    /// Raises the counters of retries to what the budget has decided.
    pub(crate) fn record_retries(&self, totals: budget::Totals) {
        for (decision, total) in [("granted", totals.granted), ("refused", totals.refused)] {
            let counter = self.retries.with_label_values(&[decision]);
            counter.inc_by(total.saturating_sub(counter.get()));
        }
    }

    /// Raises the counters of what was forgotten to the totals.
    pub(crate) fn record_evicted(&self, totals: Evicted) {
        let Evicted {
            answers,
            breaks,
            suspects,
        } = totals;
        for (kind, total) in [
            ("answer", answers),
            ("break", breaks),
            ("suspect", suspects),
        ] {
            let counter = self.left_out.with_label_values(&[kind]);
            counter.inc_by(total.saturating_sub(counter.get()));
        }
    }

    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric of the same name is already registered.
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str, label: &str| -> prometheus::Result<IntCounterVec> {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            prometheus::Result::Ok(histogram)
        };
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let other_zone_sends = IntCounter::new(
            "apricot_direct_other_zone_sends_total",
            "Sends to endpoints in other zones.",
        )?;
        registry.register(Box::new(other_zone_sends.clone()))?;
        let other_zone_share = Gauge::new(
            "apricot_direct_other_zone_share",
            "Highest share of a service's requests that leaves the zone, 0 to 1.",
        )?;
        registry.register(Box::new(other_zone_share.clone()))?;
        let restarts = IntCounter::new(
            "apricot_direct_presumed_restarts_total",
            "Endpoints taken for cold after a lost connection.",
        )?;
        registry.register(Box::new(restarts.clone()))?;
        Ok(Self {
            restarts,
            other_zone_sends,
            other_zone_share,
            requests: counter(
                "apricot_direct_requests_total",
                "Requests by outcome.",
                "outcome",
            )?,
            sends: counter(
                "apricot_direct_sends_total",
                "Sends to endpoints by outcome.",
                "outcome",
            )?,
            outranked: counter(
                "apricot_direct_outranked_total",
                "Requests refused for more urgent ones by level.",
                "level",
            )?,
            suspects: counter(
                "apricot_direct_suspects_total",
                "Requests found to crash endpoints, or cleared of it, by verdict.",
                "verdict",
            )?,
            parts: counter(
                "apricot_direct_suspect_parts_total",
                "Prompt parts found to crash endpoints, or cleared of it, by verdict.",
                "verdict",
            )?,
            left_out: counter(
                "apricot_direct_left_out_total",
                "Items forgotten or not told because of a limit, by kind.",
                "kind",
            )?,
            retries: counter(
                "apricot_direct_retries_total",
                "Retries by decision of the budget.",
                "decision",
            )?,
            first_byte: histogram(
                "apricot_direct_first_byte_seconds",
                "Arrival to first byte.",
                &BUCKETS,
            )?,
            full_response: histogram(
                "apricot_direct_answer_seconds",
                "Arrival to end of the answer.",
                &BUCKETS,
            )?,
            in_flight: gauge("apricot_direct_in_flight", "Requests in progress.")?,
            entries: gauge("apricot_direct_entries", "Entries that were heard lately.")?,
            limited: gauge(
                "apricot_direct_limited_endpoints",
                "Endpoints that state a limit.",
            )?,
            comfortable_load: {
                let gauge = Gauge::new(
                    "apricot_direct_comfortable_load",
                    "Lowest comfortable load of a group, in requests per engine.",
                )?;
                registry.register(Box::new(gauge.clone()))?;
                gauge
            },
            pass_error: histogram(
                "apricot_direct_pass_error_seconds",
                "Predicted against measured duration of a pass.",
                &PASS_ERROR_BUCKETS,
            )?,
        })
    }
}
