use std::time::Duration;

use conf::id;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use sched::{Admission, Demand, Request, Shares};
use tokio::time::Instant;

use crate::support::{demand, request};

/// Load pattern: one team sends ten times the requests of each of eight others while there is room for
/// less than two thirds. Without shares, all teams lose the same part of their requests.
#[test]
fn small_teams_keep_theirs() {
    let (mut admission, mut random) = (Admission::default(), SmallRng::seed_from_u64(3));
    let (service, start) = ("drafts".into(), Instant::now());
    let teams: Vec<id::Team> = (0..9).map(|team| format!("team-{team}").into()).collect();
    let (mut asked, mut admitted, mut own) = ([0.0; 9], [0.0; 9], Vec::new());
    for step in 0..3000_u32 {
        let now = start + Duration::from_millis(10) * step;
        own.retain(|end| *end > now);
        // 90 requests a second, in flight for 2 s each, are 180; 110 are comfortable.
        let team = random.random_range(0..20_usize);
        if team < 18 {
            let team = if team < 10 { 0 } else { team - 9 };
            let request = Request {
                team: Some(&teams[team]),
                ..request(&service, 1)
            };
            let demand = Demand {
                comfortable_load: 110.0,
                own_requests: u32::try_from(own.len()).unwrap(),
                ..demand(0)
            };
            let is_admitted = admission
                .admit(&request, &demand, 1, random.random(), now)
                .is_ok();
            if is_admitted {
                own.push(now + Duration::from_secs(2));
            }
            if step >= 500 {
                asked[team] += 1.0;
                admitted[team] += f64::from(u8::from(is_admitted));
            }
        }
    }
    let parts: Vec<f64> = asked
        .iter()
        .zip(admitted)
        .map(|(asked, got)| got / asked)
        .collect();
    assert!(parts[0] < 0.5, "{parts:?}");
    assert!(parts[1..].iter().all(|part| *part > 0.8), "{parts:?}");
    let load = own.len() as f64;
    assert!((load / 110.0 - 1.0).abs() < 0.15, "{load} of 110");
}

/// What a large team leaves is divided; small teams get what they ask for, and what they don't use goes
/// to others. Equal division of the whole would waste it.
#[test]
fn shares_max_min() {
    let (mut shares, now) = (Shares::default(), Instant::now());
    let teams = [("large", 60), ("middle", 25), ("small", 5)];
    for (name, requests) in teams {
        for _ in 0..requests {
            shares.record_request(&name.into(), now);
        }
    }
    assert!(shares.is_within(&"large".into(), now), "not yet computed");
    for _ in 0..60 {
        shares.record_admitted(now);
    }
    let now = now + Duration::from_millis(101);
    shares.record_request(&"other".into(), now);
    // 60 admitted: 5 for the small team, 27.5 each for the others.
    let within =
        ["large", "middle", "small", "unknown"].map(|team| shares.is_within(&team.into(), now));
    assert_eq!(within, [false, true, true, true]);
    // A team that has stopped is no longer over its share.
    let now = now + Duration::from_secs(3);
    assert!(shares.is_within(&"large".into(), now));
}

/// The memory for teams is bounded, also if each request has another one, and old ones make room.
#[test]
fn many_teams() {
    let (mut shares, start) = (Shares::default(), Instant::now());
    for team in 0..5000 {
        shares.record_request(&format!("team-{team}").into(), start);
    }
    let late: id::Team = "late".into();
    for _ in 0..5 {
        shares.record_request(&late, start);
    }
    shares.record_admitted(start);
    let now = start + Duration::from_millis(200);
    shares.record_request(&"team-0".into(), now);
    assert!(shares.is_within(&late, now), "not counted");
    assert!(!shares.is_within(&"team-0".into(), now));
    let now = start + Duration::from_secs(10);
    for _ in 0..5 {
        shares.record_request(&late, now);
    }
    shares.record_request(&late, now + Duration::from_millis(200));
    assert!(
        !shares.is_within(&late, now + Duration::from_millis(200)),
        "room was made"
    );
}
