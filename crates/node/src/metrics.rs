use prometheus::{IntCounter, Registry};

/// Counts the spread of the configuration.
pub(crate) struct Counts {
    alarms: IntCounter,
    reads: IntCounter,
    traffic: IntCounter,
}

impl Counts {
    /// Creates counts at zero.
    pub(crate) fn new() -> Self {
        Self {
            alarms: counter(
                "apricot_configuration_alarms_total",
                "Offers of another log than the own, or of one that cannot be read",
            ),
            reads: counter(
                "apricot_platform_reads_total",
                "Reads and watches at the platform",
            ),
            traffic: counter(
                "apricot_link_bytes_total",
                "Bytes both ways on links that this process dialled",
            ),
        }
    }

    /// Adds the counts to the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if they were added before.
    pub(crate) fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        for counter in [&self.alarms, &self.reads, &self.traffic] {
            registry.register(Box::new(counter.clone()))?;
        }
        Ok(())
    }

    pub(crate) fn alarm(&self) {
        self.alarms.inc();
    }

    pub(crate) fn alarms(&self) -> u64 {
        self.alarms.get()
    }

    pub(crate) fn read(&self) {
        self.reads.inc();
    }

    pub(crate) fn traffic(&self, bytes: u64) {
        self.traffic.inc_by(bytes);
    }
}

/// Creates a counter; names and help are constants that the library accepts.
fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("the name of a counter is valid")
}
