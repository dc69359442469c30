//! Tests of what entries do about requests that crash endpoints while earlier crashes may be unknown.

use std::{sync::Arc, time::Duration};

use direct::{Balancer, Blame, Caution, Fingerprint};
use fleet::View;
use group::Memory;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::{self, Instant};

use crate::support::{attempt, bounds, view};

/// Time at which the tests take place, since the Unix epoch.
const UNIX_TIME: Duration = Duration::from_secs(1_800_000_000);
const REQUEST: Fingerprint = 7;

fn is_refused(blame: &Blame<Fingerprint>) -> bool {
    blame.find_refused(&[REQUEST], Instant::now()).is_some()
}

/// Lets endpoint `number` crash under the request.
fn crash(blame: &mut Blame<Fingerprint>, number: u64, is_repeat: bool) {
    let endpoint = format!("e{number}").into();
    blame.record_break(&endpoint, number, &[REQUEST], is_repeat, Instant::now());
}

fn merge(to: &mut Blame<Fingerprint>, from: &Blame<Fingerprint>) {
    to.merge(&from.news(Instant::now()), Instant::now());
}

/// Builds a view of six endpoints of one service that started this long ago.
fn started_ago(ages: [Duration; 6]) -> View {
    let mut view = view(ages.len());
    for (registration, age) in view.endpoints.values_mut().zip(ages) {
        let endpoint = Arc::make_mut(&mut registration.endpoint);
        endpoint.started_ms = (UNIX_TIME - age).as_millis() as u64;
    }
    view
}

/// Builds a view in which one of six endpoints started some seconds ago.
fn restarted_view() -> View {
    let mut ages = [Duration::from_secs(3600); 6];
    ages[2] = Duration::from_secs(3);
    started_ago(ages)
}

fn observed(view: &View) -> Caution {
    let mut caution = Caution::new(Instant::now());
    caution.observe(view, UNIX_TIME, Instant::now());
    caution
}

#[tokio::test(start_paused = true)]
async fn second_crash_lasts() {
    let mut blame = Blame::default();
    crash(&mut blame, 1, false);
    blame.refuse_early(&[REQUEST], Instant::now());
    time::advance(Duration::from_secs(59)).await;
    assert!(is_refused(&blame));
    time::advance(Duration::from_secs(2)).await;
    blame.expire(Instant::now());
    assert!(!is_refused(&blame), "it is tried again");
    time::advance(Duration::from_secs(60)).await;
    crash(&mut blame, 2, false);
    time::advance(Duration::from_secs(599)).await;
    blame.expire(Instant::now());
    assert!(is_refused(&blame), "both crashes count");
}

#[tokio::test(start_paused = true)]
async fn answer_prevents() {
    let mut blame = Blame::default();
    crash(&mut blame, 1, false);
    blame.refuse_early(&[REQUEST], Instant::now());
    time::advance(Duration::from_secs(1)).await;
    blame.record_sound(&[REQUEST], Instant::now());
    assert!(!is_refused(&blame));
    crash(&mut blame, 2, false);
    blame.refuse_early(&[REQUEST], Instant::now());
    assert!(!is_refused(&blame), "it was answered lately");
}

#[tokio::test(start_paused = true)]
async fn refusal_told() {
    let (mut one, mut other, mut sound) = (Blame::default(), Blame::default(), Blame::default());
    sound.record_sound(&[REQUEST], Instant::now());
    time::advance(Duration::from_secs(1)).await;
    crash(&mut one, 1, false);
    one.refuse_early(&[REQUEST], Instant::now());
    merge(&mut other, &one);
    merge(&mut sound, &one);
    assert!(is_refused(&other) && !is_refused(&sound));
    time::advance(Duration::from_secs(61)).await;
    let mut late = Blame::default();
    merge(&mut late, &one);
    assert!(!is_refused(&late) && !is_refused(&other));
    crash(&mut one, 2, false);
    for blame in [&mut other, &mut late] {
        merge(blame, &one);
        assert!(is_refused(blame), "the second crash was told");
    }
    time::advance(Duration::from_secs(61)).await;
    assert!(is_refused(&late), "for as long as after two crashes");
}

#[tokio::test(start_paused = true)]
async fn survivor_suffices() {
    let view = restarted_view();
    let (mut survivor, mut restarted) = (observed(&view), observed(&view));
    time::advance(Duration::from_secs(590)).await;
    assert!(survivor.applies("drafts", Instant::now()));
    time::advance(Duration::from_secs(10)).await;
    assert!(!survivor.applies("drafts", Instant::now()));
    restarted.merge(Duration::from_secs(600), Instant::now());
    assert!(!restarted.applies("drafts", Instant::now()));
    // One that starts now, and then another, once the survivor has ended.
    let mut next = observed(&view);
    assert!(next.applies("drafts", Instant::now()));
    next.merge(survivor.memory(Instant::now()), Instant::now());
    assert!(!next.applies("drafts", Instant::now()));
    survivor = observed(&view);
    survivor.merge(next.memory(Instant::now()), Instant::now());
    assert!(!survivor.applies("drafts", Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn started_together() {
    let strangers = observed(&restarted_view());
    time::advance(Duration::from_secs(2)).await;
    let mut other = observed(&restarted_view());
    other.merge(strangers.memory(Instant::now()), Instant::now());
    assert!(other.applies("drafts", Instant::now()));
    assert!(strangers.applies("drafts", Instant::now()));
}

/// Guards against refusing requests after one crash where nothing can have been forgotten.
#[tokio::test(start_paused = true)]
async fn calm_fleet_unaffected() {
    let now = Instant::now();
    let hours = Duration::from_secs(7200);
    let calm = [
        [hours; 6],
        [Duration::from_secs(20); 6],
        [0, 1, 2, 3, 4, 5].map(|number| hours - Duration::from_secs(600 * number)),
        [20_000, 20_300, 20_600, 20_900, 21_200, 21_500].map(Duration::from_millis),
    ];
    for ages in calm {
        assert!(
            !observed(&started_ago(ages)).applies("drafts", now),
            "{ages:?}"
        );
    }
    let view = restarted_view();
    assert!(observed(&view).applies("drafts", now));
    assert!(!observed(&view).applies("orders", now));
    let first = Caution::new(now).first_start();
    let mut late = Caution::new(now);
    late.observe(&started_ago([hours; 6]), UNIX_TIME, now);
    time::advance(Duration::from_secs(6)).await;
    for mut caution in [first, late] {
        caution.observe(&view, UNIX_TIME, Instant::now());
        assert!(!caution.applies("drafts", Instant::now()));
    }
}

/// Load pattern: a request that crashes each endpoint comes once a second to a fleet of which all entries end four times,
/// 12 s apart, and which hear of the last second's news. Each further end allows one crash.
#[tokio::test(start_paused = true)]
async fn late_arrivals_bounded() {
    for (entries, seed) in [3, 7, 34, 300].into_iter().zip(0..) {
        let mut random = SmallRng::seed_from_u64(seed);
        let view = restarted_view();
        let mut fleet: Vec<(Blame<Fingerprint>, Caution)> = (0..entries)
            .map(|_| {
                let caution = Caution::new(Instant::now());
                (Blame::default(), caution.first_start())
            })
            .collect();
        let mut crashes: Vec<Instant> = Vec::new();
        for step in 0..600_u64 {
            time::advance(Duration::from_millis(100)).await;
            let now = Instant::now();
            if step > 0 && step % 120 == 0 {
                fleet.fill_with(|| (Blame::default(), observed(&view)));
            }
            for sender in 0..entries {
                let (news, memory) = (fleet[sender].0.news(now), fleet[sender].1.memory(now));
                for _ in 0..12 {
                    let (blame, caution) = &mut fleet[random.random_range(0..entries)];
                    blame.merge(&news, now);
                    caution.merge(memory, now);
                }
            }
            if step % 10 != 5 {
                continue;
            }
            let (blame, caution) = &mut fleet[random.random_range(0..entries)];
            for is_repeat in [false, true] {
                if is_refused(blame) {
                    continue;
                }
                crash(blame, 1000 + crashes.len() as u64, is_repeat);
                crashes.push(now);
                if caution.applies("drafts", now) {
                    blame.refuse_early(&[REQUEST], now);
                }
            }
        }
        let last_allowed = crashes[2] + Duration::from_secs(3);
        let late = crashes.iter().filter(|at| **at > last_allowed).count();
        assert!(
            late <= 3,
            "{entries} entries: {late} of {} late",
            crashes.len()
        );
    }
}

/// Load pattern: as above, at three entries before twelve agents, which entries that start hear from. No end allows a further
/// crash, and none is needed to tell sound requests from the one that crashes.
#[tokio::test(start_paused = true)]
async fn agents_remember() {
    let (view, service) = (restarted_view(), "drafts".into());
    let mut random = SmallRng::seed_from_u64(1);
    let start = |seed| Balancer::new("a".into(), bounds(), seed, Instant::now());
    let mut entries: Vec<Balancer> = (0..3).map(|seed| start(seed).first_start()).collect();
    let mut agents = vec![Memory::new(Instant::now()).first_start(); 12];
    let (mut crashes, mut refused) = (0, 0);
    for step in 0..600_u64 {
        time::advance(Duration::from_millis(100)).await;
        let now = Instant::now();
        if step > 0 && step % 120 == 0 {
            entries = (0..3).map(start).collect();
        }
        for entry in &mut entries {
            entry.observe_starts(&view, UNIX_TIME, now);
        }
        // An agent sends its status; the entry tells what it knows, and asks if that may not be all.
        let agent = &mut agents[random.random_range(0..12)];
        let entry = &mut entries[random.random_range(0..3)];
        let known = entry.refusals(now);
        agent.record_contact(now);
        if !known.refused.is_empty() {
            agent.record(&known, now);
        }
        if known.memory < Duration::from_secs(600) {
            entry.merge_refusals(agent.refusals(now), now);
        }
        if step % 10 != 5 || step % 120 < 60 {
            continue;
        }
        let entry = &mut entries[random.random_range(0..3)];
        assert!(!entry.is_cautious("drafts", now), "agents know all");
        for is_repeat in [false, true] {
            let mut request = attempt(&service);
            (request.fingerprint, request.is_retry) = (REQUEST, is_repeat);
            match entry.choose(&view, &request, now) {
                Ok(placement) => {
                    entry.record_break(&placement, REQUEST, &[], is_repeat, now);
                    crashes += 1;
                }
                Err(_) => refused += 1,
            }
        }
        // Other entries hear of the crashes.
        let news = entry.request_news(now);
        entries
            .iter_mut()
            .for_each(|entry| entry.merge_request_news(&news, now));
    }
    assert_eq!(crashes, 2, "{refused} refused");
}
