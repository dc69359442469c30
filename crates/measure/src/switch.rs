//! Switches of a group's map while its processes are ended and paused.

use std::time::Duration;

use fake::{Group, Signal};
use futures::future::BoxFuture;
use hdrhistogram::Histogram;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Engines of the group.
const ENGINES: usize = 3;
/// Faults of each of the two kinds of engines.
const FAULTS: usize = 100;
/// Time in which the group must go on after a fault.
const TIME: Duration = Duration::from_secs(60);
/// Longest wait before a fault.
const WAIT_MS: u64 = 150;
/// Longest pause of a process.
const PAUSE_MS: u64 = 1500;

/// Fault that hits a process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Fault {
    KillEngine,
    KillAgent,
    PauseEngine,
    PauseAgent,
}

const ALL: [Fault; 4] = [
    Fault::KillEngine,
    Fault::KillAgent,
    Fault::PauseEngine,
    Fault::PauseAgent,
];

/// Runs the measure.
pub(crate) fn measure(seed: u64) -> BoxFuture<'static, anyhow::Result<()>> {
    Box::pin(async move {
        let (heeding, ignoring) = (course(seed, true), course(seed + 1, false));
        futures::future::try_join(heeding, ignoring).await?;
        Ok(())
    })
}

async fn course(seed: u64, fenced: bool) -> anyhow::Result<()> {
    let name = format!("seed {seed}, fenced {fenced}");
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut group = Group::start(ENGINES, fenced).await?;
    let mut calm = Histogram::<u64>::new(3)?;
    for _ in 0..10 {
        let steps = group.wait_progress(20, 1, TIME).await?;
        calm.record(steps.longest_step.as_millis() as u64)?;
    }
    println!(
        "{name}: longest step with a switch, no fault: {}",
        quantiles(&calm)
    );
    let mut stalls = ALL.map(|fault| (fault, Histogram::<u64>::new(3)));
    let mut last = group.read_statistics().await?;
    for number in 1..=FAULTS {
        let index = random.random_range(0..ALL.len());
        hit(&mut group, ALL[index], &mut random).await?;
        last = group.wait_progress(20, 1, TIME).await?;
        anyhow::ensure!(last.violations == 0, "different maps in one step: {last:?}");
        if let Ok(stalls) = &mut stalls[index].1 {
            stalls.record(last.longest_step.as_millis() as u64)?;
        }
        if number % 10 == 0 {
            println!("{name}: {number} faults, {last:?}");
        }
    }
    for (fault, stalls) in &stalls {
        if let Ok(stalls) = stalls {
            println!(
                "{fault:?}: {} faults, stall {}",
                stalls.len(),
                quantiles(stalls)
            );
        }
    }
    println!("{name}: {last:?}");
    Ok(())
}

async fn hit(group: &mut Group, fault: Fault, random: &mut ChaCha8Rng) -> anyhow::Result<()> {
    let name = format!("ranks-{}", random.random_range(0..ENGINES));
    tokio::time::sleep(Duration::from_millis(random.random_range(0..WAIT_MS))).await;
    let pause = Duration::from_millis(random.random_range(0..PAUSE_MS));
    let process = match fault {
        Fault::KillEngine => return group.start_engine(&name),
        Fault::KillAgent => return group.restart_agent(&name),
        Fault::PauseEngine => &group.fleet.backends[name.as_str()],
        Fault::PauseAgent => &group.fleet.agents[name.as_str()],
    };
    process.signal(Signal::Stop)?;
    tokio::time::sleep(pause).await;
    process.signal(Signal::Continue)
}

fn quantiles(times: &Histogram<u64>) -> String {
    let at = |part: f64| times.value_at_quantile(part);
    format!(
        "p50 {} ms, p95 {} ms, max {} ms",
        at(0.5),
        at(0.95),
        times.max()
    )
}
