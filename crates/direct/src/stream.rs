use std::{fmt, io, time::Duration};

use bytes::Bytes;
use futures::stream;
use http::response;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use tokio::time::{self, Instant};

use crate::{
    Outcome,
    body::Body,
    call::millis,
    dispatch::{Dispatch, log_outcome},
    events::{self, Splitter},
    pool::{self, Connection, keep_alive},
    response::is_unframed,
    resumption::Resumption,
};

/// Reason why a stream broke.
#[derive(Debug)]
pub(crate) enum Error {
    /// The connection ended before the stream was complete.
    Lost(String),
    /// The endpoint wrote something that is no event stream.
    Invalid(&'static str),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(reason) => f.write_str(reason),
            Self::Invalid(reason) => f.write_str(reason),
        }
    }
}

/// Event stream from one endpoint.
pub(crate) struct Upstream {
    dispatch: Dispatch,
    body: pool::Body,
    connection: Option<Connection>,
    keep_alive: Option<Duration>,
    splitter: Splitter,
    /// Whether the stream has neither a length nor chunks, so that its end and its loss look alike.
    is_unframed: bool,
    /// Whether a complete event was received.
    has_event: bool,
    /// Id of the last event that was passed on to the client.
    last_id: Option<events::Id>,
    /// Whether events without an id were passed on after that one.
    is_unnumbered: bool,
    /// Time at which the last event was received.
    last_event_at: Option<Instant>,
}

impl Upstream {
    /// Starts to read a stream; events up to the one with the id `last_id` are left out.
    pub(crate) fn new(
        dispatch: Dispatch,
        body: pool::Body,
        connection: Connection,
        head: &response::Parts,
        last_id: Option<events::Id>,
    ) -> Self {
        Self {
            dispatch,
            body,
            connection: Some(connection),
            keep_alive: keep_alive(&head.headers),
            splitter: Splitter::default(),
            is_unframed: is_unframed(head),
            has_event: false,
            last_id,
            is_unnumbered: false,
            last_event_at: None,
        }
    }

    /// Returns the request that was dispatched to the endpoint.
    pub(crate) const fn dispatch(&self) -> &Dispatch {
        &self.dispatch
    }

    /// Records that the first event was received.
    pub(crate) fn record_start(&mut self) {
        self.dispatch.record_start();
    }

    /// Aborts the stream and closes its connection.
    pub(crate) fn abort(self, outcome: Outcome) {
        self.dispatch.end(outcome);
    }

    /// Returns the id up to which events are left out, as the client has them. An id that is no number tells that
    /// only of the first events: later ones may have the same id.
    fn skipped_id(&self) -> Option<events::Id> {
        let last_id = self.last_id.clone();
        last_id.filter(|id| !self.has_event || events::is_number(id))
    }

    /// Reads the next complete events; empty bytes mean that the stream has ended normally.
    ///
    /// # Errors
    ///
    /// Returns the reason why the stream broke.
    pub(crate) async fn next_events(&mut self) -> Result<Bytes, Error> {
        loop {
            match self.body.frame().await {
                None if self.is_unframed && !self.has_event => {
                    return Err(Error::Lost("ended without an event".to_owned()));
                }
                None if self.splitter.is_empty() => return Ok(Bytes::new()),
                None => return Err(Error::Lost("ended amid an event".to_owned())),
                Some(Err(e)) => return Err(Error::Lost(pool::format_error(&e))),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.dispatch.record_progress();
                    self.splitter.push(&data);
                    if self.splitter.is_over_limit() {
                        return Err(Error::Invalid(
                            "an event is longer or in more pieces than allowed",
                        ));
                    }
                    let skipped_id = self.skipped_id();
                    let batch = self.splitter.take_events(skipped_id.as_ref());
                    self.has_event |= batch.count > 0;
                    self.record_events(batch.count);
                    if batch.last_id.is_some() {
                        (self.last_id, self.is_unnumbered) = (batch.last_id, false);
                    }
                    self.is_unnumbered |= batch.is_unnumbered;
                    if !batch.bytes.is_empty() {
                        return Ok(batch.bytes);
                    }
                }
            }
        }
    }

    /// Records the time since the last event if `count` new events are exactly one.
    ///
    /// Several events in one read were read late, or the last one ends the stream.
    fn record_events(&mut self, count: u32) {
        if count == 0 {
            return;
        }
        let now = Instant::now();
        let previous = self.last_event_at.replace(now);
        if let (Some(previous), 1) = (previous, count) {
            self.dispatch.record_gap(now.duration_since(previous), now);
        }
    }

    /// Returns the connection to the pool after the stream has ended normally.
    fn finish(mut self) {
        if let Some(connection) = self.connection.take() {
            self.dispatch.return_connection(connection, self.keep_alive);
        }
        self.dispatch.end(Outcome::Whole);
    }
}

/// Event stream to the client, resumed at other endpoints when one fails.
struct Downstream {
    resumption: Resumption,
    upstream: Option<Upstream>,
    first: Option<Bytes>,
    /// Whether the stream was resumed at another endpoint.
    is_resumed: bool,
    ended: bool,
}

impl Resumption {
    /// Builds the body that sends `first` and the events that follow from `upstream`.
    pub(crate) fn into_body(self, upstream: Upstream, first: Bytes) -> Body {
        let downstream = Downstream {
            resumption: self,
            upstream: Some(upstream),
            first: Some(first),
            is_resumed: false,
            ended: false,
        };
        let frames = stream::unfold(downstream, |mut downstream| async move {
            let next = downstream.next().await?;
            Some((next.map(Frame::data), downstream))
        });
        StreamBody::new(frames).boxed_unsync()
    }
}

impl Downstream {
    /// Returns the next bytes for the client, or `None` at the end.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        if let Some(first) = self.first.take() {
            if !first.is_empty() {
                return Some(Ok(first));
            }
            self.finish();
            return None;
        }
        loop {
            let upstream = self.upstream.as_mut()?;
            let error =
                match time::timeout_at(self.resumption.deadline, upstream.next_events()).await {
                    Ok(Ok(bytes)) if bytes.is_empty() => {
                        self.finish();
                        return None;
                    }
                    Ok(Ok(bytes)) => return Some(Ok(bytes)),
                    Ok(Err(e)) => e,
                    Err(_) => {
                        self.record_duration();
                        return Some(Err(self.abort("deadline passed during the stream")));
                    }
                };
            if !self.fail_over(&error).await {
                return Some(Err(self.abort(&error.to_string())));
            }
        }
    }

    /// Resumes the stream at another endpoint; returns false if that fails.
    async fn fail_over(&mut self, error: &Error) -> bool {
        let Some(broken) = self.upstream.take() else {
            return false;
        };
        let (last_id, is_unnumbered) = (broken.last_id.clone(), broken.is_unnumbered);
        self.log_outcome(&broken, "broke amid its stream", &error.to_string());
        if matches!(error, Error::Lost(_)) {
            let resumption = &self.resumption;
            let is_repeat = resumption.possible_runs > 1;
            broken
                .dispatch
                .record_break(&resumption.request, resumption.fingerprint, is_repeat)
                .await;
        }
        broken.abort(Outcome::Broke);
        if is_unnumbered {
            // Another endpoint would send the events without an id once more.
            log::info!(request:% = self.resumption.request.id, reason = "the last events have no ids"; "stream is not resumed");
            return false;
        }
        self.is_resumed = true;
        self.upstream = self.resumption.resume(last_id).await;
        self.upstream.is_some()
    }

    fn finish(&mut self) {
        self.ended = true;
        let Some(upstream) = self.upstream.take() else {
            return;
        };
        if !self.is_resumed {
            let Resumption {
                request,
                fingerprint,
                ..
            } = &self.resumption;
            upstream.dispatch.record_sound(request, *fingerprint);
        }
        self.log_outcome(&upstream, "answered", "stream complete");
        upstream.finish();
        let duration = self.record_duration();
        let metrics = &self.resumption.context.metrics;
        metrics.full_response.observe(duration.as_secs_f64());
        self.count_request("answered");
    }

    /// Records and returns how long the request took.
    fn record_duration(&self) -> Duration {
        let Resumption {
            context,
            route,
            arrived,
            ..
        } = &self.resumption;
        let duration = arrived.elapsed();
        context.with_balancer(|balancer| {
            balancer.record_duration(&route.name, duration, Instant::now());
        });
        duration
    }

    /// Marks the stream as ended and returns the error that aborts the response.
    fn abort(&mut self, reason: &str) -> io::Error {
        self.ended = true;
        log::warn!(request:% = self.resumption.request.id, reason = reason, age_ms = millis(self.resumption.arrived.elapsed()); "stream is aborted");
        self.count_request("cut");
        self.upstream = None;
        io::Error::other(reason.to_owned())
    }

    /// Counts the client request in the metrics.
    fn count_request(&self, outcome: &str) {
        self.resumption
            .context
            .metrics
            .requests
            .with_label_values(&[outcome])
            .inc();
    }

    fn log_outcome(&self, upstream: &Upstream, outcome: &str, reason: &str) {
        let resumption = &self.resumption;
        log_outcome(
            &resumption.context,
            &resumption.request.id,
            &upstream.dispatch,
            outcome,
            reason,
            resumption.arrived,
        );
    }
}

impl Drop for Downstream {
    fn drop(&mut self) {
        if !self.ended {
            let age = millis(Instant::now().duration_since(self.resumption.arrived));
            log::info!(request:% = self.resumption.request.id, age_ms = age; "client disconnected during the stream");
            self.count_request("left");
        }
    }
}
