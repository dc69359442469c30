//! Switches of a group's expert map while its processes are killed and paused.

use std::time::Duration;

use fake::{Group, Signal, Statistics};
use futures::future::BoxFuture;
use hdrhistogram::Histogram;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Number of engines in the group.
const ENGINE_COUNT: usize = 3;
/// Faults in each of the two runs, with fenced and with unfenced engines.
const FAULTS_PER_RUN: usize = 100;
/// Time within which the group must make progress after a fault.
const ADVANCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Upper bound on the random wait before a fault, in milliseconds.
const MAX_WAIT_MS: u64 = 150;
/// Upper bound on the random pause of a process, in milliseconds.
const MAX_PAUSE_MS: u64 = 1500;

/// Fault that is injected into a process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Fault {
    KillEngine,
    KillAgent,
    PauseEngine,
    PauseAgent,
}

const FAULT_KINDS: [Fault; 4] = [
    Fault::KillEngine,
    Fault::KillAgent,
    Fault::PauseEngine,
    Fault::PauseAgent,
];

/// Runs faults against groups with fenced and with unfenced engines at the same time.
pub(crate) fn run(seed: u64) -> BoxFuture<'static, anyhow::Result<()>> {
    Box::pin(async move {
        let (fenced, unfenced) = (run_faults(seed, true), run_faults(seed + 1, false));
        futures::future::try_join(fenced, unfenced).await?;
        Ok(())
    })
}

async fn run_faults(seed: u64, fenced: bool) -> anyhow::Result<()> {
    let name = format!("seed {seed}, fenced {fenced}");
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut group = Group::start(ENGINE_COUNT, fenced).await?;
    let mut baseline = Histogram::<u64>::new(3)?;
    for _ in 0..10 {
        let statistics = group.wait_progress(20, 1, ADVANCE_TIMEOUT).await?;
        baseline.record(statistics.longest_step.as_millis() as u64)?;
    }
    println!(
        "{name}: longest step with a switch, no fault: {}",
        format_quantiles(&baseline)
    );
    let mut stalls = FAULT_KINDS.map(|fault| (fault, Histogram::<u64>::new(3)));
    let mut statistics = group.read_statistics().await?;
    for number in 1..=FAULTS_PER_RUN {
        let index = random.random_range(0..FAULT_KINDS.len());
        inject(&mut group, FAULT_KINDS[index], &mut random).await?;
        statistics = group.wait_progress(20, 1, ADVANCE_TIMEOUT).await?;
        anyhow::ensure!(
            statistics.violations == 0,
            "ranks used different maps in one step: {}",
            format_statistics(&statistics)
        );
        if let Ok(stalls) = &mut stalls[index].1 {
            stalls.record(statistics.longest_step.as_millis() as u64)?;
        }
        if number % 10 == 0 {
            println!(
                "{name}: {number} faults, {}",
                format_statistics(&statistics)
            );
        }
    }
    for (fault, stalls) in &stalls {
        if let Ok(stalls) = stalls {
            println!(
                "{fault:?}: {} faults, stall {}",
                stalls.len(),
                format_quantiles(stalls)
            );
        }
    }
    println!("{name}: {}", format_statistics(&statistics));
    Ok(())
}

async fn inject(group: &mut Group, fault: Fault, random: &mut ChaCha8Rng) -> anyhow::Result<()> {
    let name = format!("ranks-{}", random.random_range(0..ENGINE_COUNT));
    tokio::time::sleep(Duration::from_millis(random.random_range(0..MAX_WAIT_MS))).await;
    let pause = Duration::from_millis(random.random_range(0..MAX_PAUSE_MS));
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

/// Formats statistics under the names that reports use, which differ from the Rust names.
fn format_statistics(statistics: &Statistics) -> String {
    let Statistics {
        completed,
        map,
        switches,
        violations,
        longest_step,
    } = statistics;
    format!(
        "Steps {{ done: {completed}, map: {map}, switches: {switches}, violations: {violations}, longest: {longest_step:?} }}"
    )
}

fn format_quantiles(times: &Histogram<u64>) -> String {
    let at = |quantile: f64| times.value_at_quantile(quantile);
    format!(
        "p50 {} ms, p95 {} ms, max {} ms",
        at(0.5),
        at(0.95),
        times.max()
    )
}
