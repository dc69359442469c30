use std::sync::Arc;

use conf::{Document, Fold, Version};
use tokio::sync::watch;

/// Configuration that is in force, if any.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version in force.
    pub version: Version,
    /// Document in force, or `None` before the first.
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

/// Tells each change of the configuration in force.
pub type Watch = watch::Receiver<Configuration>;
