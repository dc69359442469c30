use std::{ops::RangeInclusive, time::Duration};

use sched::{Admission, Refusal};
use tokio::time::Instant;

use crate::support::{demand, request};

/// Retry times of refusals, in seconds, with `refusals` in the two seconds before.
fn waits(load: u32, duration: Duration, refusals: u32) -> Vec<f64> {
    let (mut admission, service, start) = (Admission::default(), "drafts".into(), Instant::now());
    for _ in 0..100 {
        admission.record_duration(&service, duration, start);
    }
    for _ in 0..refusals {
        let _ = admission.admit(&request(&service, 1), &demand(500), 7, 0.999, start);
    }
    let draws = (0..200).map(|draw| f64::from(draw) / 200.0);
    let waits = draws.filter_map(|draw| {
        // Only the given refusals are to count.
        let mut admission = admission.clone();
        match admission.admit(&request(&service, 1), &demand(load), 7, draw, start) {
            Err(Refusal::Outranked(outranked)) => Some(outranked.retry_after.as_secs_f64()),
            _ => None,
        }
    });
    waits.collect()
}

/// Retry times that don't follow the excess bring clients back while there is no room, or leave room
/// unused.
#[test]
fn waits_follow_excess() {
    let long = Duration::from_secs(2);
    let mean = |waits: Vec<f64>| waits.iter().sum::<f64>() / waits.len() as f64;
    // 140 above 0.9 x 300, and 7 for the refusal itself, at 205 ends a second: 0.72 s.
    let some = mean(waits(410, long, 0));
    assert!((some / 0.72 - 1.25).abs() < 0.1, "{some}");
    let more = mean(waits(410, long, 20));
    assert!(
        (more / (0.72 + 20.0 * 7.0 / 205.0) - 1.25).abs() < 0.1,
        "{more}"
    );
    let quick = mean(waits(410, long / 2, 20));
    assert!((quick / more - 0.5).abs() < 0.05, "{quick} of {more}");
}

/// Clients that are refused together and return together are refused again.
#[test]
fn waits_spread_within_range() {
    const RANGE: RangeInclusive<f64> = 0.5..=2.6;
    for (load, seconds, refusals) in [(301, 1, 0), (410, 2, 0), (500, 9, 0), (500, 2, 500)] {
        let mut waits = waits(load, Duration::from_secs(seconds), refusals);
        waits.sort_by(f64::total_cmp);
        assert!(waits.iter().all(|wait| RANGE.contains(wait)), "{waits:?}");
        let (first, last) = (waits[0], waits[waits.len() - 1]);
        assert!(
            waits.len() > 90 && last > 1.4 * first,
            "{first} to {last} at {load}"
        );
        let widest = waits.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(widest.fold(0.0, f64::max) < 0.05, "{waits:?}");
    }
}
