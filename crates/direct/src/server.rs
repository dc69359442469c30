use std::{convert::Infallible, sync::Arc, time::Duration};

use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use quota::{Slot, Stream};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{self, Instant},
};

use crate::call::{self, Context};

/// Time for which new connections are still accepted after readiness checks started to fail: the load
/// balancer checks once a second and acts on two results in a row.
const DRAIN_DELAY: Duration = Duration::from_millis(3200);
/// Largest request head in bytes before a configuration is known.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
/// Idle time limit of connections before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Accepts client connections until the process shuts down, then waits for the requests in flight
/// until the grace period ends.
pub(crate) async fn serve(listener: TcpListener, context: Arc<Context>) {
    Stream::limit_receive_buffers(&listener);
    let graceful = GracefulShutdown::new();
    let drained = wait_until_drained(&context);
    tokio::pin!(drained);
    let end = loop {
        tokio::select! {
            (stream, slot) = context.quota.connections.accept(&listener) => {
                serve_client(stream, slot, &context, &graceful);
            }
            end = &mut drained => break end,
        }
    };
    drop(listener);
    let connections = graceful.count();
    if time::timeout_at(end, graceful.shutdown()).await.is_err() {
        log::warn!(in_flight = context.metrics.in_flight.get(); "grace period is over; requests in flight are aborted");
    }
    log::info!(connections = connections; "client connections are closed");
}

/// Waits for the shutdown, then until the load balancer in front sends no more connections; returns the time at which
/// the process exits.
async fn wait_until_drained(context: &Context) -> Instant {
    context.shutdown.draining().await;
    let end = context.grace.start(Instant::now());
    log::info!(in_flight = context.metrics.in_flight.get(); "shutting down");
    time::sleep(DRAIN_DELAY).await;
    end
}

fn serve_client(
    stream: TcpStream,
    slot: Arc<Slot>,
    context: &Arc<Context>,
    graceful: &GracefulShutdown,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on a client connection: {e}");
    }
    let limits = context
        .view
        .borrow()
        .configuration
        .as_ref()
        .map(|c| c.limits.clone());
    let (max_head, idle_timeout) = limits
        .map_or((DEFAULT_MAX_HEAD_BYTES, DEFAULT_IDLE_TIMEOUT), |limits| {
            (limits.max_header_bytes, limits.idle_timeout)
        });
    let context = context.clone();
    let revocation = slot.revocation();
    let io = TokioIo::new(Stream::new(stream, slot.clone(), idle_timeout));
    let service = service_fn(move |request: Request<Incoming>| {
        let (context, exchange) = (context.clone(), slot.begin());
        async move { Ok::<_, Infallible>(call::respond(context, request, exchange).await) }
    });
    // The library starts the header read timeout when a connection becomes idle.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_head.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
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
