use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use conf::{Document, Route, id};
use event::{Kind, Recorder};
use fault::{ErrorKind, Fault, Run};
use http::{Request, Response};
use hyper::body::Incoming;
use node::{Follower, Links, Shutdown};
use route::{Action, Descriptor, Event};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{self, Instant};
use wire::{Attempt, Header, Key, Offer};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    attempt::{Stream, Upload},
    authenticate::authenticate,
    choose::{Choice, Chooser},
    classify::classify,
    deliver::{self, Body},
    fleet::Fleet,
    idempotency::{self, Repeat},
    issue,
    metrics::Metrics,
    offer::{self, Admitted},
    prefix::Prefix,
    pump::{Pump, Started},
    refuse::refuse,
};

/// Headers that concern one connection only and do not pass through.
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

/// What calls share.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) follow: Follower,
    pub(crate) links: Links,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) zone: id::Zone,
    pub(crate) chooser: Chooser,
    pub(crate) recorder: Recorder,
    pub(crate) metrics: Metrics,
    pub(crate) shutdown: Shutdown,
}

/// One request of a caller on its way.
struct Call {
    context: Context,
    document: Arc<Document>,
    request: SmolStr,
    team: id::Team,
    service: id::Service,
    route: Route,
    repeat: Repeat,
    /// Key under which the run may have been started.
    sent: Option<SmolStr>,
    /// Whether an earlier attempt may have been run.
    may_have_run: bool,
    /// What the agent said last that owns the caller's key.
    owner_said: Option<ErrorKind>,
    deadline: Instant,
    method: SmolStr,
    path: SmolStr,
    headers: Vec<Header>,
    first: Bytes,
    rest: Option<Incoming>,
    /// Whether `first` is the whole body, so that another attempt can send it again.
    whole: bool,
    hashes: Vec<u64>,
}

/// Answers a caller's request.
pub(crate) async fn answer(context: Context, request: Request<Incoming>) -> Response<Body> {
    let id = format_smolstr!("{:032x}", rand::random::<u128>());
    let started = Instant::now();
    let metrics = context.metrics.clone();
    let recorder = context.recorder.clone();
    metrics.arrived();
    let result = if issue::asks(&request) {
        issue::issue(&context, request).await.map_err(Refusal::from)
    } else {
        match Call::accept(context, id.clone(), request).await {
            Ok(call) => call.run().await,
            Err(fault) => Err(fault.into()),
        }
    };
    match result {
        Ok(response) => {
            metrics.first_byte.observe(started.elapsed().as_secs_f64());
            response
        }
        Err(Refusal { fault, key }) => {
            metrics.refused(&fault);
            recorder.record(
                Some(&id),
                Kind::Refusal {
                    kind: fault.kind().name().into(),
                },
            );
            let mut response = refuse(&fault, &id);
            deliver::name_key(&mut response, key.as_ref());
            response
        }
    }
}

impl Call {
    /// Takes a request through the stages before the choice of an endpoint.
    async fn accept(
        context: Context,
        id: SmolStr,
        request: Request<Incoming>,
    ) -> Result<Self, Fault> {
        let document = context
            .follow
            .current()
            .document
            .ok_or(Fault::new(ErrorKind::NotReady).retry_after(NOT_READY))?;
        let (parts, body) = request.into_parts();
        let team = authenticate(&document, &parts.headers)?;
        let (service, route) = classify(&document, &parts.method, &parts.uri)?;
        let repeat = Repeat::read(&route, &service, &document, &team, &parts.headers)?;
        let deadline = Instant::now() + document.policy.deadline;
        let prefix = Prefix::read(body, document.policy.body_limit).await?;
        context.recorder.record(
            Some(&id),
            Kind::Request {
                team: team.clone(),
                service: service.clone(),
            },
        );
        Ok(Self {
            hashes: prefix.hashes(),
            first: prefix.bytes,
            whole: prefix.rest.is_none(),
            rest: prefix.rest,
            path: parts
                .uri
                .path_and_query()
                .map_or_else(|| "/".into(), |p| p.as_str().into()),
            method: parts.method.as_str().into(),
            headers: headers(&parts.headers),
            context,
            document,
            request: id,
            team,
            service,
            route,
            sent: repeat.text().cloned(),
            repeat,
            may_have_run: false,
            owner_said: None,
            deadline,
        })
    }

    /// Offers the request until an attempt answers or the policy gives up.
    async fn run(mut self) -> Result<Response<Body>, Refusal> {
        let mut choice = self.context.chooser.begin(self.ask());
        loop {
            let Some(action) = choice.next().await else {
                return Err(self.refusal(ErrorKind::Internal.into()));
            };
            match action {
                Action::Reject { fault, .. } => return Err(self.refusal(fault)),
                Action::Abandon { .. } => {}
                Action::Offer { .. } if !self.may_try() => {
                    return Err(self.refusal(ErrorKind::Interrupted.into()));
                }
                Action::Offer {
                    attempt, endpoint, ..
                } => {
                    let Some(admitted) = self.offer(&choice, attempt, &endpoint).await else {
                        continue;
                    };
                    let started = tokio::select! {
                        started = self.start(admitted, &endpoint) => started,
                        () = choice.abandoned(attempt) => {
                            self.may_have_run = true;
                            continue;
                        }
                    };
                    match started {
                        Ok(started) => return Ok(self.deliver(started, choice)),
                        Err(fault) => self.broken(&choice, attempt, fault),
                    }
                }
            }
        }
    }

    /// Returns whether another attempt can send the whole body and may be run.
    fn may_try(&self) -> bool {
        let repeatable = self.route.repeatable || !self.may_have_run;
        repeatable && self.replayable()
    }

    /// Returns whether no part of the body has been passed on for good.
    fn replayable(&self) -> bool {
        self.whole || self.rest.is_some()
    }

    fn ask(&self) -> Descriptor {
        Descriptor {
            request: self.request.clone(),
            team: self.team.clone(),
            service: self.service.clone(),
            priority: self.route.priority,
            repeatable: self.route.repeatable,
            owner: self.repeat.owner().cloned(),
            prefixes: self.hashes.clone(),
            fingerprint: self.fingerprint(),
            replayable: self.rest.is_none(),
            deadline: self.deadline,
        }
    }

    /// Makes one offer and tells the policy how it went.
    async fn offer(
        &mut self,
        choice: &Choice,
        attempt: Attempt,
        endpoint: &id::Endpoint,
    ) -> Option<Admitted> {
        let kind = Kind::Offer {
            endpoint: endpoint.clone(),
            attempt,
        };
        self.context.recorder.record(Some(&self.request), kind);
        let link = offer::agent(&self.document, endpoint)
            .and_then(|address| self.context.links.get(address));
        let result = match (link, self.key(endpoint)) {
            (Some(link), Ok(key)) => {
                let queue_time = self.document.policy.queue_time;
                offer::offer(&link, self.message(attempt, key), queue_time).await
            }
            _ => Err(Fault::new(ErrorKind::NoEndpoint).into()),
        };
        let (event, hint, admitted) = match result {
            Ok(admitted) => {
                let request = self.request.clone();
                (
                    Event::Admitted { request, attempt },
                    Some(admitted.hint),
                    Some(admitted),
                )
            }
            Err(refused) => {
                let answered = refused.hint.is_some();
                self.owner_said = answered.then(|| refused.fault.kind());
                (self.refused(attempt, refused.fault), refused.hint, None)
            }
        };
        if let Some(hint) = hint {
            choice.tell(Event::Hint {
                endpoint: endpoint.clone(),
                hint,
            });
        }
        choice.tell(event);
        admitted
    }

    /// Says what a refused offer means for the request.
    fn refused(&mut self, attempt: Attempt, fault: Fault) -> Event {
        let request = self.request.clone();
        let fresh = matches!(self.repeat, Repeat::Fresh);
        if fresh && fault.kind() == ErrorKind::OwnerLost {
            // The key was made for this offer, so that no life of any agent can have run it.
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

    /// Returns the key of an offer to an endpoint; `None` if the request may be repeated.
    fn key(&self, endpoint: &id::Endpoint) -> Result<Option<Key>, Fault> {
        match &self.repeat {
            Repeat::Allowed => Ok(None),
            Repeat::Once { key, .. } => Ok(Some(key.clone())),
            Repeat::Fresh => {
                let known = self.context.fleet.incarnation(endpoint);
                let incarnation = known.ok_or(ErrorKind::NoEndpoint)?;
                let horizon = self.document.policy.retry_horizon;
                let key = idempotency::issue(&self.team, endpoint, incarnation, horizon);
                Ok(Some(key))
            }
        }
    }

    fn message(&self, attempt: Attempt, key: Option<Key>) -> Offer {
        Offer {
            request: self.request.clone(),
            attempt,
            service: self.service.clone(),
            team: self.team.clone(),
            priority: self.route.priority,
            key,
            fingerprint: self.fingerprint(),
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            version: self.context.follow.current().version.number,
            stamp: self.context.recorder.stamp(),
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
        }
    }

    fn fingerprint(&self) -> u64 {
        let mut hash = Xxh3::new();
        for part in [
            self.team.as_bytes(),
            self.method.as_bytes(),
            self.path.as_bytes(),
            &self.first,
        ] {
            hash.update(part);
            hash.update(&[0]);
        }
        hash.digest()
    }

    /// Starts an admitted attempt and waits for the head of its answer.
    async fn start(
        &mut self,
        admitted: Admitted,
        endpoint: &id::Endpoint,
    ) -> Result<Started, Fault> {
        let agent =
            offer::agent(&self.document, endpoint).ok_or(Fault::new(ErrorKind::NoEndpoint))?;
        self.sent.clone_from(&admitted.key);
        let upload = Upload {
            first: self.first.clone(),
            rest: self.rest.take(),
            limit: self.document.policy.body_limit,
        };
        let links = self.context.links.clone();
        let mut stream = Stream::start(links, agent, admitted, upload, self.deadline).await?;
        let head = time::timeout_at(self.deadline, stream.head())
            .await
            .map_err(|_| ErrorKind::DeadlineRunning)??;
        Ok(Started { head, stream })
    }

    fn broken(&mut self, choice: &Choice, attempt: Attempt, fault: Fault) {
        self.may_have_run |= fault.run() == Run::Unknown;
        if fault.run() == Run::No {
            // A reservation was made, so that no earlier send of the key can have been run either.
            self.owner_said = Some(fault.kind());
        }
        let replayable = self.replayable() && fault.run() == Run::Unknown;
        choice.tell(Event::Interrupted {
            request: self.request.clone(),
            attempt,
            fault,
            replayable,
        });
    }

    /// Makes the final refusal; it says `run: no` only if no attempt can have been run.
    ///
    /// An earlier send of the caller's key may have been run, which only the key's owner can know.
    fn refusal(&self, fault: Fault) -> Refusal {
        let own_key = matches!(self.repeat, Repeat::Once { .. });
        let unsure = own_key && self.owner_said != Some(fault.kind());
        let fault = if self.may_have_run || unsure {
            fault.run_unknown()
        } else {
            fault
        };
        let key = self.sent.clone();
        Refusal { fault, key }
    }

    /// Answers the caller and passes the rest of the body on in a task of its own.
    fn deliver(self, started: Started, choice: Choice) -> Response<Body> {
        let (mut response, sender) = deliver::respond(&started.head, &self.request);
        deliver::name_key(&mut response, self.sent.as_ref());
        let pump = Pump {
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
        tracker.spawn(pump.run(started, choice, sender));
        response
    }
}

/// Time after which callers come back to an entry without a configuration.
const NOT_READY: Duration = Duration::from_secs(1);
/// Time after which callers come back if no endpoint can be reached.
pub(crate) const COME_BACK: Duration = Duration::from_secs(1);

/// Final refusal of a request.
struct Refusal {
    fault: Fault,
    /// Key under which the caller may ask again.
    key: Option<SmolStr>,
}

impl From<Fault> for Refusal {
    fn from(fault: Fault) -> Self {
        Self { fault, key: None }
    }
}

fn headers(map: &http::HeaderMap) -> Vec<Header> {
    let passing = map
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()));
    passing
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
