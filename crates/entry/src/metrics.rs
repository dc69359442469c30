use fault::Fault;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of an entry.
#[derive(Clone)]
pub(crate) struct Metrics {
    requests: IntCounter,
    refusals: IntCounterVec,
    /// Messages that belonged to another attempt and were dropped.
    pub(crate) strays: IntCounter,
    /// Requests in flight.
    pub(crate) in_flight: IntGauge,
    /// Time from arrival to the head of the answer, in seconds.
    pub(crate) first_byte: Histogram,
    /// Time from arrival to the first piece of the answer's body, in seconds.
    pub(crate) first_token: Histogram,
    /// Time between two pieces of an answer's body, in seconds.
    pub(crate) token_gap: Histogram,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub(crate) fn register(registry: &Registry) -> anyhow::Result<Self> {
        let refusals = Opts::new(
            "apricot_entry_refusals_total",
            "Requests refused, by error kind",
        );
        let first_byte = HistogramOpts::new(
            "apricot_entry_first_byte_seconds",
            "Time from the arrival of a request to the head of its answer",
        )
        .buckets(prometheus::exponential_buckets(0.001, 2.0, 16)?);
        let first_token = HistogramOpts::new(
            "apricot_entry_first_token_seconds",
            "Time from the arrival of a request to the first piece of its answer's body",
        )
        .buckets(prometheus::exponential_buckets(0.001, 2.0, 16)?);
        let token_gap = HistogramOpts::new(
            "apricot_entry_token_gap_seconds",
            "Time between two pieces of an answer's body",
        )
        .buckets(prometheus::exponential_buckets(0.001, 2.0, 14)?);
        let metrics = Self {
            requests: IntCounter::new("apricot_entry_requests_total", "Requests that arrived")?,
            refusals: IntCounterVec::new(refusals, &["kind"])?,
            strays: IntCounter::new(
                "apricot_entry_strays_total",
                "Messages dropped because they belong elsewhere",
            )?,
            in_flight: IntGauge::new("apricot_entry_in_flight", "Requests in flight")?,
            first_byte: Histogram::with_opts(first_byte)?,
            first_token: Histogram::with_opts(first_token)?,
            token_gap: Histogram::with_opts(token_gap)?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.strays.clone()))?;
        registry.register(Box::new(metrics.in_flight.clone()))?;
        registry.register(Box::new(metrics.first_byte.clone()))?;
        registry.register(Box::new(metrics.first_token.clone()))?;
        registry.register(Box::new(metrics.token_gap.clone()))?;
        Ok(metrics)
    }

    /// Counts a request that arrived.
    pub(crate) fn arrived(&self) {
        self.requests.inc();
    }

    /// Counts a refusal.
    pub(crate) fn refused(&self, fault: &Fault) {
        self.refusals
            .with_label_values(&[fault.kind().name()])
            .inc();
    }
}
