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
    /// Answers of the engine that were dropped because they are not whole or not its own.
    pub(crate) strays: IntCounter,
    /// Records of runs that may not be repeated.
    pub(crate) records: IntGauge,
    /// Bytes of answers stored with them.
    pub(crate) record_bytes: IntGauge,
    /// Time that an offer waits for its verdict, in seconds.
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
            strays: IntCounter::new(
                "apricot_agent_strays_total",
                "Answers of the engine dropped because they are not whole or not its own",
            )?,
            records: IntGauge::new("apricot_agent_records", "Run records held")?,
            record_bytes: IntGauge::new(
                "apricot_agent_record_bytes",
                "Bytes of answers stored with run records",
            )?,
            queue_time: Histogram::with_opts(queue_time)?,
            limit: IntGauge::new(
                "apricot_agent_limit",
                "Attempts in flight that are allowed now",
            )?,
            queued: IntGauge::new("apricot_agent_queued", "Attempts that wait")?,
        };
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.runs.clone()))?;
        registry.register(Box::new(metrics.running.clone()))?;
        registry.register(Box::new(metrics.strays.clone()))?;
        registry.register(Box::new(metrics.records.clone()))?;
        registry.register(Box::new(metrics.record_bytes.clone()))?;
        registry.register(Box::new(metrics.queue_time.clone()))?;
        registry.register(Box::new(metrics.limit.clone()))?;
        registry.register(Box::new(metrics.queued.clone()))?;
        Ok(metrics)
    }

    /// Tells what the ledger keeps.
    pub(crate) fn keeps(&self, usage: Usage) {
        self.records
            .set(i64::try_from(usage.records).unwrap_or(i64::MAX));
        self.record_bytes
            .set(i64::try_from(usage.bytes).unwrap_or(i64::MAX));
    }

    /// Shows the load.
    pub(crate) fn load(&self, hint: Hint) {
        self.limit.set(i64::from(hint.limit));
        self.queued.set(i64::from(hint.queued));
    }

    /// Counts a refusal.
    pub(crate) fn refused(&self, fault: &Fault) {
        self.refusals
            .with_label_values(&[fault.kind().name()])
            .inc();
    }
}
