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

use crate::http::{Body, Handler, bind_and_print, read_body, respond, respond_json, serve};

/// Header that carries the attempt id in the request and in the response.
const ATTEMPT_ID: &str = "x-attempt-id";

/// Timing, limits and faults of an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Base duration of a step, in milliseconds.
    pub step_ms: u64,
    /// Time added to a step for each ten requests in the batch, in milliseconds.
    #[serde(rename = "load_ms")]
    pub step_ms_per_ten_requests: u64,
    /// Largest batch, in requests, while the engine is cold; a larger one crashes it.
    #[serde(rename = "cold_bound")]
    pub cold_limit: u32,
    /// Largest batch, in requests, once the engine is warm; a larger one crashes it.
    #[serde(rename = "bound")]
    pub limit: u32,
    /// Time after a start during which the engine is cold, in milliseconds.
    pub cold_ms: u64,
    /// Time from a crash to the next start, in milliseconds.
    pub restart_ms: u64,
    /// Word in a prompt that crashes the engine.
    pub crash_word: Option<String>,
    /// Whether steps hang until this is unset.
    pub stalled: bool,
    /// Whether responses carry the id of another attempt.
    #[serde(rename = "crossed")]
    pub wrong_attempt_id: bool,
    /// Status of responses to drafts, from 200 to 999; 0 stands for 200.
    pub status: u16,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            step_ms: 5,
            step_ms_per_ten_requests: 1,
            cold_limit: u32::MAX,
            limit: u32::MAX,
            cold_ms: 0,
            restart_ms: 500,
            crash_word: None,
            stalled: false,
            wrong_attempt_id: false,
            status: 0,
        }
    }
}

/// Body of a generation request.
#[derive(Debug, Deserialize)]
struct Prompt {
    prompt: String,
    tokens: u32,
}

/// Fake model engine that streams tokens as a function of the prompt alone.
pub struct Engine {
    behaviour: Mutex<Behaviour>,
    instance: Mutex<Instance>,
    crashes: AtomicU32,
    /// Requests started since the engine was created.
    runs: AtomicU64,
    /// Requests in the batch.
    running: Arc<AtomicU32>,
}

/// Run of the engine between two crashes.
struct Instance {
    boot: u64,
    /// Time of the start; in the future while the engine restarts.
    started: Instant,
    crashed: CancellationToken,
}

/// Returns the complete response body to a prompt: one server-sent event per token.
#[must_use]
pub fn expected_draft(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|i| format_token(prompt, i)).collect()
}

fn format_token(prompt: &str, index: u32) -> String {
    let hash = xxh3_64(format!("{prompt}#{index}").as_bytes());
    format!("data: {hash:016x}\n\n")
}

impl Engine {
    /// Creates an engine that starts now, cold for `cold_ms`.
    #[must_use]
    pub fn new(behaviour: Behaviour) -> Arc<Self> {
        let instance = Instance {
            boot: 1,
            started: Instant::now(),
            crashed: CancellationToken::new(),
        };
        Arc::new(Self {
            behaviour: Mutex::new(behaviour),
            instance: Mutex::new(instance),
            crashes: AtomicU32::new(0),
            runs: AtomicU64::new(0),
            running: Arc::default(),
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

    fn behaviour(&self) -> Behaviour {
        self.behaviour
            .lock()
            .map(|behaviour| behaviour.clone())
            .unwrap_or_default()
    }

    fn uptime(&self) -> Duration {
        self.instance
            .lock()
            .map(|instance| instance.started.elapsed())
            .unwrap_or_default()
    }

    fn crash_token(&self) -> CancellationToken {
        self.instance
            .lock()
            .map(|instance| instance.crashed.clone())
            .unwrap_or_default()
    }

    /// Aborts all running requests; the engine is unavailable until its restart and then cold.
    fn crash(&self) {
        let restart = Duration::from_millis(self.behaviour().restart_ms);
        let Ok(mut instance) = self.instance.lock() else {
            return;
        };
        self.crashes.fetch_add(1, Ordering::Relaxed);
        instance.crashed.cancel();
        let boot = instance.boot + 1;
        *instance = Instance {
            boot,
            started: Instant::now() + restart,
            crashed: CancellationToken::new(),
        };
    }

    /// Returns whether the engine has crashed and not started again yet.
    fn is_restarting(&self) -> bool {
        self.instance
            .lock()
            .is_ok_and(|instance| instance.started > Instant::now())
    }

    fn health(&self) -> Response<Body> {
        let boot = self
            .instance
            .lock()
            .map(|instance| instance.boot)
            .unwrap_or_default();
        respond_json(&serde_json::json!({
            "boot": boot,
            "running": self.running.load(Ordering::Relaxed),
            "queued": 0,
            "deaths": self.crashes.load(Ordering::Relaxed),
            "runs": self.runs.load(Ordering::Relaxed),
        }))
    }

    async fn set_behaviour(&self, request: Request<Incoming>) -> Response<Body> {
        let bytes = read_body(request.into_body()).await.unwrap_or_default();
        match serde_json::from_slice(&bytes) {
            Ok(behaviour) => {
                if let Ok(mut current) = self.behaviour.lock() {
                    *current = behaviour;
                }
                respond(StatusCode::OK, "")
            }
            Err(e) => respond(StatusCode::BAD_REQUEST, format!("{e}\n")),
        }
    }

    async fn generate(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let attempt = request.headers().get(ATTEMPT_ID).cloned();
        let Ok(bytes) = read_body(request.into_body()).await else {
            return respond(StatusCode::BAD_REQUEST, "cut");
        };
        let Ok(prompt) = serde_json::from_slice::<Prompt>(&bytes) else {
            return respond(
                StatusCode::BAD_REQUEST,
                "a JSON object with `prompt` and `tokens` is needed\n",
            );
        };
        self.runs.fetch_add(1, Ordering::Relaxed);
        let slot = Slot::new(self.running.clone());
        // Taken before the check, so that a crash aborts this request too.
        let crashed = self.crash_token();
        self.crash_if_fatal(&prompt);
        let mut response = Response::new(self.clone().stream(prompt, slot, crashed));
        if let Ok(status) = StatusCode::from_u16(self.behaviour().status) {
            *response.status_mut() = status;
        }
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        );
        let wrong_attempt = self
            .behaviour()
            .wrong_attempt_id
            .then(|| HeaderValue::from_static("another.1"));
        if let Some(attempt) = wrong_attempt.or(attempt) {
            headers.insert(ATTEMPT_ID, attempt);
        }
        response
    }

    /// Crashes if the batch exceeds its limit or the prompt contains the crash word.
    fn crash_if_fatal(&self, prompt: &Prompt) {
        let behaviour = self.behaviour();
        let running = self.running.load(Ordering::Relaxed);
        let cold = self.uptime() < Duration::from_millis(behaviour.cold_ms);
        let limit = if cold {
            behaviour.cold_limit
        } else {
            behaviour.limit
        };
        let has_crash_word = behaviour
            .crash_word
            .is_some_and(|word| prompt.prompt.contains(&word));
        if running > limit || has_crash_word {
            self.crash();
        }
    }

    fn stream(self: Arc<Self>, prompt: Prompt, slot: Slot, crashed: CancellationToken) -> Body {
        let state = (self, prompt, slot, crashed, 0);
        let tokens = stream::unfold(state, |(engine, prompt, slot, crashed, index)| async move {
            if index >= prompt.tokens {
                return None;
            }
            let frame = tokio::select! {
                () = engine.run_step() => Ok(Frame::data(Bytes::from(format_token(&prompt.prompt, index)))),
                () = crashed.cancelled() => Err(io::Error::other("engine crashed")),
            };
            Some((frame, (engine, prompt, slot, crashed, index + 1)))
        });
        StreamBody::new(tokens.boxed()).boxed_unsync()
    }

    async fn run_step(&self) {
        let behaviour = self.behaviour();
        let running = u64::from(self.running.load(Ordering::Relaxed));
        time::sleep(Duration::from_millis(
            behaviour.step_ms + behaviour.step_ms_per_ten_requests * running / 10,
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
                "/control" => self.set_behaviour(request).await,
                _ if self.is_restarting() => respond(StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
                "/health" => self.health(),
                _ => self.generate(request).await,
            }
        })
    }
}

/// Slot in the batch, released when the response stream is dropped.
struct Slot(Arc<AtomicU32>);

impl Slot {
    fn new(running: Arc<AtomicU32>) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(running)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
