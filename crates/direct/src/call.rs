use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use conf::id;
use fault::{ErrorKind, Fault};
use fleet::{Repeat, Route, View};
use http::{HeaderValue, Request, Response, header, request, response};
use hyper::body::{Body as _, Incoming};
use node::Shutdown;
use payload::{Message, Outgoing};
use quota::{Answer, Exchange, Patience, Quota, SMALL_MESSAGE_BYTES};
use sched::Outranked;
use smol_str::SmolStr;
use tokio::{
    sync::watch,
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    Attempt, Balancer, Fingerprint, Grace, Outcome, Placement, Protocol,
    admission::Admission,
    balancer::Choice,
    body::{self, Body},
    dispatch::{Dispatch, log_outcome, log_retry, log_spill},
    forward::build_request,
    metadata,
    metrics::{MAX_LEVEL, Metrics},
    pool::{self, Connection, Error, Pool, Received},
    response::{build_error_response, build_response, has_body, is_unframed},
    resumption::Resumption,
    stream::Upstream,
};

/// Maximum number of attempts for one request, including those that reached no endpoint.
pub(crate) const MAX_ATTEMPTS: usize = 5;
/// Largest body of a response that is not an event stream, in bytes. Such a response is buffered until
/// it is complete, so a larger one is handled like a broken connection.
const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;
/// Largest body of a response that declines a request, in bytes; the connection of a larger one is
/// closed.
const MAX_DECLINED_BODY_BYTES: usize = 16 << 10;
/// Time for the body of a response that declines a request; the connection of a slower one is closed.
const DECLINED_BODY_TIMEOUT: Duration = Duration::from_millis(20);
/// Least remaining time with which a retry is sent; with less it is not expected to succeed.
pub(crate) const MIN_RETRY_TIME: Duration = Duration::from_millis(60);

/// Time and size of bodies that are not read, before a configuration is known.
const DEFAULT_PATIENCE: Patience = Patience {
    time: Duration::from_secs(3),
    bytes: 4 << 20,
};

/// State that all requests share.
///
/// Lock order: `balancer` is the only lock and is never held across an await.
pub(crate) struct Context {
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) balancer: Mutex<Balancer>,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    pub(crate) shutdown: Shutdown,
    pub(crate) grace: Grace,
    pub(crate) quota: Quota,
}

impl Context {
    /// Calls `f` with the locked balancer.
    pub(crate) fn with_balancer<T>(&self, f: impl FnOnce(&mut Balancer) -> T) -> T {
        // A poisoned lock is ignored: the tables hold counts, which stay usable after a panic.
        let mut balancer = self
            .balancer
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        f(&mut balancer)
    }

    /// Chooses an endpoint for an attempt, and logs what changes in the shares that leave the zone; returns also
    /// the refusal if the attempt is refused because of its rank.
    pub(crate) fn choose(
        &self,
        attempt: &Attempt<'_>,
        now: Instant,
    ) -> (Choice, Option<Outranked>) {
        let view = self.view.borrow().clone();
        let (choice, spills, outranked) = self.with_balancer(|balancer| {
            let choice = balancer.choose(&view, attempt, now);
            (choice, balancer.take_spills(), balancer.take_outranked())
        });
        spills.iter().for_each(log_spill);
        (choice, outranked)
    }
}

/// Handles a client request and returns the response.
pub(crate) async fn respond(
    context: Arc<Context>,
    request: Request<Incoming>,
    mut exchange: Exchange,
) -> Response<Answer<Body>> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let (has_body, is_large) = (!body.is_end_stream(), !is_small(&body));
    let accepted = Call::accept(&context, head, body, &mut exchange, arrived).await;
    exchange.finish_receiving();
    let is_unread = has_body && accepted.is_err();
    if is_unread {
        exchange.slot().linger(patience(&context));
    }
    let (id, result) = match accepted {
        Ok(call) => {
            let id = call.request.id.clone();
            let mut guard = DisconnectGuard::new(&context, &id, arrived);
            let result = call.run().await;
            guard.responded = true;
            drop(guard);
            (id, result)
        }
        Err((id, fault)) => (id, Err(fault)),
    };
    let mut response =
        result.unwrap_or_else(|fault| build_error_response(&context, &id, &fault, arrived));
    if context.shutdown.is_draining() || is_unread && is_large {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.map(|body| Answer::new(body, exchange))
}

/// Counts a client request as in progress, and logs a disconnected client if dropped before the
/// response has started.
struct DisconnectGuard<'a> {
    context: &'a Context,
    id: &'a SmolStr,
    arrived: Instant,
    responded: bool,
}

impl<'a> DisconnectGuard<'a> {
    fn new(context: &'a Context, id: &'a SmolStr, arrived: Instant) -> Self {
        context.metrics.in_flight.inc();
        Self {
            context,
            id,
            arrived,
            responded: false,
        }
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.context.metrics.in_flight.dec();
        if !self.responded {
            self.context
                .metrics
                .requests
                .with_label_values(&["left"])
                .inc();
            let age = millis(self.arrived.elapsed());
            log::info!(request:% = self.id, age_ms = age; "client disconnected before the response started");
        }
    }
}

/// Client request that is being handled.
struct Call {
    context: Arc<Context>,
    request: metadata::Request,
    route: Arc<Route>,
    service: id::Service,
    team: Option<id::Team>,
    /// Level of the request's rank, from 0 (highest).
    level: u8,
    /// Number of levels of the service.
    levels: u8,
    /// Version of the configuration.
    version: u64,
    head: request::Parts,
    body: Message,
    fingerprint: Fingerprint,
    /// Closes the client's connection.
    revocation: CancellationToken,
    arrived: Instant,
    /// Whether the client sends the request again after a refusal.
    returning: bool,
    deadline: Instant,
    /// Time by which the response must have started; for streams, shortly before the client disconnects.
    start_by: Instant,
    /// Endpoints to which the request was sent.
    tried: Vec<id::Endpoint>,
    /// Attempts that an endpoint may have run.
    possible_runs: u32,
}

/// Result of one attempt.
enum Disposition {
    /// The response for the client.
    Done(Response<Body>),
    /// The endpoint did not run the request.
    Declined,
    /// The endpoint may have run the request, and there is no usable response.
    Unknown(SmolStr),
    /// An error response of the endpoint, which the client gets if no other endpoint succeeds.
    Failed(Response<Body>),
    /// The fault for the client; the endpoint may have run the request, and its error response says that it did not.
    Misstated(Fault),
}

/// # Validation
impl Call {
    /// Decodes and validates a request, and reads its body; returns its id and the fault if it is invalid.
    async fn accept(
        context: &Arc<Context>,
        head: request::Parts,
        body: Incoming,
        exchange: &mut Exchange,
        arrived: Instant,
    ) -> Result<Self, (SmolStr, Fault)> {
        let request = match context.protocol.decode_request(&head) {
            Ok(request) => request,
            Err(kind) => return Err((SmolStr::default(), kind.into())),
        };
        let id = request.id.clone();
        Self::receive(context, request, head, body, exchange, arrived)
            .await
            .map_err(|fault| (id, fault))
    }

    /// Reads the body of a request that can be served by what its head says.
    async fn receive(
        context: &Arc<Context>,
        request: metadata::Request,
        head: request::Parts,
        body: Incoming,
        exchange: &mut Exchange,
        arrived: Instant,
    ) -> Result<Self, Fault> {
        let mut admission = Admission::check(context, &request, &head, arrived)?;
        let body = read_body(context, &admission, body, exchange).await?;
        // Reading the body may have taken long, and the time left until the process exits decides on a request.
        if admission.is_outdated(context) || context.shutdown.is_draining() {
            admission = Admission::check(context, &request, &head, arrived)?;
        }
        Ok(Self {
            version: admission.configuration.version,
            fingerprint: fingerprint(admission.team.as_ref(), head.uri.path(), &body),
            service: admission.service,
            team: admission.team,
            level: admission.level,
            levels: admission.levels,
            returning: admission.returning,
            deadline: admission.deadline,
            start_by: admission.start_by,
            route: admission.route,
            context: context.clone(),
            revocation: exchange.slot().revocation(),
            request,
            head,
            body,
            arrived,
            tried: Vec::new(),
            possible_runs: 0,
        })
    }
}

/// # Sending
impl Call {
    /// Sends the request to endpoints until one responds or no further attempt is allowed.
    async fn run(mut self) -> Result<Response<Body>, Fault> {
        let mut error_response = None;
        for _ in 0..MAX_ATTEMPTS {
            let choice = self.choose_endpoint();
            let placement = match choice {
                Ok(placement) => placement,
                Err(fault) => return error_response.ok_or_else(|| self.finalize_fault(fault)),
            };
            match self.attempt(placement).await {
                Disposition::Done(response) => return Ok(response),
                Disposition::Failed(response) => error_response = Some(response),
                Disposition::Misstated(fault) => return Err(fault),
                Disposition::Declined => {}
                Disposition::Unknown(reason) => {
                    if self.route.repeat == Repeat::Forbidden {
                        let kind = match self.time_to_start().is_zero() {
                            true => ErrorKind::DeadlineRunning,
                            false => ErrorKind::Interrupted,
                        };
                        return Err(Fault::new(kind).detail(reason));
                    }
                }
            }
            if !self.may_retry() {
                break;
            }
        }
        let kind = if self.time_to_start() < MIN_RETRY_TIME {
            ErrorKind::DeadlineExpired
        } else {
            ErrorKind::NoEndpoint
        };
        let wait = self.time_left() / 3;
        error_response.ok_or_else(|| self.finalize_fault(Fault::new(kind).retry_after(wait)))
    }

    /// Returns whether the request may be sent to another endpoint.
    fn may_retry(&self) -> bool {
        let repeatable = self.possible_runs == 0 || self.route.repeat != Repeat::Forbidden;
        repeatable
            && self.possible_runs < self.route.max_attempts
            && self.time_to_start() >= MIN_RETRY_TIME
    }

    fn choose_endpoint(&self) -> Choice {
        let connected = match self.route.repeat {
            Repeat::Forbidden => HashSet::new(),
            Repeat::Allowed | Repeat::Resumable => self.context.pool.connected_endpoints(),
        };
        let attempt = Attempt {
            service: &self.service,
            prompt_tokens: self.request.prompt_tokens,
            fingerprint: self.fingerprint,
            shared_parts: &self.request.shared_parts,
            excluded: &self.tried,
            connected: &connected,
            is_retry: !self.tried.is_empty(),
            time_left: self.time_left(),
            level: self.level,
            levels: self.levels,
            team: self.team.as_ref(),
            returning: self.returning,
        };
        let now = Instant::now();
        if now >= self.start_by {
            return Err(ErrorKind::DeadlineExpired.into());
        }
        let (choice, outranked) = self.context.choose(&attempt, now);
        if let Some(outranked) = outranked {
            self.record_outranked(&outranked);
        }
        choice
    }

    /// Returns the fault for the client, which states "not run" only if no endpoint can have run the
    /// request.
    fn finalize_fault(&self, fault: Fault) -> Fault {
        if self.possible_runs == 0 {
            return fault;
        }
        match fault.kind() {
            ErrorKind::DeadlineExpired => Fault::new(ErrorKind::DeadlineRunning),
            _ => Fault::new(ErrorKind::Interrupted).detail("an endpoint may have run the request"),
        }
    }

    /// Sends the request to the chosen endpoint.
    async fn attempt(&mut self, placement: Placement) -> Disposition {
        let dispatch = Dispatch::new(self.context.clone(), placement);
        self.tried.push(dispatch.placement.endpoint.clone());
        log_retry(&self.request.id, &dispatch.placement);
        log::info!(
            request:% = self.request.id,
            route:% = self.route.name,
            version = self.version,
            endpoint:% = dispatch.placement.endpoint,
            endpoint_load = dispatch.placement.requests,
            other_zone = dispatch.placement.other_zone,
            cold = dispatch.placement.cold,
            limit:? = dispatch.placement.limit,
            after:? = self.request.last_event,
            attempt = self.tried.len(),
            age_ms = millis(self.arrived.elapsed()),
            left_ms = millis(self.time_left());
            "sent"
        );
        let request = self.build_request(&dispatch.placement);
        let force_new = self.route.repeat == Repeat::Forbidden;
        let context = self.context.clone();
        let sending = context.pool.send(
            &dispatch.placement.endpoint,
            dispatch.placement.address,
            request,
            force_new,
        );
        match time::timeout_at(self.start_by, sending).await {
            Err(_) => {
                self.possible_runs += 1;
                self.log_outcome(&dispatch, "no answer by the deadline", "");
                dispatch.end(Outcome::Broke);
                Disposition::Unknown(SmolStr::new_static("no answer by the deadline"))
            }
            Ok(Err(Error::NotSent(reason))) => {
                self.log_outcome(&dispatch, "unreached", &reason);
                dispatch.end(Outcome::Unreached);
                Disposition::Declined
            }
            Ok(Err(Error::MaybeRun(reason))) => {
                self.possible_runs += 1;
                self.log_outcome(&dispatch, "broke before its answer", &reason);
                self.record_break(&dispatch).await;
                dispatch.end(Outcome::Broke);
                Disposition::Unknown(reason.into())
            }
            Ok(Ok(received)) => self.handle_response(dispatch, received).await,
        }
    }

    /// Checks the head of an endpoint's response and handles the response accordingly.
    async fn handle_response(&mut self, mut dispatch: Dispatch, received: Received) -> Disposition {
        let Received {
            response,
            connection,
            is_new,
        } = received;
        let (head, body) = response.into_parts();
        let metadata = self.context.protocol.decode_response(&head);
        dispatch.record_notices(&metadata);
        dispatch.record_limit(&self.request.id, &metadata);
        if !metadata.belongs_to(&self.request.id, is_new) {
            // The connection carries a response to an earlier request; dropping it closes it.
            self.possible_runs += 1;
            self.log_outcome(
                &dispatch,
                "answer to another request",
                if is_new { "fresh" } else { "kept" },
            );
            dispatch.end(Outcome::Dropped);
            return Disposition::Unknown(SmolStr::new_static("answer to another request"));
        }
        if !payload::is_final(head.status) {
            self.possible_runs += 1;
            self.log_outcome(&dispatch, "answer has no HTTP status", head.status.as_str());
            dispatch.end(Outcome::Broke);
            return Disposition::Unknown(SmolStr::new_static("answer has no HTTP status"));
        }
        if !metadata.misdirected {
            dispatch.record_answer(&connection);
        }
        if metadata.not_run || metadata.misdirected {
            return self
                .handle_declined(dispatch, &head, &metadata, body, connection)
                .await;
        }
        self.possible_runs += 1;
        if metadata.encoded || !metadata.signed {
            self.log_outcome(
                &dispatch,
                "answer is not the endpoint's own",
                head.status.as_str(),
            );
            dispatch.end(Outcome::Broke);
            return Disposition::Unknown(SmolStr::new_static("answer is not the endpoint's own"));
        }
        if self.route.stream && head.status.is_success() {
            return self.deliver_stream(dispatch, head, body, connection).await;
        }
        self.deliver_buffered(dispatch, head, body, connection)
            .await
    }

    /// Handles a response which states that the endpoint did not run the request.
    async fn handle_declined(
        &self,
        dispatch: Dispatch,
        head: &response::Parts,
        metadata: &metadata::Response,
        body: pool::Body,
        connection: Connection,
    ) -> Disposition {
        self.log_outcome(&dispatch, "declined", head.status.as_str());
        if let Some(at_fault) = &metadata.at_fault {
            let view = self.context.view.borrow().clone();
            let endpoint = &dispatch.placement.endpoint;
            log::warn!(request:% = self.request.id, endpoint:% = endpoint, at_fault:% = at_fault; "group is stalled");
            self.context.with_balancer(|balancer| {
                balancer.record_stall(&view, endpoint, at_fault, Instant::now())
            });
        }
        let keep_alive = pool::keep_alive(&head.headers);
        let collecting = payload::collect(body, MAX_DECLINED_BODY_BYTES);
        if let Ok(Ok(_)) = time::timeout(DECLINED_BODY_TIMEOUT, collecting).await {
            self.context.pool.put(connection, keep_alive);
        }
        dispatch.end(metadata.declined_outcome(&self.request));
        Disposition::Declined
    }

    /// Buffers a response until it is complete, then passes it on.
    async fn deliver_buffered(
        &self,
        dispatch: Dispatch,
        head: response::Parts,
        body: pool::Body,
        connection: Connection,
    ) -> Disposition {
        let collected = time::timeout_at(
            self.deadline,
            payload::receive(
                body,
                MAX_BUFFERED_BODY_BYTES,
                || self.context.quota.memory.protected_lease(),
                || {},
            ),
        )
        .await;
        let message = match collected {
            // The connection may have ended before the body.
            Ok(Ok(message))
                if message.is_empty()
                    && is_unframed(&head)
                    && has_body(&self.head.method, head.status) =>
            {
                self.log_outcome(&dispatch, "broke amid its answer", "no body and no length");
                self.record_break(&dispatch).await;
                dispatch.end(Outcome::Broke);
                return Disposition::Unknown(SmolStr::new_static("the answer was cut"));
            }
            Ok(Ok(message)) => message,
            Ok(Err(payload::Error::Denied(denial))) => {
                self.log_outcome(&dispatch, "no memory for its answer", &denial.to_string());
                dispatch.end(Outcome::Dropped);
                return Disposition::Unknown(SmolStr::new_static("no memory for the answer"));
            }
            Ok(Err(e)) => {
                self.log_outcome(&dispatch, "broke amid its answer", &e.to_string());
                if matches!(e, payload::Error::Read(_)) {
                    self.record_break(&dispatch).await;
                }
                dispatch.end(Outcome::Broke);
                return Disposition::Unknown(SmolStr::new_static("the answer was cut"));
            }
            Err(_) => {
                self.log_outcome(&dispatch, "answer not whole by the deadline", "");
                dispatch.end(Outcome::Dropped);
                return Disposition::Unknown(SmolStr::new_static(
                    "answer not whole by the deadline",
                ));
            }
        };
        self.context
            .pool
            .put(connection, pool::keep_alive(&head.headers));
        let misstated = self.route.repeat == Repeat::Forbidden
            && self.context.protocol.states_not_run(head.status);
        let failed = head.status.is_server_error() || misstated;
        if !failed {
            dispatch.record_sound(&self.request, self.fingerprint);
        }
        self.log_outcome(
            &dispatch,
            if failed { "failed" } else { "answered" },
            head.status.as_str(),
        );
        dispatch.end(if failed {
            Outcome::Failed
        } else {
            Outcome::Whole
        });
        if misstated {
            let detail = format!(
                "status {} without a statement that it did not run",
                head.status
            );
            return Disposition::Misstated(Fault::new(ErrorKind::EndpointFailed).detail(detail));
        }
        self.record_response(if failed { "failed" } else { "answered" });
        let response = build_response(&head, body::message(&message));
        if failed && self.route.repeat != Repeat::Forbidden {
            return Disposition::Failed(response);
        }
        message.expose(self.revocation.clone());
        Disposition::Done(response)
    }

    /// Waits for the first event of a stream, then passes the events on as they are received.
    async fn deliver_stream(
        &mut self,
        dispatch: Dispatch,
        head: response::Parts,
        body: pool::Body,
        connection: Connection,
    ) -> Disposition {
        let is_resumable = self.route.repeat == Repeat::Resumable;
        let last_id = self.request.last_event.clone();
        let mut upstream = Upstream::new(dispatch, body, connection, &head, last_id);
        // Until the first event is received, another endpoint can still send the whole stream.
        let first = match time::timeout_at(self.start_by, upstream.next_events()).await {
            Ok(Ok(first)) => first,
            Ok(Err(e)) => {
                let reason = e.to_string();
                self.log_outcome(upstream.dispatch(), "broke before its first event", &reason);
                self.record_break(upstream.dispatch()).await;
                upstream.abort(Outcome::Broke);
                return Disposition::Unknown(reason.into());
            }
            Err(_) => {
                upstream.abort(Outcome::Dropped);
                return Disposition::Unknown(SmolStr::new_static("no event by the deadline"));
            }
        };
        upstream.record_start();
        self.context
            .metrics
            .first_byte
            .observe(self.arrived.elapsed().as_secs_f64());
        let resumption = Resumption {
            context: self.context.clone(),
            request: self.request.clone(),
            route: self.route.clone(),
            service: self.service.clone(),
            team: self.team.clone(),
            level: self.level,
            head: self.head.clone(),
            body: self.body.clone(),
            fingerprint: self.fingerprint,
            arrived: self.arrived,
            deadline: self.deadline,
            tried: self.tried.clone(),
            possible_runs: self.possible_runs,
            is_resumable,
        };
        Disposition::Done(build_response(&head, resumption.into_body(upstream, first)))
    }
}

/// # Helpers
impl Call {
    /// Records that a connection broke before the answer was whole.
    async fn record_break(&self, dispatch: &Dispatch) {
        let is_repeat = self.possible_runs > 1;
        dispatch
            .record_break(&self.request, self.fingerprint, is_repeat)
            .await;
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the remaining time in which the response must start.
    fn time_to_start(&self) -> Duration {
        self.start_by.saturating_duration_since(Instant::now())
    }

    /// Builds the request that is sent to the chosen endpoint.
    fn build_request(&self, placement: &Placement) -> Request<Outgoing> {
        let forwarded = metadata::Forwarded {
            endpoint: &placement.endpoint,
            team: self.team.as_ref(),
            time_left: self.time_left(),
            priority: self.level.min(metadata::MAX_PRIORITY),
            last_event: self.request.last_event.as_ref(),
        };
        build_request(
            &*self.context.protocol,
            &self.head,
            self.body.outgoing(),
            &forwarded,
        )
    }

    fn log_outcome(&self, dispatch: &Dispatch, outcome: &str, reason: &str) {
        log_outcome(
            &self.context,
            &self.request.id,
            dispatch,
            outcome,
            reason,
            self.arrived,
        );
    }

    /// Logs and counts a refusal because of the request's rank.
    fn record_outranked(&self, outranked: &Outranked) {
        let level = outranked.level.min(MAX_LEVEL);
        self.context
            .metrics
            .outranked
            .with_label_values(&[level.to_string()])
            .inc();
        log::info!(
            request:% = self.request.id,
            route:% = self.route.name,
            service:% = self.service,
            level,
            load = outranked.load.round(),
            bound = outranked.bound.round(),
            returning = self.returning,
            retry_after_ms = millis(outranked.retry_after);
            "more urgent requests have priority"
        );
    }

    /// Counts the client request and its response times in the metrics.
    fn record_response(&self, outcome: &str) {
        let duration = self.arrived.elapsed();
        self.context.with_balancer(|balancer| {
            balancer.record_duration(&self.route.name, duration, Instant::now());
        });
        let age = duration.as_secs_f64();
        self.context
            .metrics
            .requests
            .with_label_values(&[outcome])
            .inc();
        self.context.metrics.first_byte.observe(age);
        self.context.metrics.full_response.observe(age);
    }
}

/// Reads a request's body, which may have as many frames as [`payload::Allowance`] permits.
async fn read_body(
    context: &Context,
    admission: &Admission,
    body: Incoming,
    exchange: &mut Exchange,
) -> Result<Message, Fault> {
    if body.is_end_stream() {
        return Ok(Message::default());
    }
    let limits = &admission.configuration.limits;
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return Err(ErrorKind::TooLarge.into());
    }
    if !is_small(&body) {
        admission.check_endpoints(context)?;
    }
    let end = admission
        .deadline
        .min(Instant::now() + limits.header_timeout);
    exchange.receive();
    let receiving = payload::receive(
        body,
        limits.max_body_bytes,
        || context.quota.memory.lease(),
        || exchange.receive(),
    );
    match time::timeout_at(end, receiving).await {
        Ok(Ok(message)) => Ok(message),
        Ok(Err(payload::Error::Exceeded(_))) => Err(ErrorKind::TooLarge.into()),
        Ok(Err(payload::Error::Denied(denial))) => Err(denial.into()),
        Ok(Err(payload::Error::Read(e))) => {
            Err(Fault::new(ErrorKind::Malformed).detail(e.to_string()))
        }
        Err(_) => Err(ErrorKind::SlowClient.into()),
    }
}

/// Returns how long a client may take to send a body that is not read, and how large that may be.
fn patience(context: &Context) -> Patience {
    let view = context.view.borrow();
    let configuration = view.configuration.as_ref();
    configuration.map_or(DEFAULT_PATIENCE, |c| Patience {
        time: c.limits.header_timeout,
        bytes: c.limits.max_body_bytes,
    })
}

/// Returns whether a body is known to be small.
fn is_small(body: &Incoming) -> bool {
    let upper = body.size_hint().upper();
    upper.is_some_and(|length| length <= SMALL_MESSAGE_BYTES as u64)
}

/// Hashes team, path and body of a request.
fn fingerprint(team: Option<&id::Team>, path: &str, body: &Message) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [team.map_or("", |t| t.as_str()), path] {
        hash.update(&part.len().to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(&body.len().to_le_bytes());
    body.segments().for_each(|segment| hash.update(segment));
    hash.digest()
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
