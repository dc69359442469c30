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

/// Body of a response.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Server side of a fake.
pub(crate) trait Handler: Send + Sync + 'static {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>>;
}

/// Accepts connections and serves them over HTTP/1.1 or HTTP/2 until the future is dropped.
pub(crate) async fn serve(listener: TcpListener, handler: Arc<dyn Handler>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let response = handler.clone().handle(request);
                async { Ok::<_, Infallible>(response.await) }
            });
            let server = auto::Builder::new(TokioExecutor::new());
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Binds a listener and prints its address as one line, which [`Process`](crate::Process) reads.
pub(crate) async fn bind_and_print(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    println!("{}", listener.local_addr()?);
    Ok(listener)
}

/// Builds a response from a status and a complete body.
pub(crate) fn respond(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Builds a response with status 200 and a JSON body.
pub(crate) fn respond_json(value: &serde_json::Value) -> Response<Body> {
    respond(StatusCode::OK, value.to_string())
}

/// Parses a parameter of the query; `None` if it is missing or malformed.
pub(crate) fn parse_query<T: std::str::FromStr>(
    request: &Request<Incoming>,
    name: &str,
) -> Option<T> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Reads a body to its end.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, hyper::Error> {
    Ok(body.collect().await?.to_bytes())
}
