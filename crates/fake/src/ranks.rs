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
    barrier::Entry,
    client,
    http::{Body, Handler, bind, full, json, read, serve},
};

/// Pause before a held or cold engine looks again.
const LOOK: Duration = Duration::from_millis(1);
/// Tokens of each step.
const TOKENS: i64 = 10_000;

/// Settings of a stand-in engine that holds some ranks of a group.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Member {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Address of the group's barrier.
    pub barrier: SocketAddr,
    /// Index of the engine in its group.
    #[serde(rename = "member")]
    pub member: usize,
    /// Whether it refuses old fencing numbers.
    pub fenced: bool,
    /// Length of a step, in milliseconds.
    pub step_ms: u64,
    /// Time to load the weights of a map, in milliseconds.
    pub load_ms: u64,
    /// Sizes of the group.
    pub shape: Shape,
    /// Steps after which other experts are popular.
    #[serde(rename = "season")]
    pub season: u64,
}

/// Stand-in for an engine that steps with its group.
pub struct Ranks {
    part: Member,
    inner: Mutex<Inner>,
}

struct Inner {
    rank: Rank,
    /// Content of maps by number, the newest last.
    contents: Vec<(u64, Map)>,
    counters: Vec<i64>,
}

impl Ranks {
    /// Creates an engine that is cold.
    #[must_use]
    pub fn new(part: Member) -> Arc<Self> {
        let inner = Inner {
            rank: Rank::new(node::incarnation(), part.fenced),
            contents: Vec::new(),
            counters: vec![0; part.shape.counters()],
        };
        Arc::new(Self {
            part,
            inner: Mutex::new(inner),
        })
    }

    /// Serves on its address, prints it, and steps for ever.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        let listener = bind(self.part.address).await?;
        tokio::spawn(self.clone().step());
        serve(listener, self).await;
        Ok(())
    }

    async fn step(self: Arc<Self>) {
        loop {
            let Some(entry) = self.enter() else {
                time::sleep(LOOK).await;
                continue;
            };
            let body = serde_json::json!(entry).to_string();
            while !passed(self.part.barrier, body.clone()).await {
                time::sleep(LOOK).await;
            }
            time::sleep(Duration::from_millis(self.part.step_ms)).await;
        }
    }

    fn enter(&self) -> Option<Entry> {
        let mut inner = self.inner.lock().ok()?;
        let (step, map) = inner.rank.enter()?;
        let state = inner.rank.state();
        self.count(&mut inner.counters, step);
        Some(Entry {
            member: self.part.member,
            boot: state.boot,
            epoch: state.position?.epoch,
            step,
            map,
        })
    }

    /// Counts the tokens of a step; the popular experts change with the season.
    fn count(&self, counters: &mut [i64], step: u64) {
        let experts = self.part.shape.experts;
        let turn = (step / self.part.season.max(1)) as usize * 3;
        for (i, counter) in counters.iter_mut().enumerate() {
            let place = (i % experts + turn) % experts;
            *counter += TOKENS / (1 + place as i64);
        }
    }

    async fn instruct(&self, request: Request<Incoming>) -> Response<Body> {
        let bytes = read(request.into_body()).await.unwrap_or_default();
        let Ok(instruction) = serde_json::from_slice::<Instruction>(&bytes) else {
            return full(StatusCode::BAD_REQUEST, "");
        };
        let loads = matches!(
            instruction.command,
            Command::Prepare { .. } | Command::Join { .. }
        );
        if loads {
            time::sleep(Duration::from_millis(self.part.load_ms)).await;
        }
        let Ok(mut inner) = self.inner.lock() else {
            return full(StatusCode::INTERNAL_SERVER_ERROR, "");
        };
        let Instruction {
            fence,
            command,
            content,
        } = instruction;
        let done = inner.rank.execute(fence, command);
        if done {
            inner.keep(command, content);
        }
        let state = inner.rank.state();
        json(&serde_json::json!(Outcome { done, state }))
    }

    fn detail(&self) -> Response<Body> {
        let Ok(inner) = self.inner.lock() else {
            return full(StatusCode::INTERNAL_SERVER_ERROR, "");
        };
        let map = inner.rank.state().position.map(|position| position.map);
        let content = inner.contents.iter().find(|(n, _)| Some(*n) == map);
        let detail = Detail {
            content: content.map(|(_, content)| content.clone()),
            counters: inner.counters.iter().copied().map(Some).collect(),
        };
        json(&serde_json::json!(detail))
    }

    fn state(&self) -> Response<Body> {
        match self.inner.lock() {
            Ok(inner) => json(&serde_json::json!(inner.rank.state())),
            Err(_) => full(StatusCode::INTERNAL_SERVER_ERROR, ""),
        }
    }

    fn health(&self) -> Response<Body> {
        let boot = self.inner.lock().map(|inner| inner.rank.state().boot);
        json(&serde_json::json!({ "boot": boot.unwrap_or_default(), "running": 0, "queued": 0 }))
    }
}

impl Inner {
    fn keep(&mut self, command: Command, content: Option<Map>) {
        let number = match command {
            Command::Prepare { map } => map,
            Command::Join { position } => position.map,
            _ => return,
        };
        let Some(content) = content else { return };
        self.contents
            .retain(|(n, _)| *n != number && *n + 2 > number);
        self.contents.push((number, content));
    }
}

async fn passed(barrier: SocketAddr, body: String) -> bool {
    let answer = client::post(barrier, "/enter", body).await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}

impl Handler for Ranks {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            match (request.method(), request.uri().path()) {
                (&Method::GET, "/ranks") => self.state(),
                (&Method::POST, "/ranks") => self.instruct(request).await,
                (&Method::GET, "/ranks/detail") => self.detail(),
                (&Method::GET, "/health") => self.health(),
                _ => full(StatusCode::NOT_FOUND, ""),
            }
        })
    }
}
