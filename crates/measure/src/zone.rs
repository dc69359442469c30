//! Service while one of three availability zones leaves and returns.

use std::time::Duration;

use conf::Priority;
use futures::future::BoxFuture;

use crate::bench::{Demand, Outage, Plan, Policies, Tally, Team, Window, World, capacity};

const ENGINES: f64 = 12.0;
/// Part of the capacity of all three zones that callers ask for.
const LOADS: [f64; 2] = [0.60, 0.70];
/// Part of what the remaining capacity allows that must be answered.
const GOODPUT: f64 = 0.95;

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

const OUTAGE: Outage = Outage {
    out: seconds(40),
    down: seconds(50),
    up: seconds(89),
    back: seconds(90),
};
const LENGTH: Duration = seconds(140);

/// Parts of the run: name, begin, end, engines that serve.
const PARTS: [(&str, Duration, Duration, f64); 4] = [
    ("before", seconds(25), seconds(40), 12.0),
    ("leaving", seconds(40), seconds(55), 8.0),
    ("without", seconds(55), seconds(90), 8.0),
    ("returned", seconds(90), seconds(125), 12.0),
];

/// Runs the measure.
pub(crate) fn run(seed: u64) -> BoxFuture<'static, anyhow::Result<()>> {
    Box::pin(async move { measure(seed) })
}

fn measure(seed: u64) -> anyhow::Result<()> {
    let mut missed = Vec::new();
    println!("seed {seed}; one engine ends {:.1} drafts/s", capacity());
    for load in LOADS {
        println!("\nload {:.0}% of three zones", load * 100.0);
        for policies in Policies::ALL {
            let tally = World::run(plan(policies, load, seed));
            report(policies, &tally);
            if policies == Policies::Own {
                check(&tally, &mut missed);
            }
        }
    }
    anyhow::ensure!(missed.is_empty(), "missed: {}", missed.join("; "));
    println!("\nall targets are met");
    Ok(())
}

fn plan(policies: Policies, load: f64, seed: u64) -> Plan {
    let drafts = load * ENGINES * capacity();
    Plan {
        policies,
        demand: Demand {
            drafts,
            low: 0.3,
            orders: drafts / 2.0,
            teams: teams(),
        },
        outage: Some(OUTAGE),
        length: LENGTH,
        seed,
    }
}

/// One large team and nine small ones.
pub(crate) fn teams() -> Vec<Team> {
    let small = ["t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9"];
    let small = small.into_iter().map(|name| Team { name, part: 0.05 });
    let large = Team {
        name: "large",
        part: 0.55,
    };
    std::iter::once(large).chain(small).collect()
}

/// Returns goodput over what the engines that serve allow.
fn allowed(window: &Window, engines: f64) -> f64 {
    window.goodput / window.offered.min(engines * capacity())
}

fn report(policies: Policies, tally: &Tally) {
    println!(
        "{:<13} part      high   normal low    goodput of-allowed p50      p95      refused/answer (by agents) cut",
        policies.name()
    );
    for (name, from, to, engines) in PARTS {
        let window = tally.window(from..to);
        let share = |priority| window.answered.get(&priority).copied().unwrap_or(1.0) * 100.0;
        println!(
            "{:<13} {name:<9} {:5.1}% {:5.1}% {:5.1}% {:6.1}/s {:5.2}      {:<8} {:<8} {:.3} ({:.3}) {}",
            "",
            share(Priority::High),
            share(Priority::Normal),
            share(Priority::Low),
            window.goodput,
            allowed(&window, engines),
            format!("{:?}", window.p50),
            format!("{:?}", window.p95),
            window.refused_per_answer,
            window.agent_refused_per_answer,
            window.cut
        );
    }
    println!(
        "{:<13} deaths {}, most over bound {}, last new work in the zone that is out after {:?}, \
         steady after return in {:?}, full limits after {:?}, slowest refusal {:?}, prefix hits {:.1}%",
        "",
        tally.deaths,
        tally.over,
        tally.last_out,
        tally.steady(OUTAGE.back, LENGTH - seconds(12)),
        tally.full_again,
        tally.slowest_refusal,
        tally.hits * 100.0
    );
}

fn check(tally: &Tally, missed: &mut Vec<String>) {
    for (name, from, to, engines) in PARTS {
        let window = tally.window(from..to);
        let high = window.answered.get(&Priority::High).copied();
        if high.unwrap_or(0.0) < 1.0 {
            missed.push(format!("{name}: orders and look-ups answered {high:?}"));
        }
        let goodput = allowed(&window, engines);
        if goodput < GOODPUT {
            missed.push(format!("{name}: goodput {goodput:.3} of what is allowed"));
        }
    }
    if tally.over > 0 || tally.deaths > 0 {
        missed.push(format!(
            "{} over the bound, {} deaths",
            tally.over, tally.deaths
        ));
    }
    if tally.last_out.is_some_and(|at| at > seconds(3)) {
        missed.push(format!("new work {:?} after the zone left", tally.last_out));
    }
}
