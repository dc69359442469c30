use std::{net::SocketAddr, sync::Arc};

use expert::Placement;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Number of a map; higher for later ones.
pub type Version = u64;
/// Number of a pass of a group.
pub type Pass = u64;
/// Number of one life of a group.
pub type Epoch = u64;

/// Place of an engine in its group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// Name of the group.
    pub name: SmolStr,
    /// Life of the group.
    pub epoch: Epoch,
    /// Index of the engine.
    pub rank: usize,
    /// Whether the group serves.
    pub open: bool,
    /// Number of ranks.
    pub size: usize,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Place in the group, if it has one.
    pub group: Option<Group>,
    /// Pass that was begun last.
    pub pass: Pass,
    /// Map in use.
    pub map: Version,
    /// Map whose experts are all copied.
    pub prepared: Option<Version>,
    /// Map that the engine goes over to at an agreed pass.
    pub armed: Option<Version>,
    /// Pass that the group does not begin until it is released.
    pub held: Option<Pass>,
    /// Whether an order is in progress.
    pub busy: bool,
}

/// How often an engine's requests chose each expert since it started.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Life of the group.
    pub epoch: Epoch,
    /// Counts, set by set.
    pub counts: Vec<u64>,
}

/// Experts of one rank under a map, by set.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct List {
    /// The map.
    pub version: Version,
    /// Experts by set.
    pub experts: Vec<Vec<u16>>,
}

/// Experts that an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lists {
    /// Under the map in use.
    pub map: List,
    /// Under the prepared map.
    pub prepared: Option<List>,
}

/// Order to an engine; it is refused in another epoch.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Copy the experts of a map.
    Prepare {
        /// Number of the map.
        version: Version,
        /// The map.
        placement: Placement,
    },
    /// Go over to a prepared map as a pass begins.
    Arm {
        /// The map.
        version: Version,
        /// The pass.
        pass: Pass,
    },
    /// Do not begin a pass until it is released.
    Hold {
        /// The pass.
        pass: Pass,
    },
    /// Release a pass.
    Go {
        /// The pass.
        pass: Pass,
    },
}

/// How an engine took an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// It has begun, or the state holds already.
    Accepted,
    /// It does not fit the engine's state.
    Refused,
}

/// Port that finds engines by address, those beside other agents as well.
pub trait Connector: Send + Sync {
    /// Returns the engine at an address; nothing is connected yet.
    fn engine(&self, address: SocketAddr) -> Arc<dyn Engine>;
}

/// Port to an engine.
pub trait Engine: Send + Sync {
    /// Reads the engine's report.
    fn report(&self) -> BoxFuture<'_, anyhow::Result<Report>>;

    /// Reads what the engine's requests chose.
    fn counts(&self) -> BoxFuture<'_, anyhow::Result<Counts>>;

    /// Reads which experts the engine holds.
    fn lists(&self) -> BoxFuture<'_, anyhow::Result<Lists>>;

    /// Gives an order.
    ///
    /// An error means that nothing is known: the order may be carried out at once, late or never.
    fn order(&self, epoch: Epoch, order: Order) -> BoxFuture<'_, anyhow::Result<Reply>>;
}
