use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use conf::id;
use expert::{Answer, Detail, Follower, Instruction, Outcome, Request as Message, State};
use futures::future::BoxFuture;
use http::Request;
use http_body_util::Full;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use payload::Connector;
use serde::de::DeserializeOwned;
use tokio::{sync::Mutex, time};
use wire::{Order, Report};

/// Time in which an engine must accept a connection, and in which it must answer a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest body of an engine's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Passes the orders of the group's leader to the engine that the agent runs next to, one at a
/// time.
///
/// Lock order: `follower` is the only lock. It is held while the engine answers, so that orders
/// reach the engine in sequence.
#[derive(Clone)]
pub(crate) struct Orders {
    ranks: Ranks,
    follower: Arc<Mutex<Follower>>,
}

impl Orders {
    /// Creates the order handler of one incarnation of the agent.
    pub(crate) fn new(engine: SocketAddr, incarnation: id::Incarnation) -> Self {
        Self {
            ranks: Ranks::new(engine),
            follower: Arc::new(Mutex::new(Follower::new(incarnation))),
        }
    }

    /// Carries out an order, unless it is outdated or for another incarnation of the agent.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not answer in time, or its answer is not valid.
    pub(crate) async fn execute(&self, message: Message) -> anyhow::Result<Answer> {
        let mut follower = self.follower.lock().await;
        let state: State = self.ranks.get("/ranks").await?;
        let order = message.order;
        let mut outcome = Outcome { done: false, state };
        if follower.admit(&order, &state) {
            let instruction = Instruction {
                fence: order.fence,
                command: order.command,
                content: message.content,
            };
            outcome = self.ranks.post(&instruction).await?;
        }
        let detail: Option<Detail> = match message.detail {
            true => Some(self.ranks.get("/ranks/detail").await?),
            false => None,
        };
        let report = follower.report(&order, outcome.done, outcome.state);
        Ok(Answer { report, detail })
    }

    /// Carries out an encoded order and encodes the answer.
    async fn handle(self, order: Order) -> Report {
        let answer = async {
            let message: Message = serde_json::from_str(&order.body)?;
            let answer = self.execute(message).await?;
            anyhow::Ok(Report {
                fence: answer.report.highest.into(),
                done: answer.report.done,
                body: serde_json::to_string(&answer)?.into(),
            })
        };
        match answer.await {
            Ok(report) => report,
            Err(e) => {
                log::info!("order from {} was not carried out: {e:#}", order.leader);
                Report {
                    fence: order.fence,
                    done: false,
                    body: Default::default(),
                }
            }
        }
    }
}

impl node::Orders for Orders {
    fn order(&self, order: Order) -> BoxFuture<'static, Report> {
        Box::pin(self.clone().handle(order))
    }
}

/// HTTP connections to an engine's interface for its ranks.
#[derive(Clone)]
struct Ranks {
    address: SocketAddr,
    connections: Client<Connector, Full<Bytes>>,
}

impl Ranks {
    fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(REQUEST_TIMEOUT));
        let connections = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(Connector::new(connector));
        Self {
            address,
            connections,
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        let uri = format!("http://{}{path}", self.address);
        self.send(Request::get(uri).body(Full::default())?).await
    }

    async fn post(&self, instruction: &Instruction) -> anyhow::Result<Outcome> {
        let body = serde_json::to_vec(instruction)?;
        let uri = format!("http://{}/ranks", self.address);
        self.send(Request::post(uri).body(Full::new(body.into()))?)
            .await
    }

    async fn send<T: DeserializeOwned>(&self, request: Request<Full<Bytes>>) -> anyhow::Result<T> {
        let exchange = async {
            let response = self.connections.request(request).await?;
            let status = response.status();
            anyhow::ensure!(status.is_success(), "status {status}");
            let body = payload::meter_response(response).into_body();
            let bytes = payload::collect(body, MAX_ANSWER_BYTES).await?;
            Ok(serde_json::from_slice(&bytes)?)
        };
        time::timeout(REQUEST_TIMEOUT, exchange).await?
    }
}
