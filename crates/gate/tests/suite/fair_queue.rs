use std::{collections::BTreeMap, time::Duration};

use conf::{Limit, Priority};
use fault::{ErrorKind, Run};
use gate::Outcome;

use crate::support::{Bench, TICK};

const LIMIT: Limit = Limit { cold: 8, full: 8 };

/// Keeps the queue full from `offers` a tick and returns the ends of each team.
async fn serve(
    offers: &[(&'static str, Priority, usize)],
) -> BTreeMap<(Priority, &'static str), u32> {
    let mut bench = Bench::new(LIMIT, 0);
    let mut teams = BTreeMap::new();
    let mut ends = BTreeMap::new();
    for _ in 0..300 {
        for (team, priority, count) in offers {
            for _ in 0..*count {
                teams.insert(bench.offer_as(team, *priority), (*priority, *team));
            }
        }
        bench.pass(TICK).await;
        let oldest = bench.running.iter().min().copied();
        if let Some(oldest) = oldest {
            bench.finish(oldest, Outcome::Done);
            *ends.entry(teams[&oldest]).or_default() += 1;
        }
        assert!(bench.guard_queue() <= 8, "the queue is bounded by time");
    }
    println!("{ends:?}");
    ends
}

impl Bench {
    fn guard_queue(&self) -> u32 {
        gate::Policy::hint(&self.guard).queued
    }
}

#[tokio::test(start_paused = true)]
async fn small_teams() {
    let normal = Priority::Normal;
    let ends = serve(&[("large", normal, 50), ("small", normal, 1)]).await;
    let share = ends[&(normal, "small")];
    assert!(
        share * 5 >= ends[&(normal, "large")] * 4,
        "half of the work"
    );
}

#[tokio::test(start_paused = true)]
async fn team_weights() {
    let normal = Priority::Normal;
    let ends = serve(&[("small", normal, 9), ("heavy", normal, 9)]).await;
    let ratio = f64::from(ends[&(normal, "heavy")]) / f64::from(ends[&(normal, "small")]);
    assert!((2.3..=3.8).contains(&ratio), "{ratio}");
}

#[tokio::test(start_paused = true)]
async fn priority_first() {
    let ends = serve(&[("large", Priority::Low, 50), ("small", Priority::High, 1)]).await;
    let low = ends.get(&(Priority::Low, "large")).copied().unwrap_or(0);
    assert!(
        ends[&(Priority::High, "small")] > 20 * low.max(8) / 8,
        "{low}"
    );
}

#[tokio::test(start_paused = true)]
async fn spread_refusals() {
    let mut bench = Bench::new(LIMIT, 0);
    for _ in 0..50 {
        bench.offer();
        bench.pass(TICK).await;
        if let Some(oldest) = bench.running.iter().min().copied() {
            bench.finish(oldest, Outcome::Done);
        }
    }
    bench.refused.clear();
    for _ in 0..200 {
        bench.offer();
    }
    assert!(bench.refused.len() >= 185, "refused at once");
    let times = bench.refused.iter().map(|(_, fault)| {
        assert_eq!(
            (fault.kind(), fault.run()),
            (ErrorKind::Overloaded, Run::No)
        );
        fault.retry_delay().unwrap()
    });
    let mut seconds = BTreeMap::new();
    times.for_each(|t| *seconds.entry(t.as_secs()).or_insert(0) += 1);
    println!("{seconds:?}");
    assert!(seconds.values().all(|n| *n <= 20), "ten end a second");
}

#[tokio::test(start_paused = true)]
async fn late_work() {
    let mut bench = Bench::new(LIMIT, 0);
    for _ in 0..20 {
        bench.offer();
        bench.pass(Duration::from_secs(2)).await;
        bench.finish_all();
    }
    let mut ask = crate::support::ask(1000, "small", Priority::Normal);
    ask.deadline = tokio::time::Instant::now() + Duration::from_secs(1);
    bench.tell(gate::Event::Offer(ask));
    assert_eq!(bench.kind(1000), Some(ErrorKind::Overloaded));
}
