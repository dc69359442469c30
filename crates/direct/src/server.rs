use std::{convert::Infallible, sync::Arc, time::Duration};

use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{self, Instant},
};

use crate::call::{self, Context};

/// Time for which new callers still come after the balancer was told to send no more: it asks once
/// a second, and two answers count.
const ROTATION: Duration = Duration::from_millis(3200);
/// Time that is left of the grace period when the process ends at the latest.
const RESERVE: Duration = Duration::from_millis(400);
/// Largest head of a request before a configuration is known, in bytes.
const HEAD: usize = 16 * 1024;
/// Time for which a connection may stay idle before a configuration is known.
const IDLE: Duration = Duration::from_secs(15);
/// Pause after a caller could not be accepted, as when descriptors run out.
const PAUSE: Duration = Duration::from_millis(50);
/// Smallest buffer that the HTTP library takes, in bytes.
const LEAST_BUFFER: usize = 8192;

/// Accepts callers until the process shuts down, then lets those in flight end.
pub(crate) async fn serve(listener: TcpListener, context: Arc<Context>, grace: Duration) {
    let graceful = GracefulShutdown::new();
    let leaving = leaving(&context);
    tokio::pin!(leaving);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve_caller(stream, &context, &graceful),
                Err(e) => {
                    log::warn!(reason:% = e; "a caller could not be accepted");
                    time::sleep(PAUSE).await;
                }
            },
            () = &mut leaving => break,
        }
    }
    drop(listener);
    let end = Instant::now() + grace.saturating_sub(ROTATION + RESERVE);
    let in_flight = graceful.count();
    if time::timeout_at(end, graceful.shutdown()).await.is_err() {
        log::warn!(in_flight = context.metrics.in_flight.get(); "grace period is over; requests are cut");
    }
    log::info!(connections = in_flight; "callers are served");
}

/// Waits until the balancer in front sends no more callers.
async fn leaving(context: &Context) {
    context.shutdown.draining().await;
    log::info!(in_flight = context.metrics.in_flight.get(); "shutting down");
    time::sleep(ROTATION).await;
}

fn serve_caller(stream: TcpStream, context: &Arc<Context>, graceful: &GracefulShutdown) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("a caller's socket: {e}");
    }
    let limits = context
        .view
        .borrow()
        .configuration
        .as_ref()
        .map(|c| c.limits.clone());
    let (head, idle) = limits.map_or((HEAD, IDLE), |limits| (limits.head, limits.idle_time));
    let context = context.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(call::answer(context, request).await) }
    });
    // The library starts this time when a connection becomes idle.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(e) = watched.await {
            log::debug!("a caller's connection ended: {e}");
        }
    });
}
