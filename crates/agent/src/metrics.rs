use fault::Fault;
use once::Usage;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use wire::Hint;

/// Metrics of an agent.
#[derive(Clone)]
pub(crate) struct Metrics {
    refusals: IntCounterVec,
    /// Attempts that were started at the engine.
    pub(crate) runs: IntCounter,
    /// Attempts in flight at the engine.
    pub(crate) running: IntGauge,
    /// Answers of the engine that were dropped because they are incomplete or to another attempt.
    pub(crate) dropped_answers: IntCounter,
    /// Records of runs with an idempotency key.
    pub(crate) records: IntGauge,
    /// Size of the answers stored with those records, in bytes.
    pub(crate) record_bytes: IntGauge,
    /// Time that an attempt waits until it is admitted or refused, in seconds.
    pub(crate) queue_time: Histogram,
    limit: IntGauge,
    queued: IntGauge,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub(crate) fn register(registry: &Registry) -> anyhow::Result<Self> {
        let refusals = Opts::new(
            "apricot_agent_refusals_total",
            "Attempts refused, by error kind",
        );
        let queue_time = HistogramOpts::new(
            "apricot_agent_queue_seconds",
            "Time that an attempt waits until it is admitted or refused",
        )
        .buckets(prometheus::exponential_buckets(0.001, 2.0, 12)?);
        let metrics = Self {
            refusals: IntCounterVec::new(refusals, &["kind"])?,
            runs: IntCounter::new("apricot_agent_runs_total", "Attempts started at the engine")?,
            running: IntGauge::new("apricot_agent_running", "Attempts in flight at the engine")?,
            dropped_answers: IntCounter::new(
                "apricot_agent_strays_total",
                "Answers of the engine dropped because they are incomplete or to another attempt",
            )?,
            records: IntGauge::new(
                "apricot_agent_records",
                "Records of runs with an idempotency key",
            )?,
            record_bytes: IntGauge::new(
                "apricot_agent_record_bytes",
                "Size of the answers stored with run records",
            )?,
            queue_time: Histogram::with_opts(queue_time)?,
            limit: IntGauge::new(
                "apricot_agent_limit",
                "Largest number of attempts in flight that is allowed at present",
            )?,
            queued: IntGauge::new("apricot_agent_queued", "Attempts that wait to be admitted")?,
        };
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.runs.clone()))?;
        registry.register(Box::new(metrics.running.clone()))?;
        registry.register(Box::new(metrics.dropped_answers.clone()))?;
        registry.register(Box::new(metrics.records.clone()))?;
        registry.register(Box::new(metrics.record_bytes.clone()))?;
        registry.register(Box::new(metrics.queue_time.clone()))?;
        registry.register(Box::new(metrics.limit.clone()))?;
        registry.register(Box::new(metrics.queued.clone()))?;
        Ok(metrics)
    }

    /// Sets the gauges of the run records.
    pub(crate) fn set_usage(&self, usage: Usage) {
        self.records
            .set(i64::try_from(usage.records).unwrap_or(i64::MAX));
        self.record_bytes
            .set(i64::try_from(usage.bytes).unwrap_or(i64::MAX));
    }

    /// Sets the gauges of the limit and the queue.
    pub(crate) fn set_load(&self, hint: Hint) {
        self.limit.set(i64::from(hint.limit));
        self.queued.set(i64::from(hint.queued));
    }

    /// Counts a refused attempt by the kind of its error.
    pub(crate) fn count_refusal(&self, fault: &Fault) {
        self.refusals
            .with_label_values(&[fault.kind().name()])
            .inc();
    }
}
