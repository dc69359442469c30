//! Answers to callers: an endpoint's own, and refusals.

use fault::{Fault, PROBLEM_TYPE, Run};
use http::{HeaderValue, Response, StatusCode, header, response};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    body::{self, Body},
    call::{Context, millis},
    forward::end_to_end,
};

/// Makes the answer to the caller from an endpoint's.
pub(crate) fn respond(head: &response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(&head.headers);
    response
}

/// Answers with a refusal.
pub(crate) fn refuse(
    context: &Context,
    id: &SmolStr,
    fault: &Fault,
    arrived: Instant,
) -> Response<Body> {
    let status = context.protocol.status(fault);
    let age = arrived.elapsed();
    let run = if fault.run() == Run::No {
        "no"
    } else {
        "unknown"
    };
    context
        .metrics
        .requests
        .with_label_values(&[fault.kind().name()])
        .inc();
    log::info!(
        request:% = id,
        status = status.as_u16(),
        reason:% = fault,
        run = run,
        retry_after_ms = fault.retry_time().map_or(0, millis),
        version = context.view.borrow().configuration.as_ref().map_or(0, |c| c.version),
        covered = context.view.borrow().covered,
        age_ms = millis(age);
        "refused"
    );
    let problem = fault.problem(id);
    let bytes = serde_json::to_vec(&problem).unwrap_or_else(|e| {
        log::warn!(request:% = id, reason:% = e; "body of a refusal cannot be encoded");
        Vec::new()
    });
    let mut response = Response::new(body::whole(bytes.into()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
    if let Some(after) = fault.retry_time().filter(|_| {
        status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS
    }) {
        headers.insert(header::RETRY_AFTER, context.protocol.retry_after(after));
    }
    response
}
