use std::{sync::Arc, time::Duration};

use conf::{Document, Priority};
use fault::{ErrorKind, Fault};
use route::{Action, Ask, Event, Policy as _, Router};
use tokio::time::{self, Instant};
use wire::Hint;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);

/// Router of an entry in zone `a`, driven under paused time.
pub(crate) struct Bench {
    pub(crate) router: Router,
    next: u32,
}

/// Three zones with two endpoints each: `a0`, `a1`, `b0` and so on; `a0` and `a1` are a group.
pub(crate) fn document() -> Document {
    let mut text = serde_json::json!({
        "schema": 1,
        "zones": { "a": { "region": "r" }, "b": { "region": "r" }, "c": { "region": "r" } },
        "services": { "s": { "kind": "group", "routes": [] } },
        "endpoints": {},
        "teams": { "t": { "keys": [] }, "bound": { "keys": [], "rate": 10 } },
    });
    for zone in ["a", "b", "c"] {
        for i in 0..2 {
            let group = if zone == "a" {
                "ga".into()
            } else {
                format!("g{zone}{i}")
            };
            text["endpoints"][format!("{zone}{i}")] = serde_json::json!({
                "zone": zone, "service": "s", "agent": "127.0.0.1:1", "group": group,
                "limit": { "cold": 8, "full": 8 },
            });
        }
    }
    serde_json::from_value(text).unwrap()
}

impl Bench {
    pub(crate) fn new() -> Self {
        let router = Router::new("a".into(), 1, Instant::now());
        let mut bench = Self { router, next: 0 };
        let document = document();
        let names: Vec<_> = document.endpoints.keys().cloned().collect();
        bench.tell(Event::Document(Arc::new(document)));
        for name in names {
            bench.tell(Event::Up {
                endpoint: name.clone(),
            });
            bench.hint(&name, 0);
        }
        bench
    }

    pub(crate) fn hint(&mut self, endpoint: &str, running: u32) {
        let hint = Hint {
            running,
            limit: 8,
            open: true,
            ..Hint::default()
        };
        self.tell(Event::Hint {
            endpoint: endpoint.into(),
            hint,
        });
    }

    pub(crate) fn tell(&mut self, event: Event) -> Vec<Action> {
        self.router.handle(event, Instant::now())
    }

    /// Begins a request, as `change` makes it.
    pub(crate) fn begin(&mut self, change: impl FnOnce(&mut Ask)) -> Vec<Action> {
        self.next += 1;
        let mut ask = Ask {
            request: self.next.to_string().into(),
            team: "t".into(),
            service: "s".into(),
            priority: Priority::Normal,
            repeatable: true,
            owner: None,
            prefix: vec![u64::from(self.next)],
            fingerprint: u64::from(self.next),
            replayable: true,
            deadline: Instant::now() + Duration::from_secs(60),
        };
        change(&mut ask);
        self.tell(Event::Begin(ask))
    }

    pub(crate) fn refuse(&mut self, offer: &Offer, kind: ErrorKind) -> Vec<Action> {
        let fault = Fault::new(kind).retry_after(Duration::from_secs(3));
        let (request, attempt) = offer.target();
        self.tell(Event::Refused {
            request,
            attempt,
            fault,
        })
    }

    pub(crate) fn break_off(&mut self, offer: &Offer, replayable: bool) -> Vec<Action> {
        let fault = ErrorKind::Interrupted.into();
        let (request, attempt) = offer.target();
        self.tell(Event::Broken {
            request,
            attempt,
            fault,
            replayable,
        })
    }

    pub(crate) fn admit(&mut self, offer: &Offer) {
        let (request, attempt) = offer.target();
        self.tell(Event::Admitted { request, attempt });
    }

    pub(crate) fn progress(&mut self, offer: &Offer) {
        let (request, attempt) = offer.target();
        self.tell(Event::Progress { request, attempt });
    }

    /// Lets time pass, with ticks, and returns what the router did.
    pub(crate) async fn pass(&mut self, time: Duration) -> Vec<Action> {
        let end = Instant::now() + time;
        let mut actions = Vec::new();
        while Instant::now() < end {
            time::advance(TICK).await;
            actions.extend(self.tell(Event::Tick));
        }
        actions
    }
}

/// Offer that the router made.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    pub(crate) request: wire::Request,
    pub(crate) attempt: u32,
    pub(crate) endpoint: String,
}

impl Offer {
    fn target(&self) -> (wire::Request, u32) {
        (self.request.clone(), self.attempt)
    }
}

/// Returns the offer that is the last of the actions.
pub(crate) fn offer(actions: &[Action]) -> Offer {
    match actions.last() {
        Some(Action::Offer {
            request,
            attempt,
            endpoint,
        }) => Offer {
            request: request.clone(),
            attempt: *attempt,
            endpoint: endpoint.to_string(),
        },
        other => panic!("no offer: {other:?}"),
    }
}

/// Returns the kind of the refusal that is the only action.
pub(crate) fn given_up(actions: &[Action]) -> ErrorKind {
    match actions {
        [Action::GiveUp { fault, .. }] => {
            assert!(
                fault.retry_delay().is_some()
                    || fault.kind().response().retry == fault::Retry::Never
            );
            fault.kind()
        }
        other => panic!("no refusal: {other:?}"),
    }
}
