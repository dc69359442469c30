use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt as _, future::BoxFuture, stream};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::{Deserialize, Serialize};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::http::{Body, Handler, bind, full, json, read, serve};

/// Header that names the attempt.
const ATTEMPT: &str = "x-attempt-id";

/// How a stand-in engine behaves; all times in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Time of a step with an empty batch.
    pub step_ms: u64,
    /// Further time of a step for each ten requests in the batch.
    #[serde(rename = "load_ms")]
    pub load_ms: u64,
    /// Requests that the engine bears while it is cold.
    #[serde(rename = "cold_bound")]
    pub cold_bound: u32,
    /// Requests that the engine bears at all.
    #[serde(rename = "bound")]
    pub bound: u32,
    /// Time after a start for which the engine is cold.
    pub cold_ms: u64,
    /// Time for which a dead engine is away.
    pub restart_ms: u64,
    /// A prompt with this word kills the engine.
    pub crash_word: Option<String>,
    /// Steps stand still.
    pub stalled: bool,
    /// Answers name another attempt.
    #[serde(rename = "crossed")]
    pub crossed: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            step_ms: 5,
            load_ms: 1,
            cold_bound: u32::MAX,
            bound: u32::MAX,
            cold_ms: 0,
            restart_ms: 500,
            crash_word: None,
            stalled: false,
            crossed: false,
        }
    }
}

/// What a caller asks an engine for.
#[derive(Debug, Deserialize)]
struct Prompt {
    prompt: String,
    tokens: u32,
}

/// Stand-in for a model engine: streams tokens that only depend on the prompt.
pub struct Engine {
    behaviour: Mutex<Behaviour>,
    life: Mutex<Life>,
    deaths: AtomicU32,
    runs: AtomicU64,
    running: Arc<AtomicU32>,
}

struct Life {
    boot: u64,
    started: Instant,
    end: CancellationToken,
}

/// Returns the whole answer to a prompt.
#[must_use]
pub fn expected_draft(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|i| token(prompt, i)).collect()
}

fn token(prompt: &str, index: u32) -> String {
    let hash = xxh3_64(format!("{prompt}#{index}").as_bytes());
    format!("data: {hash:016x}\n\n")
}

impl Engine {
    /// Creates an engine that has just started.
    #[must_use]
    pub fn new(behaviour: Behaviour) -> Arc<Self> {
        let life = Life {
            boot: 1,
            started: Instant::now(),
            end: CancellationToken::new(),
        };
        Arc::new(Self {
            behaviour: Mutex::new(behaviour),
            life: Mutex::new(life),
            deaths: AtomicU32::new(0),
            runs: AtomicU64::new(0),
            running: Arc::default(),
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

    fn behaviour(&self) -> Behaviour {
        self.behaviour.lock().map(|b| b.clone()).unwrap_or_default()
    }

    fn age(&self) -> Duration {
        self.life
            .lock()
            .map(|life| life.started.elapsed())
            .unwrap_or_default()
    }

    fn end(&self) -> CancellationToken {
        self.life
            .lock()
            .map(|life| life.end.clone())
            .unwrap_or_default()
    }

    /// Kills all that runs; the engine is away for a while and then cold.
    fn die(&self) {
        let away = Duration::from_millis(self.behaviour().restart_ms);
        let Ok(mut life) = self.life.lock() else {
            return;
        };
        self.deaths.fetch_add(1, Ordering::Relaxed);
        life.end.cancel();
        let boot = life.boot + 1;
        *life = Life {
            boot,
            started: Instant::now() + away,
            end: CancellationToken::new(),
        };
    }

    /// Returns whether the engine is away because it died.
    fn away(&self) -> bool {
        self.life
            .lock()
            .is_ok_and(|life| life.started > Instant::now())
    }

    fn health(&self) -> Response<Body> {
        let boot = self.life.lock().map(|life| life.boot).unwrap_or_default();
        json(&serde_json::json!({
            "boot": boot,
            "running": self.running.load(Ordering::Relaxed),
            "queued": 0,
            "deaths": self.deaths.load(Ordering::Relaxed),
            "runs": self.runs.load(Ordering::Relaxed),
        }))
    }

    async fn control(&self, request: Request<Incoming>) -> Response<Body> {
        let bytes = read(request.into_body()).await.unwrap_or_default();
        match serde_json::from_slice(&bytes) {
            Ok(behaviour) => {
                if let Ok(mut own) = self.behaviour.lock() {
                    *own = behaviour;
                }
                full(StatusCode::OK, "")
            }
            Err(e) => full(StatusCode::BAD_REQUEST, format!("{e}\n")),
        }
    }

    async fn generate(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let attempt = request.headers().get(ATTEMPT).cloned();
        let Ok(bytes) = read(request.into_body()).await else {
            return full(StatusCode::BAD_REQUEST, "cut");
        };
        let Ok(prompt) = serde_json::from_slice::<Prompt>(&bytes) else {
            return full(
                StatusCode::BAD_REQUEST,
                "a JSON object with `prompt` and `tokens` is needed\n",
            );
        };
        self.runs.fetch_add(1, Ordering::Relaxed);
        let place = Place::new(self.running.clone());
        let end = self.end();
        self.check(&prompt);
        let mut response = Response::new(self.clone().stream(prompt, place, end));
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        );
        let crossed = self
            .behaviour()
            .crossed
            .then(|| HeaderValue::from_static("another.1"));
        if let Some(attempt) = crossed.or(attempt) {
            headers.insert(ATTEMPT, attempt);
        }
        response
    }

    /// Dies if the batch or the prompt is more than the engine bears.
    fn check(&self, prompt: &Prompt) {
        let behaviour = self.behaviour();
        let running = self.running.load(Ordering::Relaxed);
        let cold = self.age() < Duration::from_millis(behaviour.cold_ms);
        let bound = if cold {
            behaviour.cold_bound
        } else {
            behaviour.bound
        };
        let poisoned = behaviour
            .crash_word
            .is_some_and(|word| prompt.prompt.contains(&word));
        if running > bound || poisoned {
            self.die();
        }
    }

    fn stream(self: Arc<Self>, prompt: Prompt, place: Place, end: CancellationToken) -> Body {
        let state = (self, prompt, place, end, 0);
        let tokens = stream::unfold(state, |(engine, prompt, place, end, index)| async move {
            if index >= prompt.tokens {
                return None;
            }
            let piece = tokio::select! {
                () = engine.step() => Ok(Frame::data(Bytes::from(token(&prompt.prompt, index)))),
                () = end.cancelled() => Err(io::Error::other("the engine died")),
            };
            Some((piece, (engine, prompt, place, end, index + 1)))
        });
        StreamBody::new(tokens.boxed()).boxed_unsync()
    }

    async fn step(&self) {
        let behaviour = self.behaviour();
        let running = u64::from(self.running.load(Ordering::Relaxed));
        time::sleep(Duration::from_millis(
            behaviour.step_ms + behaviour.load_ms * running / 10,
        ))
        .await;
        while self.behaviour().stalled {
            time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Handler for Engine {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            match request.uri().path() {
                "/control" => self.control(request).await,
                _ if self.away() => full(StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
                "/health" => self.health(),
                _ => self.generate(request).await,
            }
        })
    }
}

/// Place in the batch, given back when the stream is dropped.
struct Place(Arc<AtomicU32>);

impl Place {
    fn new(running: Arc<AtomicU32>) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(running)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
