use std::{convert::Infallible, time::Duration};

use http::Request;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use tokio::net::{TcpListener, TcpStream};

use crate::call::{self, Context};

/// Time in which a caller must send the headers of a request.
const HEADERS: Duration = Duration::from_secs(10);
/// Largest set of headers in bytes.
const HEADERS_LIMIT: u32 = 32 * 1024;
/// Streams that one HTTP/2 connection may have open.
const STREAMS: u32 = 256;

/// Accepts callers until the process shuts down, then waits for those in flight.
pub(crate) async fn serve(listener: TcpListener, context: Context) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve_caller(stream, &context, &graceful),
                Err(e) => log::warn!("a caller could not be accepted: {e}"),
            },
            () = context.shutdown.draining() => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_caller(stream: TcpStream, context: &Context, graceful: &GracefulShutdown) {
    let _ = stream.set_nodelay(true);
    let context = context.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(call::answer(context, request).await) }
    });
    let connection = builder()
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(e) = watched.await {
            log::debug!("a caller's connection ended: {e}");
        }
    });
}

fn builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADERS)
        .max_buf_size(HEADERS_LIMIT as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(HEADERS_LIMIT)
        .max_concurrent_streams(STREAMS)
        .keep_alive_interval(HEADERS);
    builder
}
