use std::{convert::Infallible, io, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use tokio::net::TcpListener;

/// Body of a stand-in's answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Answers the requests to a stand-in.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>>;
}

/// Serves a handler until the task is dropped.
pub(crate) async fn serve(listener: TcpListener, handler: Arc<dyn Handler>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let answer = handler.clone().handle(request);
                async { Ok::<_, Infallible>(answer.await) }
            });
            let server = auto::Builder::new(TokioExecutor::new());
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Binds a stand-in and prints its address as one line.
pub(crate) async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    println!("{}", listener.local_addr()?);
    Ok(listener)
}

/// Makes a short answer.
pub(crate) fn full(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Makes an answer of JSON.
pub(crate) fn json(value: &serde_json::Value) -> Response<Body> {
    full(StatusCode::OK, value.to_string())
}

/// Returns a value of the query, if there is one that parses.
pub(crate) fn query<T: std::str::FromStr>(request: &Request<Incoming>, name: &str) -> Option<T> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Reads a whole body.
pub(crate) async fn read(body: Incoming) -> Result<Bytes, hyper::Error> {
    Ok(body.collect().await?.to_bytes())
}
