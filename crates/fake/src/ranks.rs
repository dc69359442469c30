use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use expert::{Command, Detail, Instruction, Map, Outcome, Rank, Shape};
use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{
    barrier::Arrival,
    client,
    http::{Body, Handler, bind_and_print, read_body, respond, respond_json, serve},
};

/// Delay before an engine retries that is cold or held, or whose request to the barrier failed.
const RETRY_DELAY: Duration = Duration::from_millis(1);
/// Tokens that a step routes to the most popular expert; the n-th most popular gets 1/n of them.
const TOP_EXPERT_TOKENS: i64 = 10_000;

/// Settings of one engine of a lock-step group.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Member {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Address of the group's barrier.
    pub barrier: SocketAddr,
    /// Index of the engine in its group.
    #[serde(rename = "member")]
    pub index: usize,
    /// Whether the engine refuses instructions with an outdated fencing token.
    pub fenced: bool,
    /// Duration of a step, in milliseconds.
    pub step_ms: u64,
    /// Time to load the weights of a map, in milliseconds.
    pub load_ms: u64,
    /// Sizes of the group, the same for all its engines.
    pub shape: Shape,
    /// Number of steps after which the popularity of the experts changes.
    #[serde(rename = "season")]
    pub shift_interval: u64,
}

/// Fake engine that holds some ranks of a group and steps together with its other engines.
pub struct Ranks {
    settings: Member,
    inner: Mutex<Inner>,
}

struct Inner {
    rank: Rank,
    /// Numbers and contents of the loaded maps, the newest last.
    maps: Vec<(u64, Map)>,
    /// Tokens routed to each expert since the start, layer by layer.
    counters: Vec<i64>,
}

impl Ranks {
    /// Creates an engine that is cold.
    #[must_use]
    pub fn new(settings: Member) -> Arc<Self> {
        let inner = Inner {
            rank: Rank::new(node::new_incarnation(), settings.fenced),
            maps: Vec::new(),
            counters: vec![0; settings.shape.counters()],
        };
        Arc::new(Self {
            settings,
            inner: Mutex::new(inner),
        })
    }

    /// Serves requests on the address of the settings and runs steps without end; prints the bound
    /// address first.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        let listener = bind_and_print(self.settings.address).await?;
        tokio::spawn(self.clone().run_steps());
        serve(listener, self).await;
        Ok(())
    }

    async fn run_steps(self: Arc<Self>) {
        loop {
            let Some(arrival) = self.enter_step() else {
                time::sleep(RETRY_DELAY).await;
                continue;
            };
            let body = serde_json::json!(arrival).to_string();
            while !wait_at_barrier(self.settings.barrier, body.clone()).await {
                time::sleep(RETRY_DELAY).await;
            }
            time::sleep(Duration::from_millis(self.settings.step_ms)).await;
        }
    }

    fn enter_step(&self) -> Option<Arrival> {
        let mut inner = self.inner.lock().ok()?;
        let (step, map) = inner.rank.enter()?;
        let state = inner.rank.state();
        self.count_tokens(&mut inner.counters, step);
        Some(Arrival {
            member: self.settings.index,
            boot: state.boot,
            epoch: state.position?.epoch,
            step,
            map,
        })
    }

    /// Adds the tokens of a step by each expert's position in the order of popularity, which changes
    /// after each shift interval.
    fn count_tokens(&self, counters: &mut [i64], step: u64) {
        let experts = self.settings.shape.experts;
        let shift = (step / self.settings.shift_interval.max(1)) as usize * 3;
        for (i, counter) in counters.iter_mut().enumerate() {
            let position = (i % experts + shift) % experts;
            *counter += TOP_EXPERT_TOKENS / (1 + position as i64);
        }
    }

    async fn execute(&self, request: Request<Incoming>) -> Response<Body> {
        let bytes = read_body(request.into_body()).await.unwrap_or_default();
        let Ok(instruction) = serde_json::from_slice::<Instruction>(&bytes) else {
            return respond(StatusCode::BAD_REQUEST, "");
        };
        let loads_weights = matches!(
            instruction.command,
            Command::Prepare { .. } | Command::Join { .. }
        );
        if loads_weights {
            time::sleep(Duration::from_millis(self.settings.load_ms)).await;
        }
        let Ok(mut inner) = self.inner.lock() else {
            return respond(StatusCode::INTERNAL_SERVER_ERROR, "");
        };
        let Instruction {
            fence,
            command,
            content,
        } = instruction;
        let done = inner.rank.execute(fence, command);
        if done {
            inner.store_map(command, content);
        }
        let state = inner.rank.state();
        respond_json(&serde_json::json!(Outcome { done, state }))
    }

    fn detail(&self) -> Response<Body> {
        let Ok(inner) = self.inner.lock() else {
            return respond(StatusCode::INTERNAL_SERVER_ERROR, "");
        };
        let number = inner.rank.state().position.map(|position| position.map);
        let content = inner.maps.iter().find(|(n, _)| Some(*n) == number);
        let detail = Detail {
            content: content.map(|(_, content)| content.clone()),
            counters: inner.counters.iter().copied().map(Some).collect(),
        };
        respond_json(&serde_json::json!(detail))
    }

    fn state(&self) -> Response<Body> {
        match self.inner.lock() {
            Ok(inner) => respond_json(&serde_json::json!(inner.rank.state())),
            Err(_) => respond(StatusCode::INTERNAL_SERVER_ERROR, ""),
        }
    }

    fn health(&self) -> Response<Body> {
        let boot = self.inner.lock().map(|inner| inner.rank.state().boot);
        respond_json(
            &serde_json::json!({ "boot": boot.unwrap_or_default(), "running": 0, "queued": 0 }),
        )
    }
}

impl Inner {
    /// Stores the content of a loaded map and drops maps older than its predecessor.
    fn store_map(&mut self, command: Command, content: Option<Map>) {
        let number = match command {
            Command::Prepare { map } => map,
            Command::Join { position } => position.map,
            _ => return,
        };
        let Some(content) = content else { return };
        self.maps.retain(|(n, _)| *n != number && *n + 2 > number);
        self.maps.push((number, content));
    }
}

async fn wait_at_barrier(barrier: SocketAddr, body: String) -> bool {
    let response = client::post(barrier, "/enter", body).await;
    response.is_ok_and(|response| response.status == StatusCode::OK)
}

impl Handler for Ranks {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            match (request.method(), request.uri().path()) {
                (&Method::GET, "/ranks") => self.state(),
                (&Method::POST, "/ranks") => self.execute(request).await,
                (&Method::GET, "/ranks/detail") => self.detail(),
                (&Method::GET, "/health") => self.health(),
                _ => respond(StatusCode::NOT_FOUND, ""),
            }
        })
    }
}
