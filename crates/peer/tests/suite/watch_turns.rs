use std::time::Duration;

use peer::Election;
use tokio::time::{Instant, advance};

use crate::member;

/// Time between two rounds of heartbeats.
const ROUND: Duration = Duration::from_millis(100);

/// Processes of one zone that pass signs of life on along a ring.
struct Zone {
    all: Vec<Election>,
    /// Processes that are paused or dead.
    still: Vec<usize>,
    /// Whether the platform can be reached.
    platform: bool,
}

impl Zone {
    fn new(size: usize) -> Self {
        let watch = |i| Election::new(&member(&format!("p{i}"), "a", 1, 1), Instant::now());
        Self {
            all: (0..size).map(watch).collect(),
            still: Vec::new(),
            platform: true,
        }
    }

    /// Lets time pass; returns who watches at the end, and the reads that failed.
    async fn run(&mut self, time: Duration) -> (Vec<usize>, usize) {
        let (mut watching, mut failed) = (Vec::new(), 0);
        for _ in 0..time.as_millis() / ROUND.as_millis() {
            advance(ROUND).await;
            let now = Instant::now();
            let size = self.all.len();
            watching.clear();
            for i in (0..size).filter(|i| !self.still.contains(i)) {
                if self.all[i].tick(size, now) {
                    watching.push(i);
                    match self.platform {
                        true => self.all[i].record_success(now),
                        false => {
                            self.all[i].record_failure();
                            failed += 1;
                        }
                    }
                }
                let pulses = self.all[i].pulses(now);
                for step in [1, 7] {
                    self.all[(i + step) % size].observe(&pulses, now);
                }
            }
        }
        (watching, failed)
    }
}

#[tokio::test(start_paused = true)]
async fn few_watch() {
    for size in [1, 3, 10, 100] {
        let mut zone = Zone::new(size);
        let (watching, _) = zone.run(Duration::from_secs(30)).await;
        assert_eq!(watching.len(), size.min(3), "{size}");
    }
}

#[tokio::test(start_paused = true)]
async fn dead_watchers_replaced() {
    let mut zone = Zone::new(100);
    let (first, _) = zone.run(Duration::from_secs(30)).await;
    zone.still.clone_from(&first);
    let (second, _) = zone.run(Duration::from_secs(4)).await;
    assert!(second.len() >= 3, "{second:?}");
    zone.still.clear();
    let (third, _) = zone.run(Duration::from_secs(30)).await;
    assert_eq!(third.len(), 3, "{third:?}");
}

#[tokio::test(start_paused = true)]
async fn platform_spared() {
    let mut zone = Zone::new(1000);
    zone.run(Duration::from_secs(10)).await;
    zone.platform = false;
    zone.run(Duration::from_secs(10)).await;
    let (_, failed) = zone.run(Duration::from_secs(10)).await;
    println!("{failed} reads by 1000 processes in 10 s without the platform");
    assert!(failed < 10 * 2000 / 3, "a third of what the platform bears");
    zone.platform = true;
    zone.run(Duration::from_secs(10)).await;
    let (watching, _) = zone.run(Duration::from_secs(10)).await;
    assert_eq!(watching.len(), 3);
}
