use fault::Fault;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use wire::Hint;

/// Metrics of an agent.
#[derive(Clone)]
pub(crate) struct Metrics {
    refusals: IntCounterVec,
    /// Attempts that were started at the engine.
    pub(crate) runs: IntCounter,
    /// Attempts in flight at the engine.
    pub(crate) running: IntGauge,
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
        let metrics = Self {
            refusals: IntCounterVec::new(refusals, &["kind"])?,
            runs: IntCounter::new("apricot_agent_runs_total", "Attempts started at the engine")?,
            running: IntGauge::new("apricot_agent_running", "Attempts in flight at the engine")?,
            limit: IntGauge::new(
                "apricot_agent_limit",
                "Attempts in flight that are allowed now",
            )?,
            queued: IntGauge::new("apricot_agent_queued", "Attempts that wait")?,
        };
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.runs.clone()))?;
        registry.register(Box::new(metrics.running.clone()))?;
        registry.register(Box::new(metrics.limit.clone()))?;
        registry.register(Box::new(metrics.queued.clone()))?;
        Ok(metrics)
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
