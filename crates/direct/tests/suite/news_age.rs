use std::time::Duration;

use direct::Freshness;
use rand::{SeedableRng as _, rngs::SmallRng, seq::IteratorRandom as _};
use tokio::time::{self, Instant};

const CHANGE_TIME: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(50);

fn freshness(seed: u64) -> Freshness {
    Freshness::new(
        CHANGE_TIME,
        &mut SmallRng::seed_from_u64(seed),
        Instant::now(),
    )
}

/// Guards against news that are older than the change time while the store answers, whatever others tell: entries that
/// hear of no other, late or of all.
#[tokio::test(start_paused = true)]
async fn age_bounded() {
    for (entries, fanout) in [(7, 0), (7, 2), (98, 12), (300, 0), (300, 12)] {
        let mut random = SmallRng::seed_from_u64(entries);
        let mut fleet: Vec<Freshness> = (0..entries).map(freshness).collect();
        let (mut checks, mut oldest) = (0, Duration::ZERO);
        for step in 0..600 {
            time::advance(TICK).await;
            let now = Instant::now();
            let ages: Vec<Duration> = fleet.iter().map(|entry| entry.age(now)).collect();
            oldest = oldest.max(ages.iter().copied().max().unwrap());
            for (entry, age) in ages.iter().enumerate() {
                if fleet[entry].is_stale(now) {
                    checks += 1;
                    fleet[entry].record_current(now);
                }
                // Messages go out each 100 ms.
                if step % 2 == 0 {
                    for other in (0..fleet.len()).sample(&mut random, fanout) {
                        fleet[other].record_current(now - *age);
                    }
                }
            }
        }
        let rate = f64::from(checks) / 30.0;
        println!("{entries} entries, {fanout} told: {rate:.1} calls a second, oldest {oldest:?}");
        assert!(oldest < CHANGE_TIME, "{entries} entries: {oldest:?}");
        // Without any watcher and any other entry, each asks once in the least time.
        let least = CHANGE_TIME.mul_f64(0.65).as_secs_f64();
        assert!(rate <= entries as f64 / least, "{rate}");
    }
}

/// Guards against entries that together ask a store which does not answer, again and again.
#[tokio::test(start_paused = true)]
async fn failed_checks_spaced() {
    let mut fleet: Vec<Freshness> = (0..98).map(freshness).collect();
    let mut calls = [0_u32; 20];
    let mut called_at: Vec<Vec<Instant>> = vec![Vec::new(); 98];
    for step in 0..400 {
        time::advance(TICK).await;
        let now = Instant::now();
        for (entry, called_at) in fleet.iter_mut().zip(&mut called_at) {
            if entry.is_stale(now) {
                calls[step / 20] += 1;
                called_at.push(now);
                entry.record_failure(now);
            }
        }
    }
    for called_at in called_at {
        let delays = called_at.windows(2).map(|pair| pair[1] - pair[0]);
        for (delay, least) in delays.zip([1, 2, 4, 8, 8]) {
            assert!(
                delay >= Duration::from_secs(least),
                "{delay:?}, at least {least} s"
            );
        }
    }
    println!("{calls:?}");
    assert!(calls.iter().sum::<u32>() <= 98 * 5, "{calls:?}");
    let now = Instant::now();
    for entry in &mut fleet {
        entry.record_current(now);
        assert!(!entry.is_stale(now));
    }
}
