use std::sync::Arc;

use conf::{Page, Position};
use event::{Event, Recorder};
use futures::future::BoxFuture;
use peer::Members;
use smol_str::SmolStr;
use wire::{
    Frame, Heartbeat, Link, Listener, Member, Order, Purpose, Receiver, Reply, Report, Sender,
    Streams,
};

use crate::{Follower, Local};

/// Serves work streams that other processes open.
pub trait Work: Send + Sync {
    /// Serves one stream until it ends.
    fn work(&self, sender: Sender<Reply>, receiver: Receiver<Frame>) -> BoxFuture<'static, ()>;
}

/// Applies the orders of a group's leader to the agent's engine.
pub trait Orders: Send + Sync {
    /// Applies an order and reports the resulting state.
    fn order(&self, order: Order) -> BoxFuture<'static, Report>;
}

/// Handles remote calls with the components of the local process.
#[derive(Clone)]
pub struct Handler {
    local: Local,
    follower: Follower,
    recorder: Recorder,
    members: Arc<Members>,
    orders: Option<Arc<dyn Orders>>,
}

impl Handler {
    /// Creates a handler that refuses orders.
    #[must_use]
    pub fn new(
        local: Local,
        follower: Follower,
        recorder: Recorder,
        members: Arc<Members>,
    ) -> Self {
        Self {
            local,
            follower,
            recorder,
            members,
            orders: None,
        }
    }

    /// Sets the component that applies orders.
    #[must_use]
    pub fn orders(mut self, orders: Arc<dyn Orders>) -> Self {
        self.orders = Some(orders);
        self
    }
}

impl wire::Handler for Handler {
    fn beat(&self, heartbeat: Heartbeat) -> Heartbeat {
        self.local.observe(&heartbeat);
        self.members.record_heartbeat(&heartbeat);
        self.follower.observe_heartbeat(&heartbeat);
        self.local.heartbeat()
    }

    fn records(&self, after: Position) -> Option<Page> {
        self.follower.page(after)
    }

    fn teach(&self, page: &Page) -> Position {
        self.follower.apply(page);
        self.follower.position()
    }

    fn members(&self) -> Vec<Member> {
        self.members.sample()
    }

    fn order(&self, order: Order) -> BoxFuture<'static, Report> {
        match &self.orders {
            Some(orders) => orders.order(order),
            None => Box::pin(async move {
                Report {
                    fence: order.fence,
                    done: false,
                    body: SmolStr::default(),
                }
            }),
        }
    }

    fn events(&self, from: u64) -> Vec<Event> {
        self.recorder.read(from)
    }
}

/// Accepts links and serves their streams until the listener is closed.
pub(crate) async fn serve(
    listener: Listener,
    handler: Arc<dyn wire::Handler>,
    work: Option<Arc<dyn Work>>,
) {
    while let Some(link) = listener.accept().await {
        tokio::spawn(serve_link(link, handler.clone(), work.clone()));
    }
}

async fn serve_link(link: Link, handler: Arc<dyn wire::Handler>, work: Option<Arc<dyn Work>>) {
    while let Ok(streams) = link.accept().await {
        tokio::spawn(serve_stream(streams, handler.clone(), work.clone()));
    }
}

async fn serve_stream(
    mut streams: Streams,
    handler: Arc<dyn wire::Handler>,
    work: Option<Arc<dyn Work>>,
) {
    match (streams.read_purpose().await, work) {
        (Ok(Purpose::Control), _) => streams.serve(handler).await,
        (Ok(Purpose::Work), Some(work)) => {
            let (sender, receiver) = streams.into_work();
            work.work(sender, receiver).await;
        }
        (Ok(Purpose::Work), None) => {
            log::warn!("a peer opened a work stream, but this process serves none")
        }
        (Err(e), _) => log::debug!("stream rejected: {e}"),
    }
}
