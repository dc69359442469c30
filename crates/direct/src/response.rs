//! Responses to clients: those of endpoints, and error responses of the entry itself.

use fault::{Fault, PROBLEM_TYPE, Problem, Run};
use http::{HeaderValue, Method, Response, StatusCode, header, response};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    body::{self, Body},
    call::{Context, millis},
    forward::end_to_end,
};

/// Builds the client's response from the head of an endpoint's response and a body.
pub(crate) fn build_response(head: &response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(&head.headers);
    response
}

/// Returns whether the body of an endpoint's response has neither a length nor chunks, so that its end and its loss
/// look alike.
pub(crate) fn is_unframed(head: &response::Parts) -> bool {
    !head.headers.contains_key(header::CONTENT_LENGTH)
        && !head.headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns whether a success to a request with this method has a body.
pub(crate) fn has_body(method: &Method, status: StatusCode) -> bool {
    status.is_success()
        && ![StatusCode::NO_CONTENT, StatusCode::RESET_CONTENT].contains(&status)
        && method != Method::HEAD
}

/// Builds, logs and counts an error response.
pub(crate) fn build_error_response(
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
    // The view must not be borrowed within the macro, which would hold it until the line is written.
    let view = context.view.borrow().clone();
    log::info!(
        request:% = id,
        status = status.as_u16(),
        reason:% = fault,
        run = run,
        retry_after_ms = fault.retry_delay().map_or(0, millis),
        version = view.configuration.as_ref().map_or(0, |c| c.version),
        covered:% = view.covered,
        age_ms = millis(age);
        "refused"
    );
    let problem = Problem {
        status: status.as_u16(),
        ..fault.problem(id)
    };
    let bytes = serde_json::to_vec(&problem).unwrap_or_else(|e| {
        log::warn!(request:% = id, reason:% = e; "error response body cannot be encoded");
        Vec::new()
    });
    let mut response = Response::new(body::full(bytes.into()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
    if let Some(after) = fault.retry_delay().filter(|_| {
        status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS
    }) {
        headers.insert(header::RETRY_AFTER, context.protocol.retry_after(after));
    }
    response
}
