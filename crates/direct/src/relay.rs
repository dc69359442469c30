use std::io;

use bytes::Bytes;
use futures::stream;
use http::response;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::time::{self, Instant};

use crate::{
    Outcome, Splitter,
    body::Body,
    call::millis,
    flight::{Flight, note},
    outlet::{Link, keep_alive},
    resume::Resume,
};

/// Stream of events from one endpoint.
pub(crate) struct Relay {
    flight: Flight,
    body: Incoming,
    link: Option<Link>,
    keep_alive: Option<std::time::Duration>,
    splitter: Splitter,
    /// Last event that the caller has.
    last: Option<u64>,
}

impl Relay {
    /// Starts to read a stream; events up to `last` are left out.
    pub(crate) fn new(
        flight: Flight,
        body: Incoming,
        link: Link,
        head: &response::Parts,
        last: Option<u64>,
    ) -> Self {
        Self {
            flight,
            body,
            link: Some(link),
            keep_alive: keep_alive(&head.headers),
            splitter: Splitter::default(),
            last,
        }
    }

    /// Returns the request's place at the endpoint.
    pub(crate) const fn flight(&self) -> &Flight {
        &self.flight
    }

    /// Notes that the first event is here.
    pub(crate) fn begin(&mut self) {
        self.flight.begin();
    }

    /// Gives the stream up; its connection is closed.
    pub(crate) fn end(self, outcome: Outcome) {
        self.flight.end(outcome);
    }

    /// Reads the next whole events; no bytes mean that the stream has ended in order.
    ///
    /// # Errors
    ///
    /// Returns why the stream broke.
    pub(crate) async fn next(&mut self) -> Result<Bytes, String> {
        loop {
            match self.body.frame().await {
                None if self.splitter.is_between() => return Ok(Bytes::new()),
                None => return Err("ended amid an event".to_owned()),
                Some(Err(e)) => return Err(crate::outlet::describe(&e)),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.flight.progress();
                    self.splitter.push(&data);
                    if self.splitter.is_overlong() {
                        return Err("an event is longer than allowed".to_owned());
                    }
                    let whole = self.splitter.take(self.last);
                    self.last = whole.last.or(self.last);
                    if !whole.bytes.is_empty() {
                        return Ok(whole.bytes);
                    }
                }
            }
        }
    }

    /// Keeps the connection after the stream has ended in order.
    fn finish(mut self) {
        if let Some(link) = self.link.take() {
            self.flight.keep(link, self.keep_alive);
        }
        self.flight.end(Outcome::Whole);
    }
}

/// Stream to the caller, over as many endpoints as it takes.
struct Delivery {
    resume: Resume,
    relay: Option<Relay>,
    first: Option<Bytes>,
    ended: bool,
}

impl Resume {
    /// Makes the body that passes on `first` and what follows.
    pub(crate) fn deliver(self, relay: Relay, first: Bytes) -> Body {
        let delivery = Delivery {
            resume: self,
            relay: Some(relay),
            first: Some(first),
            ended: false,
        };
        let frames = stream::unfold(delivery, |mut delivery| async move {
            let next = delivery.next().await?;
            Some((next.map(Frame::data), delivery))
        });
        StreamBody::new(frames).boxed_unsync()
    }
}

impl Delivery {
    /// Returns the next bytes for the caller; `None` at the end.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        if let Some(first) = self.first.take() {
            if !first.is_empty() {
                return Some(Ok(first));
            }
            self.whole();
            return None;
        }
        loop {
            let relay = self.relay.as_mut()?;
            let reason = match time::timeout_at(self.resume.deadline, relay.next()).await {
                Ok(Ok(bytes)) if bytes.is_empty() => {
                    self.whole();
                    return None;
                }
                Ok(Ok(bytes)) => return Some(Ok(bytes)),
                Ok(Err(reason)) => reason,
                Err(_) => return Some(Err(self.cut("deadline passed amid the stream"))),
            };
            if !self.switch(&reason).await {
                return Some(Err(self.cut(&reason)));
            }
        }
    }

    /// Goes on at another endpoint, if that can be done.
    async fn switch(&mut self, reason: &str) -> bool {
        let Some(broken) = self.relay.take() else {
            return false;
        };
        let last = broken.last;
        self.note(&broken, "broke amid its stream", reason);
        broken.end(Outcome::Broke);
        self.relay = self.resume.resume(last).await;
        self.relay.is_some()
    }

    fn whole(&mut self) {
        self.ended = true;
        let Some(relay) = self.relay.take() else {
            return;
        };
        self.note(&relay, "answered", "whole stream");
        relay.finish();
        let age = self.resume.arrived.elapsed().as_secs_f64();
        self.resume.context.metrics.whole.observe(age);
        self.count("answered");
    }

    fn cut(&mut self, reason: &str) -> io::Error {
        self.ended = true;
        log::warn!(request:% = self.resume.request.id, reason = reason, age_ms = millis(self.resume.arrived.elapsed()); "stream is cut");
        self.count("cut");
        self.relay = None;
        io::Error::other(reason.to_owned())
    }

    fn count(&self, outcome: &str) {
        self.resume
            .context
            .metrics
            .requests
            .with_label_values(&[outcome])
            .inc();
    }

    fn note(&self, relay: &Relay, outcome: &str, reason: &str) {
        let resume = &self.resume;
        note(
            &resume.context,
            &resume.request.id,
            &relay.flight,
            outcome,
            reason,
            resume.arrived,
        );
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        if !self.ended {
            let age = millis(Instant::now().duration_since(self.resume.arrived));
            log::info!(request:% = self.resume.request.id, age_ms = age; "caller left amid its stream");
            self.count("left");
        }
    }
}
