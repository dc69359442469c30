use fault::Fault;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of an entry.
#[derive(Clone)]
pub(crate) struct Metrics {
    requests: IntCounter,
    rejections: IntCounterVec,
    /// Messages that were dropped because they belong to another attempt.
    pub(crate) dropped_messages: IntCounter,
    /// Requests whose answer is being sent to the client.
    pub(crate) in_flight: IntGauge,
    /// Time from the arrival of a request to the head of its answer, in seconds.
    pub(crate) first_byte: Histogram,
    /// Time from the arrival of a request to the first chunk of its answer's body, in seconds.
    pub(crate) first_token: Histogram,
    /// Time between consecutive chunks of an answer's body, in seconds.
    pub(crate) token_gap: Histogram,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub(crate) fn register(registry: &Registry) -> anyhow::Result<Self> {
        let rejections = Opts::new(
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
            "Time from the arrival of a request to the first chunk of its answer's body",
        )
        .buckets(prometheus::exponential_buckets(0.001, 2.0, 16)?);
        let token_gap = HistogramOpts::new(
            "apricot_entry_token_gap_seconds",
            "Time between consecutive chunks of an answer's body",
        )
        .buckets(prometheus::exponential_buckets(0.001, 2.0, 14)?);
        let metrics = Self {
            requests: IntCounter::new("apricot_entry_requests_total", "Requests that arrived")?,
            rejections: IntCounterVec::new(rejections, &["kind"])?,
            dropped_messages: IntCounter::new(
                "apricot_entry_strays_total",
                "Messages dropped because they belong to another attempt",
            )?,
            in_flight: IntGauge::new("apricot_entry_in_flight", "Requests in flight")?,
            first_byte: Histogram::with_opts(first_byte)?,
            first_token: Histogram::with_opts(first_token)?,
            token_gap: Histogram::with_opts(token_gap)?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.rejections.clone()))?;
        registry.register(Box::new(metrics.dropped_messages.clone()))?;
        registry.register(Box::new(metrics.in_flight.clone()))?;
        registry.register(Box::new(metrics.first_byte.clone()))?;
        registry.register(Box::new(metrics.first_token.clone()))?;
        registry.register(Box::new(metrics.token_gap.clone()))?;
        Ok(metrics)
    }

    pub(crate) fn count_request(&self) {
        self.requests.inc();
    }

    /// Counts a rejected request, or an answer that failed after it began.
    pub(crate) fn count_rejection(&self, fault: &Fault) {
        self.rejections
            .with_label_values(&[fault.kind().name()])
            .inc();
    }
}
