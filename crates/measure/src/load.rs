//! Overload of growing size, with one large team and nine small ones.

use std::{ops::Range, time::Duration};

use conf::Priority;
use futures::future::BoxFuture;

use crate::bench::{Demand, Plan, Policies, Tally, Team, World, capacity};

const ENGINES: f64 = 12.0;
/// Drafts that callers ask for, as a part of the capacity.
const LOADS: [f64; 5] = [0.5, 0.9, 1.2, 2.0, 4.0];
/// Part of the capacity that each small team asks for; a fair share is 0.1.
const SMALL: f64 = 0.05;
/// Orders and look-ups a second.
const ORDERS: f64 = 60.0;
/// Part of the capacity, or of the demand if that is less, that must be answered.
const GOODPUT: f64 = 0.95;
/// Part of the small teams' drafts that must be answered.
const ANSWERED: f64 = 0.99;
const PART: Range<Duration> = Duration::from_secs(70)..Duration::from_secs(100);
const LENGTH: Duration = Duration::from_secs(120);

/// Runs the measure.
pub(crate) fn run(seed: u64) -> BoxFuture<'static, anyhow::Result<()>> {
    Box::pin(async move { measure(seed) })
}

fn measure(seed: u64) -> anyhow::Result<()> {
    let mut missed = Vec::new();
    println!(
        "seed {seed}; twelve engines end {:.0} drafts/s",
        ENGINES * capacity()
    );
    println!(
        "policies      load goodput of-allowed small  large  orders p50      p95      refused/answer (by agents) hits  deaths slowest-refusal"
    );
    for load in LOADS {
        for policies in Policies::ALL {
            let tally = World::run(plan(policies, load, seed));
            let goodput = report(policies, load, &tally);
            if policies != Policies::Own {
                continue;
            }
            if goodput < GOODPUT {
                missed.push(format!(
                    "load {load}: goodput {goodput:.3} of what is allowed"
                ));
            }
            let small = tally.team(false, &PART);
            if small < ANSWERED {
                missed.push(format!("load {load}: small teams answered {small:.3}"));
            }
            if tally.over > 0 {
                missed.push(format!("load {load}: {} over the bound", tally.over));
            }
        }
    }
    anyhow::ensure!(missed.is_empty(), "missed: {}", missed.join("; "));
    println!("all targets are met");
    Ok(())
}

fn plan(policies: Policies, load: f64, seed: u64) -> Plan {
    let part = SMALL / load;
    let small = ["t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9"];
    let mut teams: Vec<Team> = small.map(|name| Team { name, part }).into();
    teams.push(Team {
        name: "large",
        part: 1.0 - 9.0 * part,
    });
    Plan {
        policies,
        demand: Demand {
            drafts: load * ENGINES * capacity(),
            low: 0.0,
            orders: ORDERS,
            teams,
        },
        outage: None,
        length: LENGTH,
        seed,
    }
}

/// Prints a line and returns the goodput over what is allowed.
fn report(policies: Policies, load: f64, tally: &Tally) -> f64 {
    let window = tally.window(PART);
    let goodput = window.goodput / (load.min(1.0) * ENGINES * capacity());
    let orders = window.answered.get(&Priority::High).copied().unwrap_or(1.0);
    println!(
        "{:<13} {load:<4} {:5.1}/s {goodput:7.3}   {:5.1}% {:5.1}% {:5.1}% {:<8} {:<8} {:.3} ({:.3}) {:.1}% {} {:?}",
        policies.name(),
        window.goodput,
        tally.team(false, &PART) * 100.0,
        tally.team(true, &PART) * 100.0,
        orders * 100.0,
        format!("{:?}", window.p50),
        format!("{:?}", window.p95),
        window.refused_per_answer,
        window.agent_refused_per_answer,
        tally.hits * 100.0,
        tally.deaths,
        tally.slowest_refusal,
    );
    goodput
}
