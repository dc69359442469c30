use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};

/// HTTP response as a client receives it.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status of the response head.
    pub status: StatusCode,
    /// Headers of the response head; trailers are not included.
    pub headers: HeaderMap,
    /// Complete body; `None` if the connection or stream ended before it was complete.
    pub body: Option<Bytes>,
}

impl Response {
    /// Returns the body as text; empty if the body is incomplete.
    #[must_use]
    pub fn text(&self) -> String {
        let body = self.body.clone().unwrap_or_default();
        String::from_utf8_lossy(&body).into_owned()
    }

    /// Returns the body as JSON; null if the body is incomplete or no JSON.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.text()).unwrap_or_default()
    }
}

/// HTTP client with a team key.
#[derive(Clone)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    team_key: String,
}

impl Client {
    /// Creates a client that uses HTTP/2 with prior knowledge if `http2`, else HTTP/1.1.
    ///
    /// It does not retry requests.
    #[must_use]
    pub fn new(team_key: &str, http2: bool) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = legacy::Client::builder(TokioExecutor::new())
            .http2_only(http2)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            http,
            team_key: team_key.to_owned(),
        }
    }

    /// Sends a request and reads its response to the end.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head is received.
    pub async fn send(
        &self,
        method: &str,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> anyhow::Result<Response> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.team_key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let response = self
            .http
            .request(request.body(Full::new(body.into()))?)
            .await?;
        let (parts, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .ok()
            .map(http_body_util::Collected::to_bytes);
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Requests an idempotency key from an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head is received or the response holds no key.
    pub async fn request_key(&self, entry: SocketAddr) -> anyhow::Result<String> {
        let response = self.send("POST", entry, "/v1/keys", &[], "").await?;
        let key = response.json()["key"].as_str().map(str::to_owned);
        key.ok_or_else(|| anyhow::anyhow!("response holds no idempotency key: {response:?}"))
    }

    /// Sends an order with an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head is received.
    pub async fn send_order(
        &self,
        entry: SocketAddr,
        key: &str,
        path: &str,
        body: &str,
    ) -> anyhow::Result<Response> {
        let headers = [("idempotency-key", key)];
        self.send("POST", entry, path, &headers, body.to_owned())
            .await
    }

    /// Requests a draft of a number of tokens.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head is received.
    pub async fn request_draft(
        &self,
        entry: SocketAddr,
        prompt: &str,
        tokens: u32,
    ) -> anyhow::Result<Response> {
        let body = serde_json::json!({ "prompt": prompt, "tokens": tokens }).to_string();
        self.send("POST", entry, "/v1/drafts", &[], body).await
    }
}

/// Sends a POST request without a team key.
///
/// # Errors
///
/// Returns an error if no response head is received.
pub(crate) async fn post(
    address: SocketAddr,
    path: &str,
    body: String,
) -> anyhow::Result<Response> {
    Client::new("", false)
        .send("POST", address, path, &[], body)
        .await
}
