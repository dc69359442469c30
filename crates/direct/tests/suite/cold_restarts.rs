use std::time::Duration;

use direct::{Answer, Balancer, Bounds, Outcome, Placement, Restarts};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng, seq::IteratorRandom as _};
use tokio::time::{self, Instant};

use crate::support;

const STEP: Duration = Duration::from_millis(10);
/// Time of a request at its endpoint.
const WORK_TIME: Duration = Duration::from_millis(100);
/// Requests of all entries per second.
const RATE: f64 = 100.0;
/// Time of the restart, and duration of the cold start in the configuration.
const ENDED_AT: Duration = Duration::from_secs(1);
const COLD_TIME: Duration = Duration::from_secs(3);
/// Requests in a second that a cold endpoint may get: 10 x 1.5 + 5.
const ALLOWED: usize = 20;

/// Plays a restart of the only endpoint, which the store does not tell of; returns the requests that it gets in the busiest
/// second of its cold start, and in the last second of the run.
///
/// Each entry tells `fanout` others what it knows, every 100 ms.
async fn play_restart(entries: u64, fanout: usize, away: Duration, seed: u64) -> (usize, usize) {
    let (service, view) = ("drafts".into(), support::view(1));
    let bounds = Bounds {
        entries: entries as usize,
        ..support::bounds()
    };
    let balancer = |seed| Balancer::new("a".into(), bounds.clone(), seed, Instant::now());
    let mut fleet: Vec<Balancer> = (0..entries)
        .map(|entry| balancer(seed * 1000 + entry))
        .collect();
    // All entries know how many they are by now.
    time::advance(Duration::from_secs(6)).await;
    let started = Instant::now();
    let (ended, back) = (started + ENDED_AT, started + ENDED_AT + away);
    let mut random = SmallRng::seed_from_u64(seed);
    let mut running: Vec<(Instant, usize, Placement)> = Vec::new();
    let mut arrivals: Vec<Instant> = Vec::new();
    let steps =
        (ENDED_AT + away + COLD_TIME + Duration::from_secs(9)).as_millis() / STEP.as_millis();
    for step in 0..steps {
        time::advance(STEP).await;
        let now = Instant::now();
        let is_away = now >= ended && now < back;
        let (done, others) = running
            .into_iter()
            .partition(|(end, _, _)| *end <= now || is_away);
        running = others;
        for (_, entry, placement) in done {
            if is_away {
                // Each request has a fingerprint of its own, so that none is suspected.
                fleet[entry].record_lost_connection(&placement, placement.chosen_at, now);
                fleet[entry].record_break(&placement, random.random(), &[], false, now);
                fleet[entry].record_outcome(&placement, Outcome::Broke, now);
            } else {
                fleet[entry].record_answer(&placement, placement.chosen_at, now);
                fleet[entry].record_outcome(&placement, Outcome::Whole, now);
            }
        }
        for (entry, balancer) in fleet.iter_mut().enumerate() {
            if !random.random_bool(RATE * STEP.as_secs_f64() / entries as f64) {
                continue;
            }
            let Ok(placement) = balancer.choose(&view, &support::attempt(&service), now) else {
                continue;
            };
            if is_away {
                balancer.record_outcome(&placement, Outcome::Unreached, now);
                continue;
            }
            arrivals.push(now);
            running.push((now + WORK_TIME, entry, placement));
        }
        if step % 10 == 0 {
            for entry in 0..fleet.len() {
                fleet[entry].retain_known(&view, now);
                let news = fleet[entry].loss_news(now);
                for other in (0..fleet.len()).sample(&mut random, fanout) {
                    fleet[other].merge_losses(&news, now);
                }
            }
        }
    }
    let count = |from: Instant, until: Instant| {
        let is_counted = |at: &&Instant| **at >= from && **at < until;
        arrivals.iter().filter(is_counted).count()
    };
    let (second, warm) = (Duration::from_secs(1), back + COLD_TIME);
    let cold = arrivals.iter().filter(|at| **at >= back && **at < warm);
    let most = cold.map(|at| count(*at, (*at + second).min(warm)));
    (
        most.max().unwrap_or(0),
        count(Instant::now() - second, Instant::now()),
    )
}

/// Guards against the full share of load at an endpoint that comes back cold under its id before the store tells
/// (FAILBACK): few entries and many, that hear of each other or not.
#[tokio::test(start_paused = true)]
async fn unreported_restart_limited() {
    for (entries, fanout) in [(7, 0), (7, 12), (35, 12), (300, 12)] {
        for (seed, away) in [400, 900, 1500, 3100].into_iter().enumerate() {
            let away = Duration::from_millis(away);
            let (most, last) = play_restart(entries, fanout, away, seed as u64).await;
            println!("{entries} entries, {fanout} told, {away:?}: {most}, at the end {last}");
            assert!(most <= ALLOWED, "{entries} entries, {away:?}: {most}");
            // It has its share again once it is no longer cold.
            assert!(last >= 50, "{entries} entries, {away:?}: {last}");
        }
    }
}

/// Returns an answer that comes in now.
fn answer(opened_at: Instant, sent_at: Instant) -> Answer {
    Answer {
        opened_at,
        sent_at,
        at: Instant::now(),
    }
}

/// Guards against an endpoint that stays limited after it has answered for as long as it may be cold.
#[tokio::test(start_paused = true)]
async fn presumption_ends() {
    let (mut restarts, id) = (Restarts::default(), conf::id::Endpoint::from("e0"));
    let is_cold = |restarts: &Restarts, incarnation| {
        restarts.may_be_cold(&id, incarnation, COLD_TIME, Instant::now())
    };
    assert!(!is_cold(&restarts, 1));
    let sent_before = Instant::now();
    time::advance(STEP).await;
    restarts.record_loss(&id, 1, Instant::now(), Instant::now());
    assert!(is_cold(&restarts, 1));
    // The registration of a later incarnation states how long it is cold.
    assert!(!is_cold(&restarts, 2));
    // An answer to a request that was sent before the loss says nothing.
    time::advance(STEP).await;
    restarts.record_answer(&id, answer(sent_before, sent_before));
    time::advance(COLD_TIME * 2).await;
    assert!(is_cold(&restarts, 1));
    let sent = Instant::now();
    time::advance(STEP).await;
    restarts.record_answer(&id, answer(sent, sent));
    time::advance(COLD_TIME - STEP).await;
    assert!(is_cold(&restarts, 1));
    time::advance(STEP).await;
    assert!(!is_cold(&restarts, 1));
}

/// Guards against a loss that entries tell each other again and again after the endpoint has answered, and against an
/// entry that starts later and does not learn of it.
#[tokio::test(start_paused = true)]
async fn reports_end() {
    let (id, mut first) = (conf::id::Endpoint::from("e0"), Restarts::default());
    first.record_loss(&id, 1, Instant::now(), Instant::now());
    time::advance(Duration::from_secs(30)).await;
    let mut second = Restarts::default();
    second.merge(&first.news(Instant::now()), Instant::now());
    assert!(second.may_be_cold(&id, 1, COLD_TIME, Instant::now()));
    first.record_answer(&id, answer(Instant::now(), Instant::now()));
    let (answered, mut last_told) = (Instant::now(), Duration::ZERO);
    for _ in 0..200 {
        time::advance(Duration::from_millis(100)).await;
        let now = Instant::now();
        second.merge(&first.news(now), now);
        first.merge(&second.news(now), now);
        for known in [&mut first, &mut second] {
            known.retain(|_| true, COLD_TIME, now);
            let is_cold = known.may_be_cold(&id, 1, COLD_TIME, now);
            assert_eq!(
                is_cold,
                answered.elapsed() < COLD_TIME,
                "{:?}",
                answered.elapsed()
            );
            if !known.news(now).is_empty() {
                last_told = answered.elapsed();
            }
        }
    }
    assert!(last_told < Duration::from_secs(6), "{last_told:?}");
    assert_eq!(second.take_found().len(), 1);
}

/// Load pattern: one engine of a group ends, and the streams of all others are cut once they have stalled. Guards against
/// limiting these for a cold start, here and at another entry.
#[tokio::test(start_paused = true)]
async fn survivors_not_limited() {
    let (id, mut first, mut second) = (
        conf::id::Endpoint::from("e0"),
        Restarts::default(),
        Restarts::default(),
    );
    let opened = Instant::now();
    time::advance(Duration::from_secs(1)).await;
    let later = Instant::now();
    time::advance(STEP * 2).await;
    first.record_loss(&id, 1, later, Instant::now());
    second.record_loss(&id, 1, later, Instant::now());
    let may_be_cold = |known: &Restarts| known.may_be_cold(&id, 1, COLD_TIME, Instant::now());
    time::advance(Duration::from_secs(1)).await;
    // A connection that was set up since proves nothing: the loss of another one may be noticed late.
    first.record_answer(&id, answer(later + STEP, Instant::now()));
    assert!(may_be_cold(&first));
    first.record_answer(&id, answer(opened, Instant::now()));
    assert!(!may_be_cold(&first));
    second.merge(&first.news(Instant::now()), Instant::now());
    assert!(!may_be_cold(&second));
    // What others still tell of the loss changes nothing, a new loss does.
    let mut third = Restarts::default();
    third.record_loss(&id, 1, later, later);
    second.merge(&third.news(Instant::now()), Instant::now());
    assert!(!may_be_cold(&second));
    second.record_loss(&id, 1, later, Instant::now());
    second.merge(&first.news(Instant::now()), Instant::now());
    assert!(may_be_cold(&second));
}
