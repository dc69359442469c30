use prometheus::{IntCounter, Registry};

/// Metrics of the configuration's replication.
pub(crate) struct Metrics {
    alarms: IntCounter,
    reads: IntCounter,
    traffic: IntCounter,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        Self {
            alarms: counter(
                "apricot_configuration_alarms_total",
                "Received configuration logs that differ from the local one or cannot be read",
            ),
            reads: counter(
                "apricot_platform_reads_total",
                "Reads and long polls of the platform's configuration log",
            ),
            traffic: counter(
                "apricot_link_bytes_total",
                "Bytes sent and received on links that this process opened",
            ),
        }
    }

    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if they are registered already.
    pub(crate) fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        for counter in [&self.alarms, &self.reads, &self.traffic] {
            registry.register(Box::new(counter.clone()))?;
        }
        Ok(())
    }

    pub(crate) fn count_alarm(&self) {
        self.alarms.inc();
    }

    pub(crate) fn alarms(&self) -> u64 {
        self.alarms.get()
    }

    pub(crate) fn count_read(&self) {
        self.reads.inc();
    }

    pub(crate) fn count_traffic(&self, bytes: u64) {
        self.traffic.inc_by(bytes);
    }
}

/// Creates a counter; panics if `prometheus` rejects the constant name or help text.
fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("counter names and help texts are valid")
}
