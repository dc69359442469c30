use std::{net::SocketAddr, sync::Arc, time::Duration};

use expert::{Boot, Fence};
use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time::Instant};

use crate::http::{Body, Handler, bind, full, json, read, serve};

/// What an engine says when it enters a step.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Entry {
    /// Index of the engine in its group.
    pub(crate) member: usize,
    /// Life of the engine.
    pub(crate) boot: Boot,
    /// Round in which the group was started.
    pub(crate) epoch: Fence,
    /// The step.
    pub(crate) step: u64,
    /// The map that the engine uses in it.
    pub(crate) map: u64,
}

/// What the barrier has seen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Statistics {
    /// Steps that all engines went through.
    #[serde(rename = "done")]
    pub completed: u64,
    /// Newest map that a whole step used.
    pub map: u64,
    /// Changes of the map between two steps.
    pub switches: u64,
    /// Steps in which engines used different maps.
    pub violations: u64,
    /// Longest time between two steps since this was last asked for.
    #[serde(rename = "longest")]
    pub longest_step: Duration,
}

struct State {
    entries: Vec<Option<Entry>>,
    steps: Statistics,
    last: Instant,
    newest: Option<(Fence, u64)>,
}

/// Stand-in for the collective operations of a lock-step group: nobody leaves a step before all
/// engines are in it.
pub struct Barrier {
    state: watch::Sender<State>,
}

impl Barrier {
    /// Creates a barrier of a number of engines.
    #[must_use]
    pub fn new(members: usize) -> Arc<Self> {
        let state = State {
            entries: vec![None; members],
            steps: Statistics::default(),
            last: Instant::now(),
            newest: None,
        };
        Arc::new(Self {
            state: watch::Sender::new(state),
        })
    }

    /// Serves on an address and prints it.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn run(self: Arc<Self>, address: SocketAddr) -> anyhow::Result<()> {
        serve(bind(address).await?, self).await;
        Ok(())
    }

    async fn enter(&self, request: Request<Incoming>) -> Response<Body> {
        let bytes = read(request.into_body()).await.unwrap_or_default();
        let Ok(entry) = serde_json::from_slice::<Entry>(&bytes) else {
            return full(StatusCode::BAD_REQUEST, "");
        };
        let mut watch = self.state.subscribe();
        self.state.send_modify(|state| state.enter(entry));
        let mut place = Presence {
            barrier: self,
            entry,
            whole: false,
        };
        let whole = watch.wait_for(|state| state.whole(&entry)).await.is_ok();
        place.whole = whole;
        full(StatusCode::OK, "")
    }

    fn stats(&self) -> Response<Body> {
        let mut steps = Statistics::default();
        self.state.send_modify(|state| {
            steps = state.steps;
            steps.longest_step = steps.longest_step.max(state.last.elapsed());
            state.steps.longest_step = Duration::ZERO;
        });
        json(&serde_json::json!(steps))
    }
}

impl State {
    fn enter(&mut self, entry: Entry) {
        let same = |other: &Entry| {
            other.member != entry.member && (other.epoch, other.step) == (entry.epoch, entry.step)
        };
        let others = self.entries.iter().flatten().filter(|other| same(other));
        if others.into_iter().any(|other| other.map != entry.map) {
            self.steps.violations += 1;
        }
        if let Some(place) = self.entries.get_mut(entry.member) {
            *place = Some(entry);
        }
        if self.whole(&entry) && self.newest.is_none_or(|n| n < (entry.epoch, entry.step)) {
            self.finish(&entry);
        }
    }

    fn finish(&mut self, entry: &Entry) {
        self.newest = Some((entry.epoch, entry.step));
        self.steps.completed += 1;
        self.steps.switches += u64::from(self.steps.map != entry.map);
        self.steps.map = entry.map;
        self.steps.longest_step = self.steps.longest_step.max(self.last.elapsed());
        self.last = Instant::now();
    }

    /// Returns whether all engines are in the step or beyond it.
    fn whole(&self, entry: &Entry) -> bool {
        self.newest.is_some_and(|n| n >= (entry.epoch, entry.step))
            || self
                .entries
                .iter()
                .all(|other| other.is_some_and(|o| o.epoch == entry.epoch && o.step >= entry.step))
    }
}

/// Presence of an engine in a step; void if it goes away before the step is whole.
struct Presence<'a> {
    barrier: &'a Barrier,
    entry: Entry,
    whole: bool,
}

impl Drop for Presence<'_> {
    fn drop(&mut self) {
        if self.whole {
            return;
        }
        self.barrier.state.send_modify(|state| {
            let place = &mut state.entries[self.entry.member];
            if *place == Some(self.entry) {
                *place = None;
            }
        });
    }
}

impl Handler for Barrier {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            match (request.method(), request.uri().path()) {
                (&Method::POST, "/enter") => self.enter(request).await,
                (&Method::GET, "/stats") => self.stats(),
                _ => full(StatusCode::NOT_FOUND, ""),
            }
        })
    }
}
