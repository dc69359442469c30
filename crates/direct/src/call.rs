use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use conf::id;
use fault::{ErrorKind, Fault};
use fleet::{Configuration, Repeat, Route, View};
use http::{HeaderValue, Request, Response, header, request, response};
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use node::Shutdown;
use smol_str::SmolStr;
use tokio::{
    sync::watch,
    time::{self, Instant},
};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    Desk, Outcome, Placement, Protocol, Send,
    body::{self, Body},
    desk::Choice,
    flight::{Flight, note},
    forward::outgoing,
    metadata,
    metrics::Metrics,
    outlet::{self, Broken, Link, Opened, Outlet},
    relay::Relay,
    reply::{refuse, respond},
    resume::Resume,
    suspect::Fingerprint,
};

/// Time by which an answer of this side comes before the deadline that it keeps.
const MARGIN: Duration = Duration::from_millis(30);
/// Time by which an answer comes before the caller of a stream that has no event yet leaves.
const PATIENCE_MARGIN: Duration = Duration::from_millis(100);
/// Sends of one request, those included that reached no endpoint.
pub(crate) const TRIES: usize = 5;
/// Largest body of a plain answer, in bytes; a larger one counts as broken, since plain answers are
/// kept until they are whole.
const WHOLE: usize = 1 << 20;
/// Time after which callers come back to an entry that knows no configuration yet.
const NOT_READY: Duration = Duration::from_millis(700);
/// Least time that a repeat needs to be worth sending.
pub(crate) const WORTH_REPEATING: Duration = Duration::from_millis(60);

/// What calls share.
///
/// Lock order: `desk` is the only lock and is never held across an await.
pub(crate) struct Context {
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) desk: Mutex<Desk>,
    pub(crate) outlet: Outlet,
    pub(crate) metrics: Metrics,
    pub(crate) shutdown: Shutdown,
}

impl Context {
    /// Runs `decide` on the desk.
    pub(crate) fn decide<T>(&self, decide: impl FnOnce(&mut Desk) -> T) -> T {
        // A poisoned lock means that a decision panicked; its tables hold counts, which stay usable.
        let mut desk = self
            .desk
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        decide(&mut desk)
    }
}

/// Answers a caller's request.
pub(crate) async fn answer(context: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let accepted = Call::accept(&context, head, body, arrived).await;
    let (id, result) = match accepted {
        Ok(call) => {
            let id = call.request.id.clone();
            let mut leaving = Leaving::new(&context, &id, arrived);
            let result = call.run().await;
            leaving.answered = true;
            drop(leaving);
            (id, result)
        }
        Err((id, fault)) => (id, Err(fault)),
    };
    let mut response = result.unwrap_or_else(|fault| refuse(&context, &id, &fault, arrived));
    if context.shutdown.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Logs that a caller left before its answer began, unless told otherwise.
struct Leaving<'a> {
    context: &'a Context,
    id: &'a SmolStr,
    arrived: Instant,
    answered: bool,
}

impl<'a> Leaving<'a> {
    fn new(context: &'a Context, id: &'a SmolStr, arrived: Instant) -> Self {
        context.metrics.in_flight.inc();
        Self {
            context,
            id,
            arrived,
            answered: false,
        }
    }
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        self.context.metrics.in_flight.dec();
        if !self.answered {
            self.context
                .metrics
                .requests
                .with_label_values(&["left"])
                .inc();
            let age = millis(self.arrived.elapsed());
            log::info!(request:% = self.id, age_ms = age; "caller left before its answer began");
        }
    }
}

/// One request of a caller on its way.
struct Call {
    context: Arc<Context>,
    request: metadata::Request,
    route: Arc<Route>,
    service: id::Service,
    team: Option<id::Team>,
    rank: u8,
    version: u64,
    head: request::Parts,
    body: Bytes,
    fingerprint: Fingerprint,
    arrived: Instant,
    deadline: Instant,
    /// Time by which an answer must have begun: for streams, shortly before the caller leaves.
    begin_by: Instant,
    /// Endpoints that had the request.
    had: Vec<id::Endpoint>,
    /// Sends that may have been run.
    runs: u32,
}

/// What a send led to.
enum Step {
    /// The answer for the caller.
    Done(Response<Body>),
    /// The request was not run there.
    Declined,
    /// The request may have been run, and no usable answer came.
    Unknown(SmolStr),
    /// The endpoint's own failure, which the caller gets if no other endpoint does better.
    Failed(Response<Body>),
}

/// # Stages before the choice of an endpoint
impl Call {
    async fn accept(
        context: &Arc<Context>,
        head: request::Parts,
        body: Incoming,
        arrived: Instant,
    ) -> Result<Self, (SmolStr, Fault)> {
        let request = match context.protocol.decode_request(&head) {
            Ok(request) => request,
            Err(kind) => return Err((SmolStr::default(), kind.into())),
        };
        let id = request.id.clone();
        Self::classify(context, request, head, body, arrived)
            .await
            .map_err(|fault| (id, fault))
    }

    async fn classify(
        context: &Arc<Context>,
        request: metadata::Request,
        head: request::Parts,
        body: Incoming,
        arrived: Instant,
    ) -> Result<Self, Fault> {
        let limits = configuration(context)?.limits.clone();
        let body = read(body, limits.body, limits.head_time).await?;
        // The body may have taken long; what counts is the newest configuration.
        let configuration = configuration(context)?;
        let (host, path) = (host(&head), head.uri.path());
        let route = configuration.route(&host, path).cloned().ok_or_else(|| {
            Fault::new(ErrorKind::NoRoute).detail(format!("version {}", configuration.version))
        })?;
        let team = match &request.key {
            _ if route.public || !configuration.keyed => None,
            Some(key) => configuration.teams.get(key),
            None => None,
        };
        if team.is_none() && configuration.keyed && !route.public {
            let detail = format!("version {}", configuration.version);
            return Err(Fault::new(ErrorKind::Unauthenticated).detail(detail));
        }
        let limit = request.timeout.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrived + limit.saturating_sub(MARGIN);
        let patience = route
            .patience
            .map(|patience| arrived + patience.saturating_sub(PATIENCE_MARGIN));
        Ok(Self {
            service: split(&route, &request.id),
            team: team.map(|t| t.name.clone()),
            rank: team
                .and_then(|t| t.priority)
                .unwrap_or(route.priority)
                .min(9),
            version: configuration.version,
            fingerprint: fingerprint(team.map(|t| &t.name), path, &body),
            context: context.clone(),
            request,
            route,
            head,
            body,
            arrived,
            deadline,
            begin_by: patience.map_or(deadline, |by| by.min(deadline)),
            had: Vec::new(),
            runs: 0,
        })
    }
}

/// # Sending
impl Call {
    /// Sends the request until an endpoint answers or nothing more may be tried.
    async fn run(mut self) -> Result<Response<Body>, Fault> {
        let mut failure = None;
        for _ in 0..TRIES {
            let choice = self.choose();
            let placement = match choice {
                Ok(placement) => placement,
                Err(fault) => return failure.ok_or_else(|| self.give_up(fault)),
            };
            match self.send(placement).await {
                Step::Done(response) => return Ok(response),
                Step::Failed(response) => failure = Some(response),
                Step::Declined => {}
                Step::Unknown(reason) => {
                    if self.route.repeat == Repeat::Forbidden {
                        let kind = match self.left_to_begin().is_zero() {
                            true => ErrorKind::DeadlineRunning,
                            false => ErrorKind::Interrupted,
                        };
                        return Err(Fault::new(kind).detail(reason));
                    }
                }
            }
            if !self.may_go_on() {
                break;
            }
        }
        let kind = if self.left_to_begin() < WORTH_REPEATING {
            ErrorKind::DeadlineExpired
        } else {
            ErrorKind::NoEndpoint
        };
        let wait = self.left() / 3;
        failure.ok_or_else(|| self.give_up(Fault::new(kind).retry_after(wait)))
    }

    /// Returns whether another endpoint may get the request.
    fn may_go_on(&self) -> bool {
        let repeatable = self.runs == 0 || self.route.repeat != Repeat::Forbidden;
        repeatable && self.runs < self.route.attempts && self.left_to_begin() >= WORTH_REPEATING
    }

    fn choose(&self) -> Choice {
        let kept = match self.route.repeat {
            Repeat::Forbidden => HashSet::new(),
            Repeat::Allowed | Repeat::Resumable => self.context.outlet.kept(),
        };
        let send = Send {
            service: &self.service,
            prompt: self.request.prompt_tokens,
            fingerprint: self.fingerprint,
            avoid: &self.had,
            kept: &kept,
            again: !self.had.is_empty(),
            left: self.left(),
        };
        let view = self.context.view.borrow().clone();
        let now = Instant::now();
        if now >= self.begin_by {
            return Err(ErrorKind::DeadlineExpired.into());
        }
        self.context.decide(|desk| desk.choose(&view, &send, now))
    }

    /// Makes the final refusal; it says "not run" only if no endpoint can have run the request.
    fn give_up(&self, fault: Fault) -> Fault {
        if self.runs == 0 {
            return fault;
        }
        match fault.kind() {
            ErrorKind::DeadlineExpired => Fault::new(ErrorKind::DeadlineRunning),
            _ => Fault::new(ErrorKind::Interrupted).detail("an endpoint may have run the request"),
        }
    }

    async fn send(&mut self, placement: Placement) -> Step {
        let flight = Flight::new(self.context.clone(), placement);
        self.had.push(flight.placement.endpoint.clone());
        log::info!(
            request:% = self.request.id,
            route:% = self.route.name,
            version = self.version,
            endpoint:% = flight.placement.endpoint,
            endpoint_load = flight.placement.seen,
            cold = flight.placement.cold,
            attempt = self.had.len(),
            age_ms = millis(self.arrived.elapsed()),
            left_ms = millis(self.left());
            "sent"
        );
        let request = self.request(&flight.placement);
        let fresh = self.route.repeat == Repeat::Forbidden;
        let context = self.context.clone();
        let sending = context.outlet.send(
            &flight.placement.endpoint,
            flight.placement.address,
            request,
            fresh,
        );
        match time::timeout_at(self.begin_by, sending).await {
            Err(_) => {
                self.runs += 1;
                self.note(&flight, "no answer by the deadline", "");
                flight.end(Outcome::Broke);
                Step::Unknown(SmolStr::new_static("no answer by the deadline"))
            }
            Ok(Err(Broken::Unsent(reason))) => {
                self.note(&flight, "unreached", &reason);
                flight.end(Outcome::Unreached);
                Step::Declined
            }
            Ok(Err(Broken::Unknown(reason))) => {
                self.runs += 1;
                self.note(&flight, "broke before its answer", &reason);
                self.crashed();
                flight.end(Outcome::Broke);
                Step::Unknown(reason.into())
            }
            Ok(Ok(opened)) => self.receive(flight, opened).await,
        }
    }

    /// Judges the head of an endpoint's answer.
    async fn receive(&mut self, flight: Flight, opened: Opened) -> Step {
        let Opened {
            response,
            link,
            fresh,
        } = opened;
        let (head, body) = response.into_parts();
        let answer = self.context.protocol.decode_response(&head);
        if answer
            .request_id
            .as_ref()
            .is_some_and(|id| *id != self.request.id)
        {
            // The connection carries an answer to an earlier request; dropping the link closes it.
            self.runs += 1;
            self.note(
                &flight,
                "answer to another request",
                if fresh { "fresh" } else { "kept" },
            );
            flight.end(Outcome::Dropped);
            return Step::Unknown(SmolStr::new_static("answer to another request"));
        }
        if answer.not_run || answer.misdirected {
            return self.declined(flight, &head, &answer, body, link).await;
        }
        self.runs += 1;
        if answer.encoded || !answer.signed {
            self.note(
                &flight,
                "answer is not the endpoint's own",
                head.status.as_str(),
            );
            flight.end(Outcome::Broke);
            return Step::Unknown(SmolStr::new_static("answer is not the endpoint's own"));
        }
        if self.route.stream && head.status.is_success() {
            return self.stream(flight, head, body, link).await;
        }
        self.plain(flight, head, body, link).await
    }

    /// Takes in that an endpoint did not run the request.
    async fn declined(
        &self,
        flight: Flight,
        head: &response::Parts,
        answer: &metadata::Response,
        body: Incoming,
        link: Link,
    ) -> Step {
        self.note(&flight, "declined", head.status.as_str());
        if let Some(at_fault) = &answer.at_fault {
            let view = self.context.view.borrow().clone();
            let endpoint = &flight.placement.endpoint;
            log::warn!(request:% = self.request.id, endpoint:% = endpoint, at_fault:% = at_fault; "group is stalled");
            self.context
                .decide(|desk| desk.stalled(&view, endpoint, at_fault, Instant::now()));
        }
        let keep_alive = outlet::keep_alive(&head.headers);
        if Limited::new(body, WHOLE).collect().await.is_ok() {
            self.context.outlet.keep(link, keep_alive);
        }
        let outcome = if answer.misdirected {
            Outcome::Misdirected
        } else {
            Outcome::Declined
        };
        flight.end(outcome);
        Step::Declined
    }

    /// Passes on a plain answer once it is here as a whole.
    async fn plain(
        &self,
        flight: Flight,
        head: response::Parts,
        body: Incoming,
        link: Link,
    ) -> Step {
        let collected = time::timeout_at(self.deadline, Limited::new(body, WHOLE).collect()).await;
        let bytes = match collected {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(e)) => {
                self.note(&flight, "broke amid its answer", &e.to_string());
                flight.end(Outcome::Broke);
                return Step::Unknown(SmolStr::new_static("the answer was cut"));
            }
            Err(_) => {
                self.note(&flight, "answer not whole by the deadline", "");
                flight.end(Outcome::Dropped);
                return Step::Unknown(SmolStr::new_static("answer not whole by the deadline"));
            }
        };
        self.context
            .outlet
            .keep(link, outlet::keep_alive(&head.headers));
        let failed = head.status.is_server_error();
        self.note(
            &flight,
            if failed { "failed" } else { "answered" },
            head.status.as_str(),
        );
        flight.end(if failed {
            Outcome::Failed
        } else {
            Outcome::Whole
        });
        self.measure(if failed { "failed" } else { "answered" });
        let response = respond(&head, body::whole(bytes));
        if failed && self.route.repeat != Repeat::Forbidden {
            return Step::Failed(response);
        }
        Step::Done(response)
    }

    /// Passes on a stream of events as they come.
    async fn stream(
        &mut self,
        flight: Flight,
        head: response::Parts,
        body: Incoming,
        link: Link,
    ) -> Step {
        let resumable = self.route.repeat == Repeat::Resumable;
        let mut relay = Relay::new(flight, body, link, &head, self.request.last_event);
        // Until the first event is here, another endpoint can still answer in full.
        let first = match time::timeout_at(self.begin_by, relay.next()).await {
            Ok(Ok(first)) => first,
            Ok(Err(reason)) => {
                self.note(relay.flight(), "broke before its first event", &reason);
                relay.end(Outcome::Broke);
                self.crashed();
                return Step::Unknown(reason.into());
            }
            Err(_) => {
                relay.end(Outcome::Dropped);
                return Step::Unknown(SmolStr::new_static("no event by the deadline"));
            }
        };
        relay.begin();
        self.context
            .metrics
            .first_byte
            .observe(self.arrived.elapsed().as_secs_f64());
        let resume = Resume {
            context: self.context.clone(),
            request: self.request.clone(),
            route: self.route.clone(),
            service: self.service.clone(),
            team: self.team.clone(),
            rank: self.rank,
            head: self.head.clone(),
            body: self.body.clone(),
            fingerprint: self.fingerprint,
            arrived: self.arrived,
            deadline: self.deadline,
            had: self.had.clone(),
            runs: self.runs,
            resumable,
        };
        Step::Done(respond(&head, resume.deliver(relay, first)))
    }
}

/// # Small parts
impl Call {
    /// Notes that a connection broke while an endpoint ran the request.
    fn crashed(&self) {
        let crash = rand::random();
        self.context
            .decide(|desk| desk.crashed(self.fingerprint, crash, Instant::now()));
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time in which an answer must begin.
    fn left_to_begin(&self) -> Duration {
        self.begin_by.saturating_duration_since(Instant::now())
    }

    fn request(&self, placement: &Placement) -> Request<Full<Bytes>> {
        let forwarded = metadata::Forwarded {
            endpoint: &placement.endpoint,
            team: self.team.as_ref(),
            time_left: self.left(),
            priority: self.rank,
            last_event: self.request.last_event,
        };
        outgoing(
            &*self.context.protocol,
            &self.head,
            self.body.clone(),
            &forwarded,
        )
    }

    fn note(&self, flight: &Flight, outcome: &str, reason: &str) {
        note(
            &self.context,
            &self.request.id,
            flight,
            outcome,
            reason,
            self.arrived,
        );
    }

    fn measure(&self, outcome: &str) {
        let age = self.arrived.elapsed().as_secs_f64();
        self.context
            .metrics
            .requests
            .with_label_values(&[outcome])
            .inc();
        self.context.metrics.first_byte.observe(age);
        self.context.metrics.whole.observe(age);
    }
}

fn configuration(context: &Context) -> Result<Arc<Configuration>, Fault> {
    let view = context.view.borrow();
    view.configuration
        .clone()
        .ok_or_else(|| Fault::new(ErrorKind::NotReady).retry_after(NOT_READY))
}

/// Reads a request's body.
async fn read(body: Incoming, limit: usize, patience: Duration) -> Result<Bytes, Fault> {
    use hyper::body::Body as _;
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limit as u64 {
        return Err(ErrorKind::TooLarge.into());
    }
    match time::timeout(patience, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.downcast_ref::<LengthLimitError>().is_some() => {
            Err(ErrorKind::TooLarge.into())
        }
        Ok(Err(e)) => Err(Fault::new(ErrorKind::Malformed).detail(e.to_string())),
        Err(_) => Err(ErrorKind::SlowCaller.into()),
    }
}

/// Returns the host that a request names, without its port.
fn host(head: &request::Parts) -> SmolStr {
    let named = head
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    let host = named.or_else(|| head.uri.host()).unwrap_or_default();
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name.into(),
        _ => host.into(),
    }
}

/// Chooses the service of a route by its weights; the same for all sends under one id.
fn split(route: &Route, id: &str) -> id::Service {
    let total: u64 = route.split.iter().map(|s| u64::from(s.weight)).sum();
    let mut point = xxhash_rust::xxh3::xxh3_64(id.as_bytes()) % total.max(1);
    for split in &route.split {
        let weight = u64::from(split.weight);
        if point < weight {
            return split.service.clone();
        }
        point -= weight;
    }
    route
        .split
        .last()
        .map(|s| s.service.clone())
        .unwrap_or_default()
}

fn fingerprint(team: Option<&id::Team>, path: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [
        team.map_or("", |t| t.as_str()).as_bytes(),
        path.as_bytes(),
        body,
    ] {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
