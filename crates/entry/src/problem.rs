use std::time::Duration;

use bytes::Bytes;
use fault::{Fault, PROBLEM_TYPE};
use http::{HeaderValue, Response, header};
use http_body_util::{BodyExt as _, Full};

use crate::deliver::Body;

/// Returns the problem details response for a request that failed before its answer began.
pub(crate) fn respond(fault: &Fault, request: &str) -> Response<Body> {
    let problem = fault.problem(request);
    let bytes = serde_json::to_vec(&problem).unwrap_or_default();
    let body = Full::new(Bytes::from(bytes))
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = fault.kind().response().status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
    if let Some(delay) = fault.retry_delay() {
        headers.insert(
            header::RETRY_AFTER,
            HeaderValue::from(round_up_to_seconds(delay)),
        );
    }
    response
}

/// Rounds up to whole seconds, the unit of `Retry-After`.
fn round_up_to_seconds(time: Duration) -> u64 {
    time.as_secs() + u64::from(time.subsec_nanos() > 0)
}
