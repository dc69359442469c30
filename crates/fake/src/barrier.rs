use std::{net::SocketAddr, sync::Arc, time::Duration};

use expert::{Boot, Fence};
use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time::Instant};

use crate::http::{Body, Handler, bind_and_print, read_body, respond, respond_json, serve};

/// Arrival of an engine at a step.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Arrival {
    /// Index of the engine in its group.
    pub(crate) member: usize,
    /// Run of the engine process.
    pub(crate) boot: Boot,
    /// Fencing token of the round that started the group.
    pub(crate) epoch: Fence,
    /// Number of the step.
    pub(crate) step: u64,
    /// Number of the map that the engine uses in the step.
    pub(crate) map: u64,
}

/// Step statistics of a barrier.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Statistics {
    /// Number of steps that all engines have entered.
    #[serde(rename = "done")]
    pub completed: u64,
    /// Number of the map used in the last completed step.
    pub map: u64,
    /// Number of completed steps with another map than the step before.
    pub switches: u64,
    /// Number of arrivals with another map than that of an earlier arrival at the same step.
    pub violations: u64,
    /// Longest time without a completed step since the previous read.
    #[serde(rename = "longest")]
    pub longest_step: Duration,
}

struct State {
    /// Last arrival of each engine, by its index.
    arrivals: Vec<Option<Arrival>>,
    statistics: Statistics,
    /// Epoch and number of the last completed step.
    last_step: Option<(Fence, u64)>,
    completed_at: Instant,
}

/// Fake for the collective operations of a lock-step group: no engine leaves a step before all have
/// entered it.
pub struct Barrier {
    state: watch::Sender<State>,
}

impl Barrier {
    /// Creates a barrier for a group of `members` engines.
    #[must_use]
    pub fn new(members: usize) -> Arc<Self> {
        let state = State {
            arrivals: vec![None; members],
            statistics: Statistics::default(),
            last_step: None,
            completed_at: Instant::now(),
        };
        Arc::new(Self {
            state: watch::Sender::new(state),
        })
    }

    /// Serves requests on an address; prints the bound address first.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn run(self: Arc<Self>, address: SocketAddr) -> anyhow::Result<()> {
        serve(bind_and_print(address).await?, self).await;
        Ok(())
    }

    async fn wait_at_step(&self, request: Request<Incoming>) -> Response<Body> {
        let bytes = read_body(request.into_body()).await.unwrap_or_default();
        let Ok(arrival) = serde_json::from_slice::<Arrival>(&bytes) else {
            return respond(StatusCode::BAD_REQUEST, "");
        };
        let mut receiver = self.state.subscribe();
        self.state.send_modify(|state| state.record(arrival));
        let mut guard = Guard {
            barrier: self,
            arrival,
            complete: false,
        };
        guard.complete = receiver
            .wait_for(|state| state.is_complete(&arrival))
            .await
            .is_ok();
        respond(StatusCode::OK, "")
    }

    fn stats(&self) -> Response<Body> {
        let mut statistics = Statistics::default();
        self.state.send_modify(|state| {
            statistics = state.statistics;
            statistics.longest_step = statistics.longest_step.max(state.completed_at.elapsed());
            state.statistics.longest_step = Duration::ZERO;
        });
        respond_json(&serde_json::json!(statistics))
    }
}

impl State {
    fn record(&mut self, arrival: Arrival) {
        let is_same_step = |other: &Arrival| {
            other.member != arrival.member
                && (other.epoch, other.step) == (arrival.epoch, arrival.step)
        };
        let mut others = self
            .arrivals
            .iter()
            .flatten()
            .filter(|other| is_same_step(other));
        if others.any(|other| other.map != arrival.map) {
            self.statistics.violations += 1;
        }
        if let Some(last) = self.arrivals.get_mut(arrival.member) {
            *last = Some(arrival);
        }
        let step = (arrival.epoch, arrival.step);
        if self.is_complete(&arrival) && self.last_step.is_none_or(|last| last < step) {
            self.complete_step(&arrival);
        }
    }

    fn complete_step(&mut self, arrival: &Arrival) {
        self.last_step = Some((arrival.epoch, arrival.step));
        self.statistics.completed += 1;
        self.statistics.switches += u64::from(self.statistics.map != arrival.map);
        self.statistics.map = arrival.map;
        self.statistics.longest_step = self
            .statistics
            .longest_step
            .max(self.completed_at.elapsed());
        self.completed_at = Instant::now();
    }

    /// Returns whether all engines have entered the step or a later one.
    fn is_complete(&self, arrival: &Arrival) -> bool {
        self.last_step
            .is_some_and(|last| last >= (arrival.epoch, arrival.step))
            || self.arrivals.iter().all(|last| {
                last.is_some_and(|last| last.epoch == arrival.epoch && last.step >= arrival.step)
            })
    }
}

/// Withdraws an arrival when dropped before the step is complete, since the engine has disconnected.
struct Guard<'a> {
    barrier: &'a Barrier,
    arrival: Arrival,
    complete: bool,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if self.complete {
            return;
        }
        self.barrier.state.send_modify(|state| {
            let last = &mut state.arrivals[self.arrival.member];
            if *last == Some(self.arrival) {
                *last = None;
            }
        });
    }
}

impl Handler for Barrier {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            match (request.method(), request.uri().path()) {
                (&Method::POST, "/enter") => self.wait_at_step(request).await,
                (&Method::GET, "/stats") => self.stats(),
                _ => respond(StatusCode::NOT_FOUND, ""),
            }
        })
    }
}
