use std::sync::Arc;

use conf::{Document, Fold, Version};
use tokio::sync::watch;

/// Configuration in force in a process; the default has no document.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Number and history hash of the version in force.
    pub version: Version,
    /// Document of that version, or `None` before the first one.
    pub document: Option<Arc<Document>>,
}

impl From<&Fold> for Configuration {
    fn from(fold: &Fold) -> Self {
        Self {
            version: fold.version(),
            document: fold.document().cloned(),
        }
    }
}

/// Receiver that is notified of each change of the configuration in force.
pub type Watch = watch::Receiver<Configuration>;
