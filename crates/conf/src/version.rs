use serde::{Deserialize, Serialize};

use crate::Digest;

/// Number of a version; each accepted change has the next one.
pub type Number = u64;

/// Identifies one version of the configuration: its number and the hash of the chain up to it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version {
    /// Number of the version, 0 before any is known.
    pub number: Number,
    /// Hash over this version and all before it.
    pub chain: Digest,
}
