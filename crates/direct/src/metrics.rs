use prometheus::{Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry};

/// Bounds of the latency histograms in seconds, around the targets that routes usually state.
const BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0,
];

/// Metrics of an entry that sends directly.
#[derive(Clone)]
pub(crate) struct Metrics {
    /// Requests by route kind and outcome.
    pub(crate) requests: IntCounterVec,
    /// Sends to endpoints by outcome.
    pub(crate) sends: IntCounterVec,
    /// Time from a request's arrival to the first byte of its answer.
    pub(crate) first_byte: Histogram,
    /// Time from a request's arrival to the end of its answer.
    pub(crate) whole: Histogram,
    /// Requests in progress.
    pub(crate) in_flight: IntGauge,
    /// Entries that were heard lately, this one included.
    pub(crate) entries: IntGauge,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is taken.
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str, label: &str| -> prometheus::Result<IntCounterVec> {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let histogram = |name: &str, help: &str| -> prometheus::Result<Histogram> {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok(histogram)
        };
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Self {
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
            first_byte: histogram(
                "apricot_direct_first_byte_seconds",
                "Arrival to first byte.",
            )?,
            whole: histogram(
                "apricot_direct_answer_seconds",
                "Arrival to end of the answer.",
            )?,
            in_flight: gauge("apricot_direct_in_flight", "Requests in progress.")?,
            entries: gauge("apricot_direct_entries", "Entries that were heard lately.")?,
        })
    }
}
