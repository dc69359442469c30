use std::time::Duration;

use fake::{Group, Signal};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Seed of the faults.
const SEED: u64 = 11;
/// Number of faults of each test; the three kinds take turns.
const ROUNDS: usize = 3;
/// Timeout for the group to continue after a fault.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Restarts an engine, or restarts or pauses an agent, while the map of the group keeps switching;
/// all engines must use the same map in each step.
async fn inject_faults(fenced: bool) {
    println!("seed {SEED}");
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut group = Group::start(3, fenced).await.unwrap();
    group.wait_progress(10, 2, TIMEOUT).await.unwrap();
    for round in 0..ROUNDS {
        let name = format!("ranks-{}", random.random_range(0..3));
        tokio::time::sleep(Duration::from_millis(random.random_range(0..200))).await;
        match round % 3 {
            0 => group.start_engine(&name).unwrap(),
            1 => group.restart_agent(&name).unwrap(),
            _ => {
                group.fleet.agents[name.as_str()]
                    .signal(Signal::Stop)
                    .unwrap();
                tokio::time::sleep(Duration::from_millis(1500)).await;
                group.fleet.agents[name.as_str()]
                    .signal(Signal::Continue)
                    .unwrap();
            }
        }
        let statistics = group.wait_progress(20, 1, TIMEOUT).await.unwrap();
        assert_eq!(
            statistics.violations, 0,
            "round {round}, {name}: {statistics:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn fenced_engines() {
    inject_faults(true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unfenced_engines() {
    inject_faults(false).await;
}
