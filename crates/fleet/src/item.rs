use std::sync::Arc;

use conf::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Configuration, Endpoint};

/// Position in the store's single order of changes.
pub type Revision = u64;

/// What one item of the store says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Content {
    /// The whole configuration.
    Configuration(Arc<Configuration>),
    /// An endpoint that is registered under this id.
    Endpoint(id::Endpoint, Arc<Endpoint>),
    /// A zone whose endpoints get no new work.
    ZoneOut(id::Zone),
    /// An item that cannot be read or says nothing that is used here.
    Other,
}

/// One item of the store with its last change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Item {
    /// Key in the store.
    pub key: SmolStr,
    /// Revision of the last change.
    pub revision: Revision,
    /// What the item says.
    #[serde(rename = "fact")]
    pub content: Content,
}

/// One change of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// The item was written.
    Put(Item),
    /// The item was removed.
    Removed {
        /// Key in the store.
        key: SmolStr,
        /// Revision of the removal.
        revision: Revision,
    },
}

/// What a source tells in one answer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Page {
    /// Changes, oldest first.
    pub changes: Vec<Change>,
    /// Revision up to which the receiver knows everything after this page.
    pub covered: Revision,
    /// All keys that exist, if the page stands for the whole store; items that it does not name
    /// are unchanged since the receiver's revision.
    pub keys: Option<Vec<SmolStr>>,
}
