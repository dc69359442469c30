use std::time::Duration;

use fake::{Group, Signal};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 11;
const ROUNDS: usize = 3;
const TIME: Duration = Duration::from_secs(60);

/// Hits a random process of a group in mid-switch, again and again.
async fn hit(fenced: bool) {
    println!("seed {SEED}");
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut group = Group::start(3, fenced).await.unwrap();
    group.wait_progress(10, 2, TIME).await.unwrap();
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
        let steps = group.wait_progress(20, 1, TIME).await.unwrap();
        assert_eq!(steps.violations, 0, "round {round}, {name}: {steps:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn fenced_engines() {
    hit(true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unfenced_engines() {
    hit(false).await;
}
