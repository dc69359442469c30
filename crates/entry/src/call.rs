use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use conf::{Document, Route, id};
use event::{Kind, Recorder};
use fault::{ErrorKind, Fault, Run};
use http::{Request, Response};
use hyper::body::{Body as _, Incoming};
use node::{Follower, Links, Shutdown};
use quota::{Exchange, Lease, Patience, Quota};
use route::{Action, Descriptor, Event};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{self, Instant};
use wire::{Attempt, Header, Key, Offer};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    attempt::{Stream, Upload},
    authenticate::authenticate,
    classify::classify,
    deliver::{self, Body},
    dispatch::{Dispatcher, Subscription},
    endpoints::Endpoints,
    idempotency::{self, Mode},
    keys,
    metrics::Metrics,
    offer::{self, Admission},
    prefix::Prefix,
    problem,
    relay::{Answer, Relay},
};

/// Headers of a request that are not forwarded, as they apply to the connection to the entry only.
const HOP_BY_HOP: [&str; 10] = [
    "authorization",
    "connection",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// State that all requests share.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) follower: Follower,
    pub(crate) links: Links,
    pub(crate) endpoints: Arc<Endpoints>,
    /// Availability zone of the entry.
    pub(crate) zone: id::Zone,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) recorder: Recorder,
    pub(crate) metrics: Metrics,
    pub(crate) shutdown: Shutdown,
    pub(crate) quota: Quota,
}

/// One request of a client, from its arrival until its answer begins.
struct Call {
    context: Context,
    document: Arc<Document>,
    request: SmolStr,
    team: id::Team,
    service: id::Service,
    route: Route,
    mode: Mode,
    /// Key under which the request may have been run: the client's, or that of the last attempt
    /// that was started.
    run_key: Option<SmolStr>,
    /// Whether an earlier attempt may have been run.
    may_have_run: bool,
    /// Error that an agent reported last: if the client sent a key, the agent that owns it.
    owner_error: Option<ErrorKind>,
    deadline: Instant,
    method: SmolStr,
    path: SmolStr,
    headers: Vec<Header>,
    /// Start of the body.
    buffered: Bytes,
    /// Remainder of the body, until the first attempt that starts takes it.
    unread: Option<Incoming>,
    /// Whether `buffered` is the complete body, so that each attempt can send it.
    fully_buffered: bool,
    /// Hashes of prefixes of the body, from the shortest to the longest.
    prefix_hashes: Vec<u64>,
    /// Memory of head and `buffered`.
    lease: Lease,
}

/// Handles a client's request and returns the response.
pub(crate) async fn handle(
    context: Context,
    request: Request<Incoming>,
    mut exchange: Exchange,
) -> Response<quota::Answer<Body>> {
    let id = format_smolstr!("{:032x}", rand::random::<u128>());
    let started = Instant::now();
    let metrics = context.metrics.clone();
    let recorder = context.recorder.clone();
    metrics.count_request();
    let has_body = !request.body().is_end_stream();
    let result = if keys::matches(&request) {
        keys::issue(&context, request)
            .await
            .map_err(Rejection::from)
    } else {
        if has_body {
            exchange.receive();
        }
        let accepted = Call::accept(context, id.clone(), request).await;
        exchange.finish_receiving();
        match accepted {
            Ok(call) => call.run().await,
            Err(fault) => Err(fault.into()),
        }
    };
    if has_body && result.is_err() {
        exchange.slot().linger(PATIENCE);
    }
    let response = match result {
        Ok(response) => {
            metrics.first_byte.observe(started.elapsed().as_secs_f64());
            response
        }
        Err(Rejection { fault, key }) => {
            metrics.count_rejection(&fault);
            recorder.record(
                Some(&id),
                Kind::Refusal {
                    kind: fault.kind().name().into(),
                },
            );
            let mut response = problem::respond(&fault, &id);
            deliver::set_key(&mut response, key.as_ref());
            response
        }
    };
    response.map(|body| quota::Answer::new(body, exchange))
}

impl Call {
    /// Takes a request through the stages before the routing policy.
    async fn accept(
        context: Context,
        id: SmolStr,
        request: Request<Incoming>,
    ) -> Result<Self, Fault> {
        let document = context
            .follower
            .current()
            .document
            .ok_or(Fault::new(ErrorKind::NotReady).retry_after(NOT_READY_RETRY_AFTER))?;
        let (parts, body) = request.into_parts();
        let team = authenticate(&document, &parts.headers)?;
        let (service, route) = classify(&document, &parts.method, &parts.uri)?;
        let mode = Mode::read(&route, &service, &document, &team, &parts.headers)?;
        let deadline = Instant::now() + document.policy.deadline;
        let lease = context.quota.memory.lease();
        lease.grow(head_bytes(&parts)).await?;
        let prefix = Prefix::read(body, document.policy.body_limit, lease).await?;
        context.recorder.record(
            Some(&id),
            Kind::Request {
                team: team.clone(),
                service: service.clone(),
            },
        );
        Ok(Self {
            prefix_hashes: prefix.hashes(),
            lease: prefix.lease,
            buffered: prefix.bytes,
            fully_buffered: prefix.rest.is_none(),
            unread: prefix.rest,
            path: parts
                .uri
                .path_and_query()
                .map_or_else(|| "/".into(), |p| p.as_str().into()),
            method: parts.method.as_str().into(),
            headers: forwarded_headers(&parts.headers),
            context,
            document,
            request: id,
            team,
            service,
            route,
            run_key: mode.client_key().cloned(),
            mode,
            may_have_run: false,
            owner_error: None,
            deadline,
        })
    }

    /// Makes attempts until one answers or the policy rejects the request.
    async fn run(mut self) -> Result<Response<Body>, Rejection> {
        let mut subscription = self.context.dispatcher.begin(self.descriptor());
        loop {
            let Some(action) = subscription.next().await else {
                return Err(self.rejection(ErrorKind::Internal.into()));
            };
            match action {
                Action::Reject { fault, .. } => return Err(self.rejection(fault)),
                Action::Abandon { .. } => {}
                Action::Offer { .. } if !self.can_attempt() => {
                    return Err(self.rejection(ErrorKind::Interrupted.into()));
                }
                Action::Offer {
                    attempt, endpoint, ..
                } => {
                    let Some(admission) = self.offer(&subscription, attempt, &endpoint).await
                    else {
                        continue;
                    };
                    let answer = tokio::select! {
                        answer = self.start(admission, &endpoint) => answer,
                        () = subscription.abandoned(attempt) => {
                            self.may_have_run = true;
                            continue;
                        }
                    };
                    match answer {
                        Ok(answer) => return Ok(self.deliver(answer, subscription)),
                        Err(fault) => self.interrupt(&subscription, attempt, fault),
                    }
                }
            }
        }
    }

    /// Returns whether a further attempt may be run and can send the complete body.
    fn can_attempt(&self) -> bool {
        let may_run = self.route.repeatable || !self.may_have_run;
        may_run && self.replayable()
    }

    /// Returns whether the entry still holds all the data that another attempt needs.
    fn replayable(&self) -> bool {
        self.fully_buffered || self.unread.is_some()
    }

    fn descriptor(&self) -> Descriptor {
        Descriptor {
            request: self.request.clone(),
            team: self.team.clone(),
            service: self.service.clone(),
            priority: self.route.priority,
            repeatable: self.route.repeatable,
            owner: self.mode.owner().cloned(),
            prefixes: self.prefix_hashes.clone(),
            fingerprint: self.fingerprint(),
            replayable: self.unread.is_none(),
            deadline: self.deadline,
        }
    }

    /// Offers an attempt to an endpoint and reports the result to the policy.
    async fn offer(
        &mut self,
        subscription: &Subscription,
        attempt: Attempt,
        endpoint: &id::Endpoint,
    ) -> Option<Admission> {
        let kind = Kind::Offer {
            endpoint: endpoint.clone(),
            attempt,
        };
        self.context.recorder.record(Some(&self.request), kind);
        let link = offer::agent_address(&self.document, endpoint)
            .and_then(|address| self.context.links.get(address));
        let result = match (link, self.offer_key(endpoint)) {
            (Some(link), Ok(key)) => {
                let queue_time = self.document.policy.queue_time;
                offer::offer(&link, self.offer_message(attempt, key), queue_time).await
            }
            _ => Err(Fault::new(ErrorKind::NoEndpoint).into()),
        };
        let (event, hint, admission) = match result {
            Ok(admission) => {
                let request = self.request.clone();
                (
                    Event::Admitted { request, attempt },
                    Some(admission.hint),
                    Some(admission),
                )
            }
            Err(refusal) => {
                let answered = refusal.hint.is_some();
                self.owner_error = answered.then(|| refusal.fault.kind());
                (
                    self.refusal_event(attempt, refusal.fault),
                    refusal.hint,
                    None,
                )
            }
        };
        if let Some(hint) = hint {
            subscription.notify(Event::Hint {
                endpoint: endpoint.clone(),
                hint,
            });
        }
        subscription.notify(event);
        admission
    }

    /// Returns the event that reports a refused offer to the policy.
    fn refusal_event(&mut self, attempt: Attempt, fault: Fault) -> Event {
        let request = self.request.clone();
        let key_per_offer = matches!(self.mode, Mode::KeyPerOffer);
        if key_per_offer && fault.kind() == ErrorKind::OwnerLost {
            // The key was issued for this offer, so no incarnation of any agent can have run it.
            let fault = Fault::new(ErrorKind::NoEndpoint);
            return Event::Refused {
                request,
                attempt,
                fault,
            };
        }
        if fault.run() == Run::Unknown && self.route.repeatable {
            self.may_have_run = true;
            return Event::Interrupted {
                request,
                attempt,
                fault,
                replayable: self.replayable(),
            };
        }
        Event::Refused {
            request,
            attempt,
            fault,
        }
    }

    /// Returns the key of an offer to an endpoint; `None` if the request is repeatable.
    fn offer_key(&self, endpoint: &id::Endpoint) -> Result<Option<Key>, Fault> {
        match &self.mode {
            Mode::Repeatable => Ok(None),
            Mode::ClientKey { key, .. } => Ok(Some(key.clone())),
            Mode::KeyPerOffer => {
                let known = self.context.endpoints.incarnation(endpoint);
                let incarnation = known.ok_or(ErrorKind::NoEndpoint)?;
                let lifetime = self.document.policy.retry_horizon;
                let key = idempotency::issue(&self.team, endpoint, incarnation, lifetime);
                Ok(Some(key))
            }
        }
    }

    fn offer_message(&self, attempt: Attempt, key: Option<Key>) -> Offer {
        Offer {
            request: self.request.clone(),
            attempt,
            service: self.service.clone(),
            team: self.team.clone(),
            priority: self.route.priority,
            key,
            fingerprint: self.fingerprint(),
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            version: self.context.follower.current().version.number,
            stamp: self.context.recorder.stamp(),
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
        }
    }

    /// Returns the hash of the team, method, path and start of the body.
    fn fingerprint(&self) -> u64 {
        let mut hash = Xxh3::new();
        for part in [
            self.team.as_bytes(),
            self.method.as_bytes(),
            self.path.as_bytes(),
            &self.buffered,
        ] {
            hash.update(part);
            hash.update(&[0]);
        }
        hash.digest()
    }

    /// Starts an admitted attempt and waits for the head of its answer.
    async fn start(
        &mut self,
        admission: Admission,
        endpoint: &id::Endpoint,
    ) -> Result<Answer, Fault> {
        let agent = offer::agent_address(&self.document, endpoint)
            .ok_or(Fault::new(ErrorKind::NoEndpoint))?;
        self.run_key.clone_from(&admission.key);
        let upload = Upload {
            buffered: self.buffered.clone(),
            unread: self.unread.take(),
            limit: self.document.policy.body_limit,
        };
        let links = self.context.links.clone();
        let mut stream = Stream::start(links, agent, admission, upload, self.deadline).await?;
        let head = time::timeout_at(self.deadline, stream.receive_head())
            .await
            .map_err(|_| ErrorKind::DeadlineRunning)??;
        Ok(Answer { head, stream })
    }

    /// Reports to the policy that an admitted attempt failed before its answer began.
    fn interrupt(&mut self, subscription: &Subscription, attempt: Attempt, fault: Fault) {
        self.may_have_run |= fault.run() == Run::Unknown;
        if fault.run() == Run::No {
            // The agent reserved the key for this attempt, so no earlier attempt with it was run.
            self.owner_error = Some(fault.kind());
        }
        let replayable = self.replayable() && fault.run() == Run::Unknown;
        subscription.notify(Event::Interrupted {
            request: self.request.clone(),
            attempt,
            fault,
            replayable,
        });
    }

    /// Returns the rejection of the request; it says `run: no` only if no attempt can have been
    /// run.
    ///
    /// The client may have sent its key before, in a request that was run. Only the agent that owns
    /// the key knows that, so its fault is the only one that can say `run: no`.
    fn rejection(&self, fault: Fault) -> Rejection {
        let has_client_key = matches!(self.mode, Mode::ClientKey { .. });
        let unconfirmed = has_client_key && self.owner_error != Some(fault.kind());
        let fault = if self.may_have_run || unconfirmed {
            fault.run_unknown()
        } else {
            fault
        };
        let key = self.run_key.clone();
        Rejection { fault, key }
    }

    /// Returns the response and spawns a task that relays the rest of its body.
    fn deliver(self, answer: Answer, subscription: Subscription) -> Response<Body> {
        let (mut response, sender) = deliver::respond(&answer.head, &self.request);
        deliver::set_key(&mut response, self.run_key.as_ref());
        let relay = Relay {
            _lease: self.lease,
            arrived: self
                .deadline
                .checked_sub(self.document.policy.deadline)
                .unwrap_or(self.deadline),
            metrics: self.context.metrics,
            recorder: self.context.recorder,
            request: self.request,
            repeatable: self.route.repeatable,
            deadline: self.deadline,
        };
        let tracker = self.context.shutdown.in_flight();
        tracker.spawn(relay.run(answer, subscription, sender));
        response
    }
}

/// How long a client may take to send the rest of a body that is not read, and how large that may be.
const PATIENCE: Patience = Patience {
    time: Duration::from_secs(3),
    bytes: 4 << 20,
};
/// Time after which clients may retry if the entry has no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which clients may retry if no endpoint can be reached.
pub(crate) const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Final error of a request.
struct Rejection {
    fault: Fault,
    /// Idempotency key with which the client may repeat the request.
    key: Option<SmolStr>,
}

impl From<Fault> for Rejection {
    fn from(fault: Fault) -> Self {
        Self { fault, key: None }
    }
}

/// Returns the length of a head without its framing, in bytes.
fn head_bytes(head: &http::request::Parts) -> usize {
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len());
    head.uri.path().len() + headers.sum::<usize>()
}

fn forwarded_headers(map: &http::HeaderMap) -> Vec<Header> {
    let forwarded = map
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()));
    forwarded
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
