//! Step-time skew of expert maps, and what moving weights costs: fixed map, full re-planning, planner.

mod plot;
mod run;
mod workload;

use std::{path::Path, thread};

use anyhow::Context as _;
use futures::future::BoxFuture;

use run::{Course, Result, Scheme};
use workload::Workload;

/// Ranks, and expert slots of a rank in a layer.
const SIZES: [(usize, usize); 3] = [(8, 40), (32, 10), (128, 3)];
/// Size that the plot shows, in ranks.
const PLOTTED: usize = 32;
/// Courses that run side by side.
const AT_ONCE: usize = 3;
/// Most that the planner's p95 skew may be over that of full re-planning.
const SKEW_TARGET: f64 = 1.05;
/// Most bytes that the planner may move, as a share of those of full re-planning.
const BYTES_TARGET: f64 = 0.1;
/// Most time that one plan may take, in seconds.
const TIME_TARGET: f64 = 1.0;
/// File that the plot is written to.
const PLOT: &str = "docs/skew.svg";

/// Runs the measure.
pub(crate) fn run(seed: u64) -> BoxFuture<'static, anyhow::Result<()>> {
    Box::pin(async move {
        let courses = tokio::task::spawn_blocking(move || courses(seed)).await?;
        report(seed, &courses)?;
        let shown: Vec<&Course> = courses.iter().filter(|c| c.ranks == PLOTTED).collect();
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../..")
            .join(PLOT);
        plot::draw(&path, &shown).context("the plot cannot be drawn")?;
        println!("plot: {PLOT}");
        Ok(())
    })
}

/// Runs every workload at every size.
fn courses(seed: u64) -> Vec<Course> {
    let all = |(ranks, slots)| Workload::ALL.map(|workload| (ranks, slots, workload));
    let tasks: Vec<(usize, usize, Workload)> = SIZES.into_iter().flat_map(all).collect();
    let mut courses = Vec::new();
    for some in tasks.chunks(AT_ONCE) {
        thread::scope(|scope| {
            let start = |(ranks, slots, workload): &(usize, usize, Workload)| {
                let (ranks, slots, workload) = (*ranks, *slots, *workload);
                scope.spawn(move || run::course(ranks, slots, workload, seed))
            };
            let started: Vec<_> = some.iter().map(start).collect();
            courses.extend(started.into_iter().filter_map(|t| t.join().ok()));
        });
    }
    courses
}

fn report(seed: u64, courses: &[Course]) -> anyhow::Result<()> {
    println!("seed {seed}; skew: slowest rank over mean, lower bound 1.000");
    println!(
        "{:>5} {:<10} {:<8} {:>6} {:>6} {:>9} {:>6} {:>7} {:>8}",
        "ranks", "workload", "scheme", "p50", "p95", "GB moved", "store", "steps", "switches"
    );
    let mut missed = Vec::new();
    for course in courses {
        for (scheme, result) in &course.results {
            row(course, *scheme, result);
        }
        missed.extend(misses(course));
    }
    let slowest = courses.iter().map(|c| c.planning).fold(0.0, f64::max);
    println!("longest plan: {slowest:.3} s (target {TIME_TARGET} s, one core)");
    if slowest > TIME_TARGET {
        missed.push(format!("a plan took {slowest:.3} s"));
    }
    for miss in &missed {
        println!("target missed: {miss}");
    }
    println!("targets missed: {}", missed.len());
    Ok(())
}

fn row(course: &Course, scheme: Scheme, result: &Result) {
    println!(
        "{:>5} {:<10} {:<8} {:>6.3} {:>6.3} {:>9.1} {:>5.1}% {:>7.0} {:>8}",
        course.ranks,
        course.workload.name(),
        scheme.name(),
        result.quantile(0.5),
        result.quantile(0.95),
        result.bytes() / 1e9,
        100.0 * result.store_share(),
        result.steps_lost(),
        result.switches,
    );
}

/// Names the targets that a course misses.
fn misses(course: &Course) -> Vec<String> {
    let (full, planner) = (course.of(Scheme::Full), course.of(Scheme::Planner));
    let name = format!("{} ranks, {}", course.ranks, course.workload.name());
    let mut missed = Vec::new();
    let skew = planner.quantile(0.95) / full.quantile(0.95);
    if skew > SKEW_TARGET {
        missed.push(format!(
            "{name}: p95 skew is {skew:.3} of full re-planning's"
        ));
    }
    let bytes = planner.bytes() / full.bytes();
    if bytes > BYTES_TARGET {
        missed.push(format!(
            "{name}: bytes are {bytes:.3} of full re-planning's"
        ));
    }
    if course.workload == Workload::Noise && planner.switches > 0 {
        missed.push(format!("{name}: {} switches", planner.switches));
    }
    missed
}
