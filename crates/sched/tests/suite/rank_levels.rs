use std::{sync::Arc, time::Duration};

use fleet::{Configuration, Limits, Repeat, Route, Split, Team};
use sched::Ranks;

/// Builds a route to services with their weights.
fn route(priority: u8, public: bool, split: &[(&str, u32)]) -> Arc<Route> {
    let split = split.iter().map(|(service, weight)| Split {
        service: (*service).into(),
        weight: *weight,
    });
    Arc::new(Route {
        name: "route".into(),
        host: "host.example".into(),
        prefix: "/".into(),
        split: split.collect(),
        repeat: Repeat::Allowed,
        stream: false,
        timeout: Duration::from_secs(3),
        latency_target: Duration::from_millis(400),
        event_timeout: None,
        gap_target: None,
        max_attempts: 2,
        priority,
        public,
    })
}

fn ranks(routes: Vec<Arc<Route>>, teams: &[Option<u8>]) -> Ranks {
    let teams = teams.iter().enumerate().map(|(index, priority)| {
        let name = format!("team-{index}").into();
        let team = Team {
            name,
            priority: *priority,
        };
        (format!("key-{index}").into(), team)
    });
    Ranks::new(&Configuration {
        version: 1,
        routes,
        services: [].into(),
        teams: teams.collect(),
        keys_required: true,
        limits: Limits {
            max_header_bytes: 8192,
            max_body_bytes: 4096,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(5),
        },
    })
}

/// Failure: all teams have priority 1, so that urgent routes were not told from others.
#[test]
fn routes_within_team() {
    let routes = [0, 2, 5].map(|priority| route(priority, false, &[("drafts", 1)]));
    let ranks = ranks(routes.to_vec(), &[Some(1); 1700]);
    let levels = [0, 2, 5].map(|priority| ranks.level("drafts", Some(1), priority));
    assert_eq!((levels, ranks.levels("drafts")), ([0, 1, 2], 3));
}

/// Failure: a team of lower priority passes another one by an urgent route.
#[test]
fn team_before_route() {
    let routes = [0, 3].map(|priority| route(priority, false, &[("drafts", 1)]));
    let ranks = ranks(routes.to_vec(), &[Some(1), Some(2), None]);
    let level = |team, route| ranks.level("drafts", team, route);
    // In order: (0, 0) and (3, 3) are those of the team without a priority.
    let expected = [(None, 0), (Some(1), 0), (Some(1), 3), (Some(2), 0)];
    let expected = expected.into_iter().chain([(Some(2), 3), (None, 3)]);
    for (index, (team, route)) in expected.enumerate() {
        assert_eq!(usize::from(level(team, route)), index, "{team:?} {route}");
    }
    assert_eq!(ranks.levels("drafts"), 6);
}

/// Failure: ranks that no request of the service has take up levels.
#[test]
fn absent_ranks_skipped() {
    let routes = vec![
        route(7, false, &[("drafts", 1), ("orders", 0)]),
        route(4, true, &[("orders", 1)]),
        route(9, false, &[("last", 0)]),
    ];
    let ranks = ranks(routes, &[Some(1), Some(3)]);
    assert_eq!(ranks.levels("orders"), 1, "one public route");
    assert_eq!(ranks.level("orders", None, 4), 0);
    assert_eq!(ranks.levels("drafts"), 2);
    assert_eq!(ranks.level("drafts", Some(3), 7), 1);
    assert_eq!(
        ranks.levels("last"),
        2,
        "the only service gets all requests"
    );
    let unknown = (ranks.level("nowhere", Some(5), 5), ranks.levels("nowhere"));
    assert_eq!(unknown, (0, 1));
    assert_eq!(ranks.level("drafts", Some(9), 9), 1, "not above the last");
}
