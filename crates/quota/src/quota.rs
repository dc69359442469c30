use std::sync::Arc;

use conf::Limits;
use prometheus::Registry;

use crate::{Connections, Memory, limits, metrics::Metrics};

/// What the clients of a process may take from it, over all its listeners for clients.
#[derive(Clone)]
pub struct Quota {
    /// Connections of clients.
    pub connections: Connections,
    /// Memory for messages that the slots of connections do not cover.
    pub memory: Memory,
}

impl Quota {
    /// Divides the limits of the process.
    #[must_use]
    pub fn new(limits: &Limits) -> Self {
        let connections = limits::connections(limits);
        let message_bytes = limits::message_bytes(limits);
        log::info!(connections, message_bytes; "limits of clients");
        Self {
            connections: Connections::new(connections),
            memory: Memory::new(message_bytes),
        }
    }

    /// Registers metrics of what is taken.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric of the same name is already registered.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(Metrics::new(Arc::new(self.clone()))?))
    }
}
