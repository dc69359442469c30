use serde::{Deserialize, Serialize};

use crate::Digest;

/// Version number; each accepted record increments it.
pub type Number = u64;

/// Version of the configuration, identified by its number and the hash chain of the log.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version {
    /// Version number; 0 before the first version.
    pub number: Number,
    /// Hash of all records of the log up to the one that created this version.
    pub chain: Digest,
}
