use std::{
    collections::HashSet,
    sync::{Arc, OnceLock},
    time::Duration,
};

use direct::{Attempt, Balancer, Bounds};
use fleet::{
    Configuration, Endpoint, Engine, Limits, Registration, Repeat, Route, Service, Split, Stage,
    Team, View,
};
use tokio::time::Instant;

/// Slots of each endpoint.
pub(crate) const SLOTS: u32 = 4;

static NO_CONNECTIONS: OnceLock<HashSet<conf::id::Endpoint>> = OnceLock::new();

pub(crate) fn bounds() -> Bounds {
    Bounds {
        entries: 4,
        retry_ratio: 0.2,
        retry_extra: 640.0,
        retry_window: Duration::from_secs(10),
        cold_overshoot: 1.5,
        cold_slack: 5.0,
        change: Duration::from_secs(2),
        grace: Duration::from_secs(8),
    }
}

pub(crate) fn balancer() -> Balancer {
    Balancer::new("a".into(), bounds(), 7, Instant::now()).first_start()
}

pub(crate) fn route(kind: Repeat, stream: bool, prefix: &str, service: &str) -> Arc<Route> {
    Arc::new(Route {
        name: prefix.trim_matches('/').into(),
        host: "host.example".into(),
        prefix: prefix.into(),
        split: vec![Split {
            service: service.into(),
            weight: 1,
        }],
        repeat: kind,
        stream,
        timeout: Duration::from_secs(3),
        event_timeout: stream.then_some(Duration::from_secs(1)),
        latency_target: Duration::from_millis(400),
        gap_target: stream.then_some(Duration::from_millis(120)),
        max_attempts: 2,
        priority: 1,
        public: false,
    })
}

fn service(engine: bool) -> Service {
    Service {
        max_connections: 100,
        cold_time: Duration::from_secs(3),
        cold_rate: if engine { 10.0 } else { 0.0 },
        engine: engine.then_some(Engine {
            step_time: Duration::from_millis(6),
            step_time_per_request: Duration::from_micros(300),
            steps_per_pass: 5,
            prompt_rate: 60_000.0,
            expert_slots: 6,
            max_new_experts: 2,
            copy_time: Duration::from_millis(100),
            form_time: Duration::from_millis(600),
            zone_delays: Vec::new(),
        }),
    }
}

pub(crate) fn configuration(version: u64) -> Configuration {
    let team = Team {
        name: "team".into(),
        priority: None,
    };
    Configuration {
        version,
        routes: vec![
            route(Repeat::Resumable, true, "/draft/", "drafts"),
            route(Repeat::Forbidden, false, "/order/", "orders"),
            route(Repeat::Allowed, false, "/look/", "orders"),
            route(Repeat::Allowed, false, "/look/far/", "nowhere"),
        ],
        services: [
            ("drafts".into(), service(true)),
            ("orders".into(), service(false)),
        ]
        .into(),
        teams: [("key".into(), team)].into(),
        keys_required: true,
        limits: Limits {
            max_header_bytes: 8192,
            max_body_bytes: 4096,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(5),
        },
    }
}

pub(crate) fn endpoint(service: &str, zone: &str, address: std::net::SocketAddr) -> Endpoint {
    Endpoint {
        service: service.into(),
        address,
        zone: zone.into(),
        slots: SLOTS,
        stage: Stage::Ready,
        cold_time: Duration::ZERO,
        started_ms: 1,
    }
}

/// Builds a view with `engines` engine endpoints of the service `drafts`, named `e0`, `e1` and so on,
/// alternately in the zones `a` and `b`.
pub(crate) fn view(engines: usize) -> View {
    let now = Instant::now();
    let mut view = View {
        configuration: Some(Arc::new(configuration(1))),
        ..View::default()
    };
    for index in 0..engines {
        let zone = if index % 2 == 0 { "a" } else { "b" };
        let known = Registration {
            endpoint: Arc::new(endpoint(
                "drafts",
                zone,
                ([127, 0, 0, 1], 1000 + index as u16).into(),
            )),
            cold_until: now,
            expires_at: None,
            revision: 1.into(),
        };
        view.endpoints.insert(format!("e{index}").into(), known);
    }
    view
}

pub(crate) fn attempt(service: &conf::id::Service) -> Attempt<'_> {
    Attempt {
        service,
        prompt_tokens: 100,
        shared_parts: &[],
        fingerprint: 1,
        excluded: &[],
        connected: NO_CONNECTIONS.get_or_init(HashSet::new),
        is_retry: false,
        time_left: Duration::from_secs(8),
        level: 0,
        levels: 1,
        team: None,
        returning: false,
    }
}
