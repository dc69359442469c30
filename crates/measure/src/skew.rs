//! Simulated step-time skew of expert maps and bytes of weights moved, for a fixed map, full
//! re-planning and the incremental planner.

mod plot;
mod run;
mod workload;

use std::{path::Path, thread};

use anyhow::Context as _;
use futures::future::BoxFuture;

use run::{Outcome, Run, Scheme};
use workload::Workload;

/// Numbers of ranks, and of expert slots per rank and layer.
const GROUP_SIZES: [(usize, usize); 3] = [(8, 40), (32, 10), (128, 3)];
/// Number of ranks of the runs that are plotted.
const PLOTTED_RANKS: usize = 32;
/// Number of runs that are simulated in parallel.
const CONCURRENT_RUNS: usize = 3;
/// Target of the ratio of the planner's p95 skew to that of full re-planning.
const MAX_SKEW_RATIO: f64 = 1.05;
/// Target of the ratio of the bytes that the planner moves to those of full re-planning.
const MAX_BYTES_RATIO: f64 = 0.1;
/// Target of the time to compute one plan, in seconds.
const MAX_PLANNING_SECONDS: f64 = 1.0;
/// Output file of the plot, relative to the repository root.
const PLOT_PATH: &str = "docs/skew.svg";

/// Simulates all workloads and sizes, prints the results and draws the plot.
pub(crate) fn run(seed: u64) -> BoxFuture<'static, anyhow::Result<()>> {
    Box::pin(async move {
        let runs = tokio::task::spawn_blocking(move || run_all(seed)).await?;
        report(seed, &runs)?;
        let plotted: Vec<&Run> = runs
            .iter()
            .filter(|run| run.ranks == PLOTTED_RANKS)
            .collect();
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../..")
            .join(PLOT_PATH);
        plot::draw(&path, &plotted).context("the plot cannot be drawn")?;
        println!("plot: {PLOT_PATH}");
        Ok(())
    })
}

/// Simulates every workload at every size.
fn run_all(seed: u64) -> Vec<Run> {
    let with_workloads = |(ranks, slots)| Workload::ALL.map(|workload| (ranks, slots, workload));
    let tasks: Vec<(usize, usize, Workload)> =
        GROUP_SIZES.into_iter().flat_map(with_workloads).collect();
    let mut runs = Vec::new();
    for batch in tasks.chunks(CONCURRENT_RUNS) {
        thread::scope(|scope| {
            let spawn = |(ranks, slots, workload): &(usize, usize, Workload)| {
                let (ranks, slots, workload) = (*ranks, *slots, *workload);
                scope.spawn(move || run::simulate(ranks, slots, workload, seed))
            };
            let threads: Vec<_> = batch.iter().map(spawn).collect();
            runs.extend(threads.into_iter().filter_map(|t| t.join().ok()));
        });
    }
    runs
}

fn report(seed: u64, runs: &[Run]) -> anyhow::Result<()> {
    println!("seed {seed}; skew: slowest rank over mean, lower bound 1.000");
    println!(
        "{:>5} {:<10} {:<8} {:>6} {:>6} {:>9} {:>6} {:>7} {:>8}",
        "ranks", "workload", "scheme", "p50", "p95", "GB moved", "store", "steps", "switches"
    );
    let mut missed = Vec::new();
    for run in runs {
        for (scheme, outcome) in &run.outcomes {
            print_row(run, *scheme, outcome);
        }
        missed.extend(missed_targets(run));
    }
    let slowest = runs
        .iter()
        .map(|run| run.max_planning_seconds)
        .fold(0.0, f64::max);
    println!("longest plan: {slowest:.3} s (target {MAX_PLANNING_SECONDS} s, one core)");
    if slowest > MAX_PLANNING_SECONDS {
        missed.push(format!("a plan took {slowest:.3} s"));
    }
    for miss in &missed {
        println!("target missed: {miss}");
    }
    println!("targets missed: {}", missed.len());
    Ok(())
}

fn print_row(run: &Run, scheme: Scheme, outcome: &Outcome) {
    println!(
        "{:>5} {:<10} {:<8} {:>6.3} {:>6.3} {:>9.1} {:>5.1}% {:>7.0} {:>8}",
        run.ranks,
        run.workload.name(),
        scheme.name(),
        outcome.quantile(0.5),
        outcome.quantile(0.95),
        outcome.bytes() / 1e9,
        100.0 * outcome.store_share(),
        outcome.switch_steps(),
        outcome.switches,
    );
}

/// Returns a description of each target that a run misses.
fn missed_targets(run: &Run) -> Vec<String> {
    let (full, planner) = (run.outcome(Scheme::Full), run.outcome(Scheme::Planner));
    let name = format!("{} ranks, {}", run.ranks, run.workload.name());
    let mut missed = Vec::new();
    let skew_ratio = planner.quantile(0.95) / full.quantile(0.95);
    if skew_ratio > MAX_SKEW_RATIO {
        missed.push(format!(
            "{name}: p95 skew is {skew_ratio:.3} of full re-planning's"
        ));
    }
    let bytes_ratio = planner.bytes() / full.bytes();
    if bytes_ratio > MAX_BYTES_RATIO {
        missed.push(format!(
            "{name}: bytes are {bytes_ratio:.3} of full re-planning's"
        ));
    }
    if run.workload == Workload::Noise && planner.switches > 0 {
        missed.push(format!("{name}: {} switches", planner.switches));
    }
    missed
}
