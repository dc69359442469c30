use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use conf::{Document, Route, id};
use event::{Kind, Recorder};
use fault::{ErrorKind, Fault, Run};
use http::{Request, Response};
use hyper::body::Incoming;
use node::{Follow, Links, Shutdown};
use once::{Delivery, Piece};
use route::{Action, Ask, Event};
use smol_str::{SmolStr, format_smolstr};
use tokio::{
    sync::mpsc::Sender,
    time::{self, Instant},
};
use wire::{Attempt, Frame, Header, Key, Offer};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    authenticate::authenticate,
    choose::{Choice, Chooser},
    classify::classify,
    deliver::{self, Body},
    idempotency,
    metrics::Metrics,
    offer::{self, Admitted},
    prefix::Prefix,
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
    pub(crate) follow: Follow,
    pub(crate) links: Links,
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
    key: Option<Key>,
    deadline: Instant,
    method: SmolStr,
    path: SmolStr,
    headers: Vec<Header>,
    first: Bytes,
    rest: Option<Incoming>,
    hashes: Vec<u64>,
}

/// Answers a caller's request.
pub(crate) async fn answer(context: Context, request: Request<Incoming>) -> Response<Body> {
    let id = format_smolstr!("{:032x}", rand::random::<u128>());
    let started = Instant::now();
    let metrics = context.metrics.clone();
    let recorder = context.recorder.clone();
    metrics.arrived();
    let result = match Call::accept(context, id.clone(), request).await {
        Ok(call) => call.run().await,
        Err(fault) => Err(fault),
    };
    match result {
        Ok(response) => {
            metrics.first_byte.observe(started.elapsed().as_secs_f64());
            response
        }
        Err(fault) => {
            metrics.refused(&fault);
            recorder.record(
                Some(&id),
                Kind::Refusal {
                    kind: fault.kind().name().into(),
                },
            );
            refuse(&fault, &id)
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
        let key = idempotency::key(&route, &team, &parts.headers)?;
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
            key,
            deadline,
        })
    }

    /// Offers the request until an attempt answers or the policy gives up.
    async fn run(mut self) -> Result<Response<Body>, Fault> {
        let mut choice = self.context.chooser.begin(self.ask());
        loop {
            let action = choice.next().await.ok_or(Fault::new(ErrorKind::Internal))?;
            match action {
                Action::GiveUp { fault, .. } => return Err(fault),
                Action::Abandon { .. } => {}
                Action::Offer {
                    attempt, endpoint, ..
                } => {
                    let Some(admitted) = self.offer(&choice, attempt, &endpoint).await else {
                        continue;
                    };
                    let started = tokio::select! {
                        started = self.start(admitted, attempt) => started,
                        () = choice.abandoned(attempt) => continue,
                    };
                    match started {
                        Ok(started) => return self.deliver(started, choice),
                        Err(fault) => self.broken(&choice, attempt, fault),
                    }
                }
            }
        }
    }

    fn ask(&self) -> Ask {
        Ask {
            request: self.request.clone(),
            team: self.team.clone(),
            service: self.service.clone(),
            priority: self.route.priority,
            repeatable: self.route.repeatable,
            owner: None,
            prefix: self.hashes.clone(),
            fingerprint: self.fingerprint(),
            replayable: self.rest.is_none(),
            deadline: self.deadline,
        }
    }

    /// Makes one offer and tells the policy how it went.
    async fn offer(
        &self,
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
        let result = match link {
            Some(link) => {
                offer::offer(
                    &link,
                    self.message(attempt),
                    self.document.policy.queue_time,
                )
                .await
            }
            None => Err(Fault::new(ErrorKind::NoEndpoint).into()),
        };
        let request = self.request.clone();
        let (event, hint, admitted) = match result {
            Ok(admitted) => (
                Event::Admitted { request, attempt },
                Some(admitted.hint),
                Some(admitted),
            ),
            Err(refused) => (
                Event::Refused {
                    request,
                    attempt,
                    fault: refused.fault,
                },
                refused.hint,
                None,
            ),
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

    fn message(&self, attempt: Attempt) -> Offer {
        Offer {
            request: self.request.clone(),
            attempt,
            service: self.service.clone(),
            team: self.team.clone(),
            priority: self.route.priority,
            key: self.key.clone(),
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
    async fn start(&mut self, admitted: Admitted, attempt: Attempt) -> Result<Started, Fault> {
        let Admitted {
            mut sender,
            mut receiver,
            token,
            ..
        } = admitted;
        if let Some(token) = token {
            sender
                .send(&Frame::Go { token })
                .await
                .map_err(|_| ErrorKind::Interrupted)?;
        }
        let limit = self.document.policy.body_limit;
        let mut delivery = Delivery::new(self.request.clone(), attempt);
        let (first, rest) = (self.first.clone(), self.rest.take());
        let upload = tokio::spawn(async move {
            let sent = offer::send_body(&mut sender, first, rest, limit).await;
            if sent.is_err() {
                sender.reset();
            }
            sender
        });
        let read = deliver::head(&mut receiver, &mut delivery);
        let head = time::timeout_at(self.deadline, read)
            .await
            .map_err(|_| ErrorKind::DeadlineRunning)??;
        Ok(Started {
            head,
            upload,
            receiver,
            delivery,
            attempt,
        })
    }

    fn broken(&self, choice: &Choice, attempt: Attempt, fault: Fault) {
        let replayable = self.rest.is_none() && fault.run() == Run::Unknown;
        choice.tell(Event::Broken {
            request: self.request.clone(),
            attempt,
            fault,
            replayable,
        });
    }

    /// Answers the caller and passes the rest of the body on in a task of its own.
    fn deliver(self, started: Started, choice: Choice) -> Result<Response<Body>, Fault> {
        let (response, sender) = deliver::respond(&started.head, &self.request);
        let tracker = self.context.shutdown.in_flight().clone();
        tracker.spawn(self.pump(started, choice, sender));
        Ok(response)
    }

    async fn pump(self, mut started: Started, choice: Choice, sender: Sender<io::Result<Bytes>>) {
        self.context.metrics.in_flight.inc();
        let end = self.pump_pieces(&mut started, &choice, &sender).await;
        match end {
            End::Whole => {
                let kind = Kind::Answer {
                    status: started.head.status,
                    length: started.delivery.length(),
                };
                self.context.recorder.record(Some(&self.request), kind);
            }
            End::Cut(fault) => {
                self.context.metrics.refused(&fault);
                self.context.recorder.record(
                    Some(&self.request),
                    Kind::Refusal {
                        kind: fault.kind().name().into(),
                    },
                );
                let _ = sender.send(Err(io::Error::other(fault))).await;
            }
            End::CallerGone => self.cancel(started.upload).await,
        }
        self.context
            .metrics
            .strays
            .inc_by(started.delivery.strays());
        self.context.metrics.in_flight.dec();
    }

    async fn pump_pieces(
        &self,
        started: &mut Started,
        choice: &Choice,
        sender: &Sender<io::Result<Bytes>>,
    ) -> End {
        loop {
            let read = deliver::next(&mut started.receiver, &mut started.delivery);
            let piece = tokio::select! {
                piece = time::timeout_at(self.deadline, read) => piece,
                () = sender.closed() => return End::CallerGone,
            };
            match piece {
                Ok(Ok(Piece::Data(data))) => {
                    choice.tell(Event::Progress {
                        request: self.request.clone(),
                        attempt: started.attempt,
                    });
                    if sender.capacity() == 0 {
                        let request = self.request.clone();
                        choice.tell(Event::Waiting { request });
                    }
                    if sender.send(Ok(data)).await.is_err() {
                        return End::CallerGone;
                    }
                }
                Ok(Ok(Piece::End)) => return End::Whole,
                Ok(Ok(Piece::Head(_) | Piece::Nothing)) => {}
                Ok(Err(fault)) => return End::Cut(fault),
                Err(_) => return End::Cut(ErrorKind::DeadlineRunning.into()),
            }
        }
    }

    /// Frees the slot at the engine, unless the run may not be repeated: that one goes on, so that
    /// its answer is there when the caller asks again.
    async fn cancel(&self, upload: tokio::task::JoinHandle<wire::Sender<Frame>>) {
        if self.route.repeatable
            && let Ok(mut sender) = upload.await
        {
            let _ = sender.send(&Frame::Cancel).await;
        }
    }
}

/// Time after which callers come back to an entry without a configuration.
const NOT_READY: Duration = Duration::from_secs(1);

/// Attempt whose answer has begun.
struct Started {
    head: wire::Head,
    upload: tokio::task::JoinHandle<wire::Sender<Frame>>,
    receiver: wire::Receiver<wire::Reply>,
    delivery: Delivery,
    attempt: Attempt,
}

/// How the body of an answer ended.
enum End {
    Whole,
    Cut(Fault),
    CallerGone,
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
