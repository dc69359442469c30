use std::sync::Arc;

use prometheus::{
    IntCounter, IntGauge,
    core::{Collector, Desc},
    proto::MetricFamily,
};

use crate::Quota;

/// Metrics of a [`Quota`], which are read when they are collected.
pub(crate) struct Metrics {
    quota: Arc<Quota>,
    connections: IntGauge,
    message_bytes: IntGauge,
    closed: IntCounter,
    revoked: IntCounter,
}

impl Metrics {
    pub(crate) fn new(quota: Arc<Quota>) -> prometheus::Result<Self> {
        Ok(Self {
            quota,
            connections: IntGauge::new(
                "apricot_quota_connections",
                "Client connections that are open.",
            )?,
            message_bytes: IntGauge::new(
                "apricot_quota_message_bytes",
                "Memory taken by large messages, in bytes.",
            )?,
            closed: IntCounter::new(
                "apricot_quota_connections_closed_total",
                "Client connections closed to make room for others.",
            )?,
            revoked: IntCounter::new(
                "apricot_quota_messages_cut_total",
                "Messages cut to make room for others.",
            )?,
        })
    }
}

impl Collector for Metrics {
    fn desc(&self) -> Vec<&Desc> {
        let gauges = [&self.connections, &self.message_bytes];
        let counters = [&self.closed, &self.revoked];
        let gauges = gauges.into_iter().flat_map(Collector::desc);
        gauges
            .chain(counters.into_iter().flat_map(Collector::desc))
            .collect()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let Quota {
            connections,
            memory,
        } = &*self.quota;
        let to_gauge = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        self.connections.set(to_gauge(connections.len()));
        self.message_bytes.set(to_gauge(memory.used()));
        let raise = |counter: &IntCounter, total: u64| {
            counter.inc_by(total.saturating_sub(counter.get()));
        };
        raise(&self.closed, connections.revoked());
        raise(&self.revoked, memory.revoked());
        let gauges = [&self.connections, &self.message_bytes];
        let counters = [&self.closed, &self.revoked];
        let gauges = gauges.into_iter().flat_map(Collector::collect);
        gauges
            .chain(counters.into_iter().flat_map(Collector::collect))
            .collect()
    }
}
