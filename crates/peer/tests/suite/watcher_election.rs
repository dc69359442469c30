use std::time::Duration;

use peer::Election;
use tokio::time::{Instant, advance};

use crate::member;

/// Time between two rounds of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Processes of one zone; each forwards the counts of watchers to two others, 1 and 7 places
/// further along a ring.
struct Zone {
    processes: Vec<Election>,
    /// Indices of the processes that are paused or crashed.
    stopped: Vec<usize>,
    platform_reachable: bool,
}

impl Zone {
    fn new(size: usize) -> Self {
        let process = |i| Election::new(&member(&format!("p{i}"), "a", 1, 1), Instant::now());
        Self {
            processes: (0..size).map(process).collect(),
            stopped: Vec::new(),
            platform_reachable: true,
        }
    }

    /// Runs rounds for `time`; returns the watchers in the last round, and the number of failed
    /// reads.
    async fn run(&mut self, time: Duration) -> (Vec<usize>, usize) {
        let (mut watching, mut failed) = (Vec::new(), 0);
        for _ in 0..time.as_millis() / HEARTBEAT_INTERVAL.as_millis() {
            advance(HEARTBEAT_INTERVAL).await;
            let now = Instant::now();
            let size = self.processes.len();
            watching.clear();
            for i in (0..size).filter(|i| !self.stopped.contains(i)) {
                if self.processes[i].tick(size, now) {
                    watching.push(i);
                    match self.platform_reachable {
                        true => self.processes[i].record_success(now),
                        false => {
                            self.processes[i].record_failure(now);
                            failed += 1;
                        }
                    }
                }
                let watchers = self.processes[i].watchers(now);
                for step in [1, 7] {
                    self.processes[(i + step) % size].observe(&watchers, now);
                }
            }
        }
        (watching, failed)
    }
}

#[tokio::test(start_paused = true)]
async fn three_watchers_elected() {
    for size in [1, 3, 10, 100] {
        let mut zone = Zone::new(size);
        let (watching, _) = zone.run(Duration::from_secs(30)).await;
        assert_eq!(watching.len(), size.min(3), "{size}");
    }
}

#[tokio::test(start_paused = true)]
async fn crashed_watchers_replaced() {
    let mut zone = Zone::new(100);
    let (first, _) = zone.run(Duration::from_secs(30)).await;
    zone.stopped.clone_from(&first);
    let (second, _) = zone.run(Duration::from_secs(4)).await;
    assert!(second.len() >= 3, "{second:?}");
    zone.stopped.clear();
    let (third, _) = zone.run(Duration::from_secs(30)).await;
    assert_eq!(third.len(), 3, "{third:?}");
}

#[tokio::test(start_paused = true)]
async fn failed_reads_limited() {
    let mut zone = Zone::new(1000);
    zone.run(Duration::from_secs(10)).await;
    zone.platform_reachable = false;
    zone.run(Duration::from_secs(10)).await;
    let (_, failed) = zone.run(Duration::from_secs(10)).await;
    println!("{failed} reads by 1000 processes in 10 s without the platform");
    assert!(
        failed < 10 * 2000 / 3,
        "failed reads reach a third of the platform's limit of 2000 per second"
    );
    zone.platform_reachable = true;
    zone.run(Duration::from_secs(10)).await;
    let (watching, _) = zone.run(Duration::from_secs(10)).await;
    assert_eq!(watching.len(), 3);
}
