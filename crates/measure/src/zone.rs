//! Simulated outage of one of three availability zones, from its removal to its return.

use std::time::Duration;

use conf::Priority;
use futures::future::BoxFuture;

use crate::simulation::{
    Demand, Outage, Plan, Policies, Simulator, Summary, Team, Window, engine_capacity,
};

/// Engines of the service `drafts` in all zones.
const DRAFT_ENGINES: f64 = 12.0;
/// Rates of drafts offered, as shares of the capacity of all three zones.
const LOADS: [f64; 2] = [0.60, 0.70];
/// Target of the goodput, as a share of the remaining capacity or of the demand, whichever is less.
const MIN_GOODPUT: f64 = 0.95;

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

const OUTAGE: Outage = Outage {
    zone_out: seconds(40),
    engines_stop: seconds(50),
    engines_start: seconds(89),
    zone_in: seconds(90),
};
const DURATION: Duration = seconds(140);

/// Phases of the run: name, start, end and number of engines in service.
const PHASES: [(&str, Duration, Duration, f64); 4] = [
    ("before", seconds(25), seconds(40), 12.0),
    ("leaving", seconds(40), seconds(55), 8.0),
    ("without", seconds(55), seconds(90), 8.0),
    ("returned", seconds(90), seconds(125), 12.0),
];

pub(crate) fn run(seed: u64) -> BoxFuture<'static, anyhow::Result<()>> {
    Box::pin(async move { measure(seed) })
}

fn measure(seed: u64) -> anyhow::Result<()> {
    let mut missed = Vec::new();
    println!(
        "seed {seed}; one engine ends {:.1} drafts/s",
        engine_capacity()
    );
    for load in LOADS {
        println!("\nload {:.0}% of three zones", load * 100.0);
        for policies in Policies::ALL {
            let summary = Simulator::run(plan(policies, load, seed));
            report(policies, &summary);
            if policies == Policies::Production {
                check(&summary, &mut missed);
            }
        }
    }
    anyhow::ensure!(missed.is_empty(), "missed: {}", missed.join("; "));
    println!("\nall targets are met");
    Ok(())
}

fn plan(policies: Policies, load: f64, seed: u64) -> Plan {
    let drafts = load * DRAFT_ENGINES * engine_capacity();
    Plan {
        policies,
        demand: Demand {
            drafts,
            low_share: 0.3,
            orders: drafts / 2.0,
            teams: teams(),
        },
        outage: Some(OUTAGE),
        duration: DURATION,
        seed,
    }
}

/// Returns one large team and nine small ones.
pub(crate) fn teams() -> Vec<Team> {
    let small = ["t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9"];
    let small = small.into_iter().map(|name| Team { name, share: 0.05 });
    let large = Team {
        name: "large",
        share: 0.55,
    };
    std::iter::once(large).chain(small).collect()
}

/// Returns the goodput as a share of the capacity of so many engines, or of the demand if that is
/// less.
fn goodput_ratio(window: &Window, engines: f64) -> f64 {
    window.goodput / window.offered_rate.min(engines * engine_capacity())
}

fn report(policies: Policies, summary: &Summary) {
    println!(
        "{:<13} part      high   normal low    goodput of-allowed p50      p95      refused/answer (by agents) cut",
        policies.name()
    );
    for (name, from, to, engines) in PHASES {
        let window = summary.window(from..to);
        let share = |priority| window.answered_share.get(&priority).copied().unwrap_or(1.0) * 100.0;
        println!(
            "{:<13} {name:<9} {:5.1}% {:5.1}% {:5.1}% {:6.1}/s {:5.2}      {:<8} {:<8} {:.3} ({:.3}) {}",
            "",
            share(Priority::High),
            share(Priority::Normal),
            share(Priority::Low),
            window.goodput,
            goodput_ratio(&window, engines),
            format!("{:?}", window.first_token_p50),
            format!("{:?}", window.first_token_p95),
            window.rejections_per_answer,
            window.agent_refusals_per_answer,
            window.truncated
        );
    }
    println!(
        "{:<13} deaths {}, most over bound {}, last new work in the zone that is out after {:?}, \
         steady after return in {:?}, full limits after {:?}, slowest refusal {:?}, prefix hits {:.1}%",
        "",
        summary.crashes,
        summary.max_excess,
        summary.last_admission_in_zone_out,
        summary.steady_after(OUTAGE.zone_in, DURATION - seconds(12)),
        summary.full_limits_after,
        summary.slowest_rejection,
        summary.prefix_hit_ratio * 100.0
    );
}

fn check(summary: &Summary, missed: &mut Vec<String>) {
    for (name, from, to, engines) in PHASES {
        let window = summary.window(from..to);
        let answered = window.answered_share.get(&Priority::High).copied();
        if answered.unwrap_or(0.0) < 1.0 {
            missed.push(format!("{name}: orders answered {answered:?}"));
        }
        let ratio = goodput_ratio(&window, engines);
        if ratio < MIN_GOODPUT {
            missed.push(format!("{name}: goodput {ratio:.3} of what is allowed"));
        }
    }
    if summary.max_excess > 0 || summary.crashes > 0 {
        missed.push(format!(
            "{} requests above an endpoint's limit, {} engine crashes",
            summary.max_excess, summary.crashes
        ));
    }
    if summary
        .last_admission_in_zone_out
        .is_some_and(|at| at > seconds(3))
    {
        missed.push(format!(
            "last admission in zone c {:?} after its removal",
            summary.last_admission_in_zone_out
        ));
    }
}
