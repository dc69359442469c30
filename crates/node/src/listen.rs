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
    /// Serves one stream to its end.
    fn work(&self, sender: Sender<Reply>, receiver: Receiver<Frame>) -> BoxFuture<'static, ()>;
}

/// Carries out the orders of a group's leader at the engine beside an agent.
pub trait Orders: Send + Sync {
    /// Carries out an order.
    fn order(&self, order: Order) -> BoxFuture<'static, Report>;
}

/// Answers the calls of other processes from the parts of the own one.
#[derive(Clone)]
pub struct Handler {
    own: Local,
    follow: Follower,
    recorder: Recorder,
    members: Arc<Members>,
    orders: Option<Arc<dyn Orders>>,
}

impl Handler {
    /// Creates an answerer of calls.
    #[must_use]
    pub fn new(own: Local, follow: Follower, recorder: Recorder, members: Arc<Members>) -> Self {
        Self {
            own,
            follow,
            recorder,
            members,
            orders: None,
        }
    }

    /// Adds the port that carries out orders.
    #[must_use]
    pub fn orders(mut self, orders: Arc<dyn Orders>) -> Self {
        self.orders = Some(orders);
        self
    }
}

impl wire::Handler for Handler {
    fn beat(&self, beat: Heartbeat) -> Heartbeat {
        self.own.observe(&beat);
        self.members.record_heartbeat(&beat);
        self.follow.hear(&beat);
        self.own.beat()
    }

    fn records(&self, after: Position) -> Option<Page> {
        self.follow.page(after)
    }

    fn teach(&self, page: &Page) -> Position {
        self.follow.take(page);
        self.follow.position()
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

/// Accepts links and serves the streams on them, until the listener is closed.
pub(crate) async fn serve(
    listener: Listener,
    callee: Arc<dyn wire::Handler>,
    work: Option<Arc<dyn Work>>,
) {
    while let Some(link) = listener.accept().await {
        tokio::spawn(serve_link(link, callee.clone(), work.clone()));
    }
}

async fn serve_link(link: Link, callee: Arc<dyn wire::Handler>, work: Option<Arc<dyn Work>>) {
    while let Ok(streams) = link.accept().await {
        tokio::spawn(serve_stream(streams, callee.clone(), work.clone()));
    }
}

async fn serve_stream(
    mut streams: Streams,
    callee: Arc<dyn wire::Handler>,
    work: Option<Arc<dyn Work>>,
) {
    match (streams.read_purpose().await, work) {
        (Ok(Purpose::Control), _) => streams.serve(callee).await,
        (Ok(Purpose::Work), Some(work)) => {
            let (sender, receiver) = streams.into_work();
            work.work(sender, receiver).await;
        }
        (Ok(Purpose::Work), None) => log::warn!("a peer offered work to a process that takes none"),
        (Err(e), _) => log::debug!("a stream could not be served: {e}"),
    }
}
