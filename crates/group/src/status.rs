use std::net::SocketAddr;

use conf::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Name of a group, unique within its service.
pub type Name = SmolStr;
/// Epoch of a group; it increases each time the group forms again.
pub type Epoch = u64;

/// Service and name of a group.
pub type Key = (id::Service, Name);

/// State of a group, as the agent beside one of its engines knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Service that the engines run.
    pub service: id::Service,
    /// Name of the group.
    pub group: Name,
    /// Epoch of the group.
    pub epoch: Epoch,
    /// Whether the group serves requests.
    pub open: bool,
    /// Addresses of the engines of all ranks; empty if the agent does not know all of them.
    pub engines: Vec<SocketAddr>,
}
