use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use sched::{Admission, Demand, Outranked, Refusal, Request};
use tokio::time::Instant;

use crate::support::{ENGINES, demand, request};

/// Time that one round of the loop stands for, in milliseconds.
const ROUND_MS: usize = 20;
/// Rounds in a second.
const SECOND: usize = 1000 / ROUND_MS;
/// Requests per second of the urgent level, and usual ones of the lowest level.
const RATES: (f64, f64) = (45.0, 75.0);
/// Rounds in which the burst begins and ends.
const BURST: (usize, usize) = (6 * SECOND, 18 * SECOND);
const TOTAL: usize = 22 * SECOND;

#[derive(Clone, Copy, Debug, Default)]
struct Round {
    /// Requests in flight.
    load: u32,
    urgent: u32,
    urgent_refused: u32,
    low: u32,
    low_admitted: u32,
}

/// Plays a burst of the lowest level beside steady urgent requests; entries know the load of others with
/// a delay.
fn play(entries: usize, delay: Duration, seed: u64) -> Vec<Round> {
    let (mut random, service, start) = (
        SmallRng::seed_from_u64(seed),
        "drafts".into(),
        Instant::now(),
    );
    let mut admissions = vec![Admission::default(); entries];
    let mut ends = vec![vec![0_u32; TOTAL + 4 * SECOND]; entries];
    let mut own = vec![0_u32; entries];
    let mut past: Vec<Vec<u32>> = Vec::new();
    let delay = usize::try_from(delay.as_millis()).unwrap() / ROUND_MS;
    let mut rounds = Vec::new();
    for index in 0..TOTAL {
        let now = start + Duration::from_millis(20) * u32::try_from(index).unwrap();
        let known = past.len().checked_sub(delay).map(|at| past[at].clone());
        let known = known.unwrap_or_else(|| vec![0; entries]);
        let known_total: u32 = known.iter().sum();
        let in_burst = (BURST.0..BURST.1).contains(&index);
        let low_rate = RATES.1 * if in_burst { 3.0 } else { 1.0 };
        let mut round = Round::default();
        for entry in 0..entries {
            own[entry] -= ends[entry][index];
            for (level, rate) in [(0, RATES.0), (1, low_rate)] {
                let mut expected = rate / SECOND as f64 / entries as f64;
                while random.random_bool(expected.min(1.0)) {
                    expected = 0.0;
                    let request = request(&service, level);
                    let demand = Demand {
                        own_requests: own[entry],
                        ..demand(known_total - known[entry])
                    };
                    let draw = random.random();
                    let admitted = admissions[entry].admit(&request, &demand, entries, draw, now);
                    let is_admitted = admitted.is_ok();
                    if level == 0 {
                        round.urgent += 1;
                        round.urgent_refused += u32::from(!is_admitted);
                    } else {
                        round.low += 1;
                        round.low_admitted += u32::from(is_admitted);
                    }
                    if is_admitted {
                        own[entry] += 1;
                        ends[entry][index + random.random_range(SECOND..3 * SECOND)] += 1;
                    }
                }
            }
        }
        round.load = own.iter().sum();
        past.push(own.clone());
        rounds.push(round);
    }
    rounds
}

/// Returns the sum of a number over rounds.
fn sum(rounds: &[Round], number: impl Fn(&Round) -> u32) -> f64 {
    rounds.iter().map(|round| f64::from(number(round))).sum()
}

/// Load pattern: the least urgent kind rises to three times its usual rate for 12 s. Without a bound for
/// it, engines fill to their limit and urgent requests are refused. With a bound and late reports, all
/// entries together may stop and start.
fn check_burst(entries: usize, delay: Duration) {
    for seed in 0..10 {
        let rounds = play(entries, delay, seed);
        let usual = &rounds[3 * SECOND..BURST.0];
        let refused = 1.0 - sum(usual, |r| r.low_admitted) / sum(usual, |r| r.low);
        assert!(refused < 0.05, "seed {seed}: {refused} without a burst");
        assert!(sum(&rounds, |r| r.urgent_refused) < 1.0, "seed {seed}");
        // Rising takes the time of a request, falling the age of the reports.
        let settled = &rounds[BURST.0 + 3 * SECOND..BURST.1];
        for window in settled.chunks(2 * SECOND) {
            let load = sum(window, |r| r.load) / window.len() as f64;
            let error = load / ENGINES.2 - 1.0;
            assert!(error.abs() < 0.15, "seed {seed}: load {load}");
        }
        let part = sum(settled, |r| r.low_admitted) / sum(settled, |r| r.low);
        for second in settled.chunks(SECOND) {
            let now = sum(second, |r| r.low_admitted) / sum(second, |r| r.low);
            assert!(
                now > 0.35 * part && now < 1.7 * part,
                "seed {seed}: {now} admitted of {part} on average"
            );
        }
        let low = sum(settled, |r| r.low_admitted);
        let whole = low + sum(settled, |r| r.urgent);
        assert!(low > 0.25 * whole, "seed {seed}: {low} of {whole}");
    }
}

#[test]
fn burst_few_entries() {
    check_burst(7, Duration::from_millis(200));
}

#[test]
fn burst_many_entries() {
    check_burst(100, Duration::from_millis(800));
}

/// Returns the refusal by rank of a request, which must be refused.
fn refuse(admission: &mut Admission, demand: &Demand, now: Instant) -> Outranked {
    let service = "drafts".into();
    match admission.admit(&request(&service, 1), demand, 40, 0.99, now) {
        Err(Refusal::Outranked(outranked)) => outranked,
        other => panic!("{other:?}"),
    }
}

/// Levels, clients that return, and one level only: bounds lie in equal steps from the engines' limit
/// to the comfortable load. A rule for level 0 would refuse what the engines have room for.
#[test]
fn bounds_in_steps() {
    let (service, now) = ("drafts".into(), Instant::now());
    let bounds = [(1, false), (1, true), (2, false), (2, true)].map(|(level, returning)| {
        let request = Request {
            levels: 3,
            returning,
            ..request(&service, level)
        };
        let refused = Admission::default().admit(&request, &demand(511), 40, 0.99, now);
        let Err(Refusal::Outranked(outranked)) = refused else {
            panic!("{refused:?}");
        };
        outranked.bound
    });
    assert_eq!(bounds, [406.0, 459.0, 300.0, 353.0]);
    for (level, levels) in [(0, 3), (0, 1), (3, 1)] {
        let request = Request {
            levels,
            ..request(&service, level)
        };
        let first = Admission::default().admit(&request, &demand(511), 40, 0.99, now);
        assert_eq!(first, Ok(()), "level {level} of {levels}");
    }
}

/// The probability falls evenly from 1 at nine tenths of the bound to the floor at eleven tenths.
/// Without the floor a level starves while others alone keep the load above its bound.
#[test]
fn probability_falls_linearly() {
    let (service, now) = ("drafts".into(), Instant::now());
    for (load, expected) in [
        (269, 1.0),
        (285, 0.75),
        (300, 0.5),
        (315, 0.25),
        (400, 0.05),
    ] {
        let admitted = (0..1000).filter(|draw| {
            let draw = f64::from(*draw) / 1000.0;
            let request = request(&service, 1);
            let mut admission = Admission::default();
            // The rationing lets the first request of an entry pass.
            admission
                .admit(&request, &demand(load), 40, draw, now)
                .is_ok()
        });
        let part = admitted.count() as f64 / 1000.0;
        assert!((part - expected).abs() < 0.01, "{part} at {load}");
    }
}

/// An entry that has just started knows nothing of what was admitted before. It must neither take its
/// own first requests for a rise of all others', nor correct the first reports.
#[test]
fn started_entry() {
    let (mut admission, service, start) = (Admission::default(), "drafts".into(), Instant::now());
    for own_requests in 0..18 {
        let demand = Demand {
            own_requests,
            ..demand(250)
        };
        let now = start + Duration::from_millis(100) * own_requests;
        let admitted = admission.admit(&request(&service, 1), &demand, 40, 0.99, now);
        assert_eq!(admitted, Ok(()), "{own_requests}");
    }
    let first = refuse(&mut Admission::default(), &demand(400), start);
    assert_eq!(first.load, 400.0, "others' requests as reported");
}

/// An entry was frozen for 3.5 s and continues with old reports: what it admitted before says nothing of
/// the present, so it judges by the reports, and the tokens of that time are limited to a burst.
#[test]
fn frozen_entry() {
    let (mut admission, service, start) = (Admission::default(), "drafts".into(), Instant::now());
    for step in 0..100 {
        let now = start + Duration::from_millis(20) * step;
        let load = if step < 50 { 200 } else { 400 };
        let _ = admission.admit(&request(&service, 1), &demand(load), 40, 0.5, now);
    }
    let before = refuse(&mut admission, &demand(400), start + Duration::from_secs(2));
    assert!(before.load < 390.0, "{}", before.load);
    let now = start + Duration::from_millis(5500);
    let after = refuse(&mut admission.clone(), &demand(400), now);
    assert_eq!(after.load, 400.0);
    let mut woken = admission.clone();
    for step in 0..20 {
        let now = now + Duration::from_millis(50) * step;
        let admitted = woken.admit(&request(&service, 1), &demand(265), 40, 0.99, now);
        assert_eq!(admitted, Ok(()), "{step}");
    }
    let mut urgent = || {
        let admitted = admission.admit(&request(&service, 0), &demand(520), 40, 0.5, now);
        admitted.is_ok()
    };
    let urgent = (0..100).filter(|_| urgent()).count();
    assert!((1..=4).contains(&urgent), "{urgent}");
}
