use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Digest, Document, Number, SCHEMA, Version};

/// One published change of the configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Position in the platform's log, counted from 1.
    pub number: Number,
    /// The whole document.
    pub document: Document,
}

/// Configuration in force: the result of folding the records published so far.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    version: Version,
    document: Option<Arc<Document>>,
}

impl Fold {
    /// Returns the version in force.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the document in force, or `None` before the first.
    #[must_use]
    pub const fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Takes in the next published record.
    ///
    /// # Errors
    ///
    /// Returns the reason if the record is rejected; the version in force stays as it was.
    pub fn apply(&mut self, text: &str) -> Result<(), String> {
        let record: Record = serde_json::from_str(text).map_err(|e| e.to_string())?;
        if record.number <= self.version.number {
            return Err(format!(
                "version {} is already in force",
                self.version.number
            ));
        }
        if record.document.schema != SCHEMA {
            return Err(format!("schema {} is not known", record.document.schema));
        }
        let chain = Digest::of(&[self.version.chain.as_bytes(), text.as_bytes()]);
        self.version = Version {
            number: record.number,
            chain,
        };
        self.document = Some(Arc::new(record.document));
        Ok(())
    }
}
