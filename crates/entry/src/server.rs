use std::{convert::Infallible, time::Duration};

use http::Request;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use tokio::net::{TcpListener, TcpStream};

use crate::call::{self, Context};

/// Time in which a client must send the headers of a request; also the interval between HTTP/2
/// keep-alive pings.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest total size of the headers of a request, in bytes.
const MAX_HEADER_BYTES: u32 = 32 * 1024;
/// Largest number of streams that an HTTP/2 connection may have open at a time.
const MAX_CONCURRENT_STREAMS: u32 = 256;

/// Accepts clients' connections until the process shuts down, then waits until their requests in
/// flight have ended.
pub(crate) async fn serve(listener: TcpListener, context: Context) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => spawn_connection(stream, &context, &graceful),
                Err(e) => log::warn!("client connection could not be accepted: {e}"),
            },
            () = context.shutdown.draining() => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn spawn_connection(stream: TcpStream, context: &Context, graceful: &GracefulShutdown) {
    let _ = stream.set_nodelay(true);
    let context = context.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(call::handle(context, request).await) }
    });
    let connection = http_builder()
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(e) = watched.await {
            log::debug!("client connection failed: {e}");
        }
    });
}

fn http_builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(MAX_HEADER_BYTES)
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .keep_alive_interval(HEADER_TIMEOUT);
    builder
}
