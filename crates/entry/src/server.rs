use std::{convert::Infallible, sync::Arc, time::Duration};

use http::Request;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use quota::{Slot, Stream};
use tokio::net::{TcpListener, TcpStream};

use crate::call::{self, Context};

/// Time in which a client must send the headers of a request; also the interval between HTTP/2
/// keep-alive pings.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a client may leave what is sent to it unread.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest total size of the headers of a request, in bytes.
const MAX_HEADER_BYTES: u32 = 32 * 1024;
/// Largest number of streams that an HTTP/2 connection may have open at a time.
const MAX_CONCURRENT_STREAMS: u32 = 256;

/// Bytes that a client may send on an HTTP/2 connection, or on one of its streams, before they are read.
const WINDOW_BYTES: u32 = 65_535;
/// Bytes of an answer on an HTTP/2 stream that are buffered for the client.
const SEND_BUFFER_BYTES: usize = 16 * 1024;

/// Accepts clients' connections until the process shuts down, then waits until their requests in
/// flight have ended.
pub(crate) async fn serve(listener: TcpListener, context: Context) {
    Stream::limit_receive_buffers(&listener);
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            (stream, slot) = context.quota.connections.accept(&listener) => {
                spawn_connection(stream, slot, &context, &graceful);
            }
            () = context.shutdown.draining() => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn spawn_connection(
    stream: TcpStream,
    slot: Arc<Slot>,
    context: &Context,
    graceful: &GracefulShutdown,
) {
    let _ = stream.set_nodelay(true);
    let context = context.clone();
    let revocation = slot.revocation();
    let io = TokioIo::new(Stream::new(stream, slot.clone(), WRITE_TIMEOUT));
    let service = service_fn(move |request: Request<Incoming>| {
        let (context, exchange) = (context.clone(), slot.begin());
        async move { Ok::<_, Infallible>(call::handle(context, request, exchange).await) }
    });
    let connection = http_builder().serve_connection(io, service).into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        tokio::select! {
            served = watched => if let Err(e) = served {
                log::debug!("client connection failed: {e}");
            },
            () = revocation.cancelled() => log::debug!("client connection makes room for another"),
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
        .initial_connection_window_size(WINDOW_BYTES)
        .initial_stream_window_size(WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        .keep_alive_interval(HEADER_TIMEOUT);
    builder
}
