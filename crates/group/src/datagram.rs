use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Refusals, Status};

/// Size of the largest datagram in bytes: a group of 128 ranks with short names.
pub const MAX_BYTES: usize = 4096;
/// Maximum number of addresses of entries in one datagram.
pub const MAX_ENTRIES: usize = 16;

/// Message between agents and entries, and among entries; one with an unknown kind is dropped.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Datagram {
    /// State of a group.
    Status(Status),
    /// Asks an entry for all groups that it knows.
    Ask,
    /// Addresses at which other entries receive datagrams; the answer to an agent's status.
    Entries(Vec<SocketAddr>),
    /// Asks an agent what it knows of refused subjects.
    AskRefusals,
    /// What the sender knows of refused subjects, from an entry to an agent and back.
    Refusals(Refusals),
}

impl Datagram {
    /// Encodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is larger than [`MAX_BYTES`] or cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, String> {
        let bytes = rmp_serde::to_vec(self).map_err(|e| e.to_string())?;
        if bytes.len() > MAX_BYTES {
            return Err(format!("{} bytes", bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        rmp_serde::from_slice(bytes).map_err(|e| e.to_string())
    }
}
