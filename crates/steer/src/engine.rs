use std::{net::SocketAddr, sync::Arc};

use expert::Placement;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Version of an expert map; later maps have higher versions.
pub type Version = u64;
/// Index of a pass of a group, which may hold several token steps; later passes have higher indexes.
pub type Pass = u64;
/// Epoch of a group; it increases each time the group forms again.
pub type Epoch = u64;

/// Membership of an engine in a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// Name of the group.
    pub name: SmolStr,
    /// Current epoch of the group.
    pub epoch: Epoch,
    /// Index of the engine in the group, from 0.
    pub rank: usize,
    /// Whether the group serves requests.
    pub open: bool,
    /// Number of ranks in the group.
    pub size: usize,
}

/// State of an engine, as it reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Group of the engine; `None` while it is in no group.
    pub group: Option<Group>,
    /// Pass that the engine began last.
    pub pass: Pass,
    /// Version of the map in use.
    pub map: Version,
    /// Version of the map whose experts are all copied.
    pub prepared: Option<Version>,
    /// Version of the map that the engine switches to when an agreed pass begins.
    pub armed: Option<Version>,
    /// Pass that the group does not begin until the engine gets [`Order::Go`].
    pub held: Option<Pass>,
    /// Whether the engine is still carrying out an order.
    pub busy: bool,
}

/// How often an engine's requests chose each expert since the engine started.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Epoch of the group when the counts were read.
    pub epoch: Epoch,
    /// Count of each expert, all experts of the first set first.
    pub counts: Vec<u64>,
}

/// Experts that one rank holds under a map.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct List {
    /// Version of the map.
    pub version: Version,
    /// Indexes of the experts, by set.
    pub experts: Vec<Vec<u16>>,
}

/// Experts that an engine holds under its current and its next map.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lists {
    /// Experts under the map in use.
    pub map: List,
    /// Experts under the prepared map, if there is one.
    pub prepared: Option<List>,
}

/// Order to an engine, which refuses orders of another epoch.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Copy the experts that a map assigns to the rank.
    Prepare {
        /// Version of the map; it must be higher than that of any map prepared before.
        version: Version,
        /// Experts of each rank, by set.
        placement: Placement,
    },
    /// Switch to a prepared map when a pass begins.
    Arm {
        /// Version of the prepared map.
        version: Version,
        /// First pass with the map; it must not have begun yet.
        pass: Pass,
    },
    /// Do not begin a pass until [`Order::Go`] releases it.
    Hold {
        /// Pass to hold; it must not have begun yet.
        pass: Pass,
    },
    /// Release a held pass.
    Go {
        /// Pass to release.
        pass: Pass,
    },
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The engine carries out the order, or its state already is as ordered.
    Accepted,
    /// The order does not fit the engine's state.
    Refused,
}

/// Interface to connect to engines, also those of other agents.
pub trait Connector: Send + Sync {
    /// Returns a client for the engine at an address, without connecting yet.
    fn engine(&self, address: SocketAddr) -> Arc<dyn Engine>;
}

/// Interface to an engine.
pub trait Engine: Send + Sync {
    /// Reads the state of the engine.
    fn report(&self) -> BoxFuture<'_, anyhow::Result<Report>>;

    /// Reads how often the engine's requests chose each expert.
    fn counts(&self) -> BoxFuture<'_, anyhow::Result<Counts>>;

    /// Reads which experts the engine holds under its maps.
    fn lists(&self) -> BoxFuture<'_, anyhow::Result<Lists>>;

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns an error if the outcome is unknown: the order may take effect at once, late or never.
    fn order(&self, epoch: Epoch, order: Order) -> BoxFuture<'_, anyhow::Result<Reply>>;
}
