use std::{net::SocketAddr, sync::Arc, time::Duration};

use conf::{Page, Position, Version, id};
use event::{Event, Stamp};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use tarpc::context::Context;

use crate::{Fingerprint, Order, Report};

/// Load of an endpoint when its agent sent the message; it may have changed since.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hint {
    /// Number of attempts running at the engine.
    pub running: u32,
    /// Number of requests in the agent's queue.
    pub queued: u32,
    /// Current limit on `running`.
    pub limit: u32,
    /// Whether the endpoint admits new requests.
    pub open: bool,
    /// Incarnation of the agent that reports the load.
    pub incarnation: id::Incarnation,
}

/// Role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Accepts requests of clients and forwards them to agents.
    Entry,
    /// Admits requests to one endpoint and forwards them to its engine.
    Agent,
}

/// Description of a process, which other processes forward.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the process, as in its settings.
    pub process: id::Process,
    /// Start time of the process in nanoseconds since 1970, which identifies this run of it.
    pub incarnation: id::Incarnation,
    /// Role of the process.
    pub role: Role,
    /// Availability zone of the process.
    pub zone: id::Zone,
    /// UDP address on which it accepts links.
    pub address: SocketAddr,
    /// Whether the process is shutting down.
    pub leaving: bool,
}

/// Process that watches the platform, with the count that proves that it works.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Watcher {
    /// Name of the watcher.
    pub process: id::Process,
    /// Availability zone of the watcher.
    pub zone: id::Zone,
    /// Incarnation of the watcher.
    pub incarnation: id::Incarnation,
    /// Number of answers of the platform to this incarnation.
    pub count: u64,
}

/// State of a process, which both sides of a link exchange at intervals.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Description of the sender.
    pub member: Member,
    /// Configuration version in force at the sender.
    pub version: Version,
    /// Clock of the sender, past which the receiver advances its own.
    pub stamp: Stamp,
    /// Load of the endpoint; sent by agents only.
    pub hint: Option<Hint>,
    /// Requests that are suspected of crashing engines.
    pub suspects: Vec<Suspect>,
    /// Position in the published log that the sender has applied.
    pub position: Position,
    /// Watchers of the platform that the sender considers live.
    pub watchers: Vec<Watcher>,
}

/// Request that was running at an endpoint when its engine crashed.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Identifier of the crash, unique in the fleet.
    pub crash: u64,
    /// Time until the suspicion expires, in microseconds when encoded.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub left: Duration,
}

/// Remote calls that every process accepts on [`crate::Purpose::Control`] streams.
#[tarpc::service]
pub trait Control {
    /// Exchanges heartbeats: takes that of the caller, returns that of the callee.
    async fn beat(heartbeat: Heartbeat) -> Heartbeat;
    /// Returns the next records that the callee has after a position; `None` if it has none.
    async fn records(after: Position) -> Option<Page>;
    /// Sends records that the callee lacks; returns the position that it has applied then.
    async fn teach(page: Page) -> Position;
    /// Returns a sample of the processes that the callee knows.
    async fn members() -> Vec<Member>;
    /// Applies an order of a group's leader.
    async fn order(order: Order) -> Report;
    /// Returns the recorded events from a sequence number on.
    async fn events(from: u64) -> Vec<Event>;
}

/// Implementation of the [`Control`] calls.
pub trait Handler: Send + Sync {
    /// Processes a peer's heartbeat and returns that of the local process.
    fn beat(&self, heartbeat: Heartbeat) -> Heartbeat;
    /// Returns the next records after a position; `None` if there are none.
    fn records(&self, after: Position) -> Option<Page>;
    /// Applies a page of the published log; returns the position applied then.
    fn teach(&self, page: &Page) -> Position;
    /// Returns a sample of the processes that this one knows.
    fn members(&self) -> Vec<Member>;
    /// Applies an order of a group's leader.
    fn order(&self, order: Order) -> BoxFuture<'static, Report>;
    /// Returns the recorded events from a sequence number on.
    fn events(&self, from: u64) -> Vec<Event>;
}

/// Adapter that makes a [`Handler`] a `tarpc` service.
#[derive(Clone)]
pub(crate) struct Service(pub(crate) Arc<dyn Handler>);

impl Control for Service {
    async fn beat(self, _: Context, heartbeat: Heartbeat) -> Heartbeat {
        self.0.beat(heartbeat)
    }

    async fn records(self, _: Context, after: Position) -> Option<Page> {
        self.0.records(after)
    }

    async fn teach(self, _: Context, page: Page) -> Position {
        self.0.teach(&page)
    }

    async fn members(self, _: Context) -> Vec<Member> {
        self.0.members()
    }

    async fn order(self, _: Context, order: Order) -> Report {
        self.0.order(order).await
    }

    async fn events(self, _: Context, from: u64) -> Vec<Event> {
        self.0.events(from)
    }
}
