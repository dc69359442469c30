use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};

/// Whole answer, as a caller sees it.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body; `None` if it was cut.
    pub body: Option<Bytes>,
}

impl Response {
    /// Returns the body as text, empty if it was cut.
    #[must_use]
    pub fn text(&self) -> String {
        let body = self.body.clone().unwrap_or_default();
        String::from_utf8_lossy(&body).into_owned()
    }

    /// Returns the body as JSON, null if it is none.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.text()).unwrap_or_default()
    }
}

/// Stand-in for a caller of a team.
#[derive(Clone)]
pub struct Client {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
    key: String,
}

impl Client {
    /// Creates a caller with a team key; speaks HTTP/2 if `http2`, else HTTP/1.1.
    #[must_use]
    pub fn new(key: &str, http2: bool) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = legacy::Client::builder(TokioExecutor::new())
            .http2_only(http2)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            key: key.to_owned(),
        }
    }

    /// Sends a request and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer at all.
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
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let response = self
            .client
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

    /// Asks an entry for an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer or no key in it.
    pub async fn request_key(&self, entry: SocketAddr) -> anyhow::Result<String> {
        let answer = self.send("POST", entry, "/v1/keys", &[], "").await?;
        let key = answer.json()["key"].as_str().map(str::to_owned);
        key.ok_or_else(|| anyhow::anyhow!("no key: {answer:?}"))
    }

    /// Sends an order under an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer at all.
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

    /// Asks for a draft.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer at all.
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

/// Posts a body to a stand-in.
///
/// # Errors
///
/// Returns an error if there is no answer.
pub(crate) async fn post(
    address: SocketAddr,
    path: &str,
    body: String,
) -> anyhow::Result<Response> {
    Client::new("", false)
        .send("POST", address, path, &[], body)
        .await
}
