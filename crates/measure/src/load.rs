//! Simulated overload at several levels, with one large team and nine small ones.

use std::{ops::Range, time::Duration};

use conf::Priority;
use futures::future::BoxFuture;

use crate::simulation::{Demand, Plan, Policies, Simulator, Summary, Team, engine_capacity};

/// Engines of the service `drafts` in all zones.
const DRAFT_ENGINES: f64 = 12.0;
/// Rates of drafts offered, as shares of the capacity of all engines.
const LOADS: [f64; 5] = [0.5, 0.9, 1.2, 2.0, 4.0];
/// Load of each small team, as a share of the capacity; its fair share is 0.1.
const SMALL_TEAM_LOAD: f64 = 0.05;
/// Rate of orders, per second.
const ORDER_RATE: f64 = 60.0;
/// Target of the goodput, as a share of the capacity or of the demand, whichever is less.
const MIN_GOODPUT: f64 = 0.95;
/// Target of the share of the small teams' drafts that are answered.
const MIN_SMALL_TEAMS_ANSWERED: f64 = 0.99;
/// Time window that is evaluated.
const WINDOW: Range<Duration> = Duration::from_secs(70)..Duration::from_secs(100);
const DURATION: Duration = Duration::from_secs(120);

pub(crate) fn run(seed: u64) -> BoxFuture<'static, anyhow::Result<()>> {
    Box::pin(async move { measure(seed) })
}

fn measure(seed: u64) -> anyhow::Result<()> {
    let mut missed = Vec::new();
    println!(
        "seed {seed}; twelve engines end {:.0} drafts/s",
        DRAFT_ENGINES * engine_capacity()
    );
    println!(
        "policies      load goodput of-allowed small  large  orders p50      p95      refused/answer (by agents) hits  deaths slowest-refusal"
    );
    for load in LOADS {
        for policies in Policies::ALL {
            let summary = Simulator::run(plan(policies, load, seed));
            let ratio = report(policies, load, &summary);
            if policies != Policies::Production {
                continue;
            }
            if ratio < MIN_GOODPUT {
                missed.push(format!(
                    "load {load}: goodput {ratio:.3} of what is allowed"
                ));
            }
            let small = summary.team_answered_share(false, &WINDOW);
            if small < MIN_SMALL_TEAMS_ANSWERED {
                missed.push(format!("load {load}: small teams answered {small:.3}"));
            }
            if summary.max_excess > 0 {
                missed.push(format!(
                    "load {load}: {} requests above an endpoint's limit",
                    summary.max_excess
                ));
            }
        }
    }
    anyhow::ensure!(missed.is_empty(), "missed: {}", missed.join("; "));
    println!("all targets are met");
    Ok(())
}

fn plan(policies: Policies, load: f64, seed: u64) -> Plan {
    let share = SMALL_TEAM_LOAD / load;
    let small = ["t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9"];
    let mut teams: Vec<Team> = small.map(|name| Team { name, share }).into();
    teams.push(Team {
        name: "large",
        share: 1.0 - 9.0 * share,
    });
    Plan {
        policies,
        demand: Demand {
            drafts: load * DRAFT_ENGINES * engine_capacity(),
            low_share: 0.0,
            orders: ORDER_RATE,
            teams,
        },
        outage: None,
        duration: DURATION,
        seed,
    }
}

/// Prints a row and returns the goodput as a share of the capacity or the demand.
fn report(policies: Policies, load: f64, summary: &Summary) -> f64 {
    let window = summary.window(WINDOW);
    let ratio = window.goodput / (load.min(1.0) * DRAFT_ENGINES * engine_capacity());
    let orders = window
        .answered_share
        .get(&Priority::High)
        .copied()
        .unwrap_or(1.0);
    println!(
        "{:<13} {load:<4} {:5.1}/s {ratio:7.3}   {:5.1}% {:5.1}% {:5.1}% {:<8} {:<8} {:.3} ({:.3}) {:.1}% {} {:?}",
        policies.name(),
        window.goodput,
        summary.team_answered_share(false, &WINDOW) * 100.0,
        summary.team_answered_share(true, &WINDOW) * 100.0,
        orders * 100.0,
        format!("{:?}", window.first_token_p50),
        format!("{:?}", window.first_token_p95),
        window.rejections_per_answer,
        window.agent_refusals_per_answer,
        summary.prefix_hit_ratio * 100.0,
        summary.crashes,
        summary.slowest_rejection,
    );
    ratio
}
