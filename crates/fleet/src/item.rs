use std::{sync::Arc, time::Duration};

use conf::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Configuration, Endpoint, Revision};

/// Decoded content of an item.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Content {
    /// The whole configuration.
    Configuration(Arc<Configuration>),
    /// An endpoint registered under this id.
    Endpoint(id::Endpoint, Arc<Endpoint>),
    /// A zone that is out of service; its endpoints get no new work.
    ZoneOut(id::Zone),
    /// An item that cannot be decoded or is of no use here.
    Other,
}

/// Item of the store as of its last change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Item {
    /// Key in the store.
    pub key: SmolStr,
    /// Revision of the last change.
    pub revision: Revision,
    /// Decoded content.
    #[serde(rename = "fact")]
    pub content: Content,
}

/// Change of one item of the store.
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

/// Changes that a source or another process returns to one call.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Page {
    /// Changes, oldest first.
    pub changes: Vec<Change>,
    /// Revision up to which the receiver has all changes after applying this page.
    pub covered: Revision,
    /// Keys of all items that exist, if the page describes the whole store; an item that is listed
    /// here but not in `changes` is unchanged since the receiver's revision.
    pub keys: Option<Vec<SmolStr>>,
    /// Time for which removals may still be lapses of registrations, as the sender knows from its calls
    /// to the store.
    #[serde(default)]
    pub lapsing: Duration,
}
