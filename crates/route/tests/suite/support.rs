use std::{sync::Arc, time::Duration};

use conf::{Document, Priority};
use fault::{ErrorKind, Fault};
use route::{Action, Descriptor, Event, Policy as _, Router};
use tokio::time::{self, Instant};
use wire::Hint;

/// Time between two tick events.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Drives the router of an entry in zone `a` in paused time.
pub(crate) struct Harness {
    pub(crate) router: Router,
    /// Number of the last request.
    last: u32,
}

/// Returns a configuration with three zones of two endpoints each, `a0`, `a1`, `b0` and so on.
///
/// `a0` and `a1` form one group; each other endpoint is a group of its own.
pub(crate) fn document() -> Document {
    let mut json = serde_json::json!({
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
            json["endpoints"][format!("{zone}{i}")] = serde_json::json!({
                "zone": zone, "service": "s", "agent": "127.0.0.1:1", "group": group,
                "limit": { "cold": 8, "full": 8 },
            });
        }
    }
    serde_json::from_value(json).unwrap()
}

impl Harness {
    pub(crate) fn new() -> Self {
        let router = Router::new("a".into(), 1, Instant::now());
        let mut harness = Self { router, last: 0 };
        let document = document();
        let names: Vec<_> = document.endpoints.keys().cloned().collect();
        harness.handle(Event::Document(Arc::new(document)));
        for name in names {
            harness.handle(Event::Connected {
                endpoint: name.clone(),
            });
            harness.report_load(&name, 0);
        }
        harness
    }

    pub(crate) fn report_load(&mut self, endpoint: &str, running: u32) {
        let hint = Hint {
            running,
            limit: 8,
            open: true,
            ..Hint::default()
        };
        self.handle(Event::Hint {
            endpoint: endpoint.into(),
            hint,
        });
    }

    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        self.router.handle(event, Instant::now())
    }

    /// Begins a request that `change` may modify.
    pub(crate) fn begin(&mut self, change: impl FnOnce(&mut Descriptor)) -> Vec<Action> {
        self.last += 1;
        let mut descriptor = Descriptor {
            request: self.last.to_string().into(),
            team: "t".into(),
            service: "s".into(),
            priority: Priority::Normal,
            repeatable: true,
            owner: None,
            prefixes: vec![u64::from(self.last)],
            fingerprint: u64::from(self.last),
            replayable: true,
            deadline: Instant::now() + Duration::from_secs(60),
        };
        change(&mut descriptor);
        self.handle(Event::Begin(descriptor))
    }

    pub(crate) fn refuse(&mut self, offer: &Offer, kind: ErrorKind) -> Vec<Action> {
        let fault = Fault::new(kind).retry_after(Duration::from_secs(3));
        let (request, attempt) = offer.target();
        self.handle(Event::Refused {
            request,
            attempt,
            fault,
        })
    }

    pub(crate) fn interrupt(&mut self, offer: &Offer, replayable: bool) -> Vec<Action> {
        let fault = ErrorKind::Interrupted.into();
        let (request, attempt) = offer.target();
        self.handle(Event::Interrupted {
            request,
            attempt,
            fault,
            replayable,
        })
    }

    pub(crate) fn admit(&mut self, offer: &Offer) {
        let (request, attempt) = offer.target();
        self.handle(Event::Admitted { request, attempt });
    }

    pub(crate) fn progress(&mut self, offer: &Offer) {
        let (request, attempt) = offer.target();
        self.handle(Event::Progress { request, attempt });
    }

    /// Advances the time, with tick events, and returns the router's actions.
    pub(crate) async fn advance(&mut self, time: Duration) -> Vec<Action> {
        let end = Instant::now() + time;
        let mut actions = Vec::new();
        while Instant::now() < end {
            time::advance(TICK_INTERVAL).await;
            actions.extend(self.handle(Event::Tick));
        }
        actions
    }
}

/// Fields of an [`Action::Offer`].
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

/// Returns the last of the actions, which must be an offer.
pub(crate) fn last_offer(actions: &[Action]) -> Offer {
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
        other => panic!("expected an offer last, not {other:?}"),
    }
}

/// Returns the kind of the fault with which a request was rejected, which must be the only action.
pub(crate) fn rejection_kind(actions: &[Action]) -> ErrorKind {
    match actions {
        [Action::Reject { fault, .. }] => {
            assert!(
                fault.retry_delay().is_some()
                    || fault.kind().response().retry == fault::Retry::Never
            );
            fault.kind()
        }
        other => panic!("expected only a rejection, not {other:?}"),
    }
}
