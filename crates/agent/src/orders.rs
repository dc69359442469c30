use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use conf::id;
use expert::{Answer, Detail, Follower, Instruction, Outcome, Request as Message, State};
use futures::future::BoxFuture;
use http::Request;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use tokio::{sync::Mutex, time};
use wire::{Order, Report};

/// Time in which an engine must answer an order.
const ANSWER: Duration = Duration::from_millis(800);
/// Largest answer of an engine to an order, in bytes.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// Gives the engine beside the agent the orders of its group's leader, one at a time.
///
/// Lock order: `follower` is the only lock; it is held while the engine answers, so that no order
/// overtakes another.
#[derive(Clone)]
pub(crate) struct Orders {
    ranks: Ranks,
    follower: Arc<Mutex<Follower>>,
}

impl Orders {
    /// Creates the guard of an engine.
    pub(crate) fn new(engine: SocketAddr, life: id::Incarnation) -> Self {
        Self {
            ranks: Ranks::new(engine),
            follower: Arc::new(Mutex::new(Follower::new(life))),
        }
    }

    /// Carries out an order, if the guard lets it pass.
    pub(crate) async fn carry_out(&self, message: Message) -> anyhow::Result<Answer> {
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
            outcome = self.ranks.give(&instruction).await?;
        }
        let detail: Option<Detail> = match message.detail {
            true => Some(self.ranks.get("/ranks/detail").await?),
            false => None,
        };
        let report = follower.report(&order, outcome.done, outcome.state);
        Ok(Answer { report, detail })
    }

    async fn answer(self, order: Order) -> Report {
        let answer = async {
            let message: Message = serde_json::from_str(&order.body)?;
            anyhow::Ok(self.carry_out(message).await?)
        };
        match answer.await {
            Ok(answer) => Report {
                fence: answer.report.highest.into(),
                done: answer.report.done,
                body: serde_json::to_string(&answer).unwrap_or_default().into(),
            },
            Err(e) => {
                log::info!("an order of {} was not carried out: {e:#}", order.leader);
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
        Box::pin(self.clone().answer(order))
    }
}

/// Speaks with the ranks of an engine over HTTP.
#[derive(Clone)]
struct Ranks {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Ranks {
    fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(ANSWER));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { address, client }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        let uri = format!("http://{}{path}", self.address);
        self.send(Request::get(uri).body(Full::default())?).await
    }

    async fn give(&self, instruction: &Instruction) -> anyhow::Result<Outcome> {
        let body = serde_json::to_vec(instruction)?;
        let uri = format!("http://{}/ranks", self.address);
        self.send(Request::post(uri).body(Full::new(body.into()))?)
            .await
    }

    async fn send<T: DeserializeOwned>(&self, request: Request<Full<Bytes>>) -> anyhow::Result<T> {
        let exchange = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            anyhow::ensure!(status.is_success(), "status {status}");
            let body = Limited::new(response.into_body(), ANSWER_LIMIT).collect();
            let bytes = body.await.map_err(anyhow::Error::from_boxed)?.to_bytes();
            Ok(serde_json::from_slice(&bytes)?)
        };
        time::timeout(ANSWER, exchange).await?
    }
}
