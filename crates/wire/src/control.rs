use std::{net::SocketAddr, sync::Arc, time::Duration};

use conf::{Page, Position, Version, id};
use event::{Event, Stamp};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use tarpc::context::Context;

use crate::{Fingerprint, Order, Report};

/// Load of an endpoint, as its agent last saw it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hint {
    /// Requests in flight.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Requests in flight that the endpoint allows now.
    pub limit: u32,
    /// Whether the endpoint takes new work at all.
    pub open: bool,
    /// Incarnation of the agent.
    pub incarnation: id::Incarnation,
}

/// Says what a process does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Guards one endpoint.
    Agent,
}

/// Describes a process of the system to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the process.
    pub process: id::Process,
    /// Number of its life.
    pub incarnation: id::Incarnation,
    /// What it does.
    pub role: Role,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Sign of life of a process that watches the platform, as others pass it on.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Watcher {
    /// The watcher.
    pub process: id::Process,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Number of its life.
    pub incarnation: id::Incarnation,
    /// Answers that the platform has given to this life.
    pub count: u64,
}

/// Heartbeat, sent both ways on each link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub member: Member,
    /// Version that is in force at the sender.
    pub version: Version,
    /// Clock of the sender.
    pub stamp: Stamp,
    /// Load of the sender's endpoint; agents only.
    pub hint: Option<Hint>,
    /// Requests that are suspected of crashing endpoints.
    pub suspects: Vec<Suspect>,
    /// Place in the published log that the sender has reached.
    pub position: Position,
    /// Watchers of the platform that the sender knows to be well.
    pub watchers: Vec<Watcher>,
}

/// Says that a request ran at an endpoint when its engine crashed.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of the crash, unique in the fleet.
    pub crash: u64,
    /// Time for which the suspicion still holds.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub left: Duration,
}

/// Calls between processes.
#[tarpc::service]
pub trait Control {
    /// Exchanges heartbeats.
    async fn beat(beat: Heartbeat) -> Heartbeat;
    /// Returns what the callee knows of the published log after a place.
    async fn records(after: Position) -> Option<Page>;
    /// Hands over what the callee lacks of the published log; returns the place it reached.
    async fn teach(page: Page) -> Position;
    /// Returns other processes that the callee knows.
    async fn members() -> Vec<Member>;
    /// Carries out an order of a group's leader.
    async fn order(order: Order) -> Report;
    /// Returns the events from a position on.
    async fn events(from: u64) -> Vec<Event>;
}

/// Answers the calls of other processes.
pub trait Handler: Send + Sync {
    /// Takes in a heartbeat and returns the own one.
    fn beat(&self, beat: Heartbeat) -> Heartbeat;
    /// Returns what is known of the published log after a place.
    fn records(&self, after: Position) -> Option<Page>;
    /// Takes in a page of the published log; returns the place reached.
    fn teach(&self, page: &Page) -> Position;
    /// Returns other processes that this one knows.
    fn members(&self) -> Vec<Member>;
    /// Carries out an order of a group's leader.
    fn order(&self, order: Order) -> BoxFuture<'static, Report>;
    /// Returns the events from a position on.
    fn events(&self, from: u64) -> Vec<Event>;
}

/// Hands the calls of a stream to a [`Handler`].
#[derive(Clone)]
pub(crate) struct Service(pub(crate) Arc<dyn Handler>);

impl Control for Service {
    async fn beat(self, _: Context, beat: Heartbeat) -> Heartbeat {
        self.0.beat(beat)
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
