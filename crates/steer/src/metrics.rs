use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Prometheus metrics of an agent.
#[derive(Clone)]
pub(crate) struct Metrics {
    /// Orders to the engine, by outcome.
    pub(crate) orders: IntCounterVec,
    /// Reports to the leader, by outcome.
    pub(crate) reports: IntCounterVec,
    /// Serving groups that this agent leads and cannot plan for: 0 or 1.
    pub(crate) unplannable: IntGauge,
    /// First responses to a sudden change that this agent has begun as leader.
    pub(crate) first_responses: IntCounter,
}

impl Metrics {
    /// Creates the metrics in a registry.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric of the same name is registered already.
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str| -> prometheus::Result<IntCounterVec> {
            let counter = IntCounterVec::new(Opts::new(name, help), &["outcome"])?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let unplannable = IntGauge::new(
            "apricot_steer_unplannable_groups",
            "Serving groups led here for which no map can be planned.",
        )?;
        registry.register(Box::new(unplannable.clone()))?;
        let first_responses = IntCounter::new(
            "apricot_steer_first_responses_total",
            "Switches begun here as first response to a sudden change of demand.",
        )?;
        registry.register(Box::new(first_responses.clone()))?;
        Ok(Self {
            orders: counter("apricot_steer_orders_total", "Orders to the engine.")?,
            reports: counter("apricot_steer_reports_total", "Reports to the leader.")?,
            unplannable,
            first_responses,
        })
    }
}
