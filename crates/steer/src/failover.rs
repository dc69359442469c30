use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use tokio::time::{self, Instant};

use crate::{Connector, Decision, Engine, Finish, Order, Report, crew::Crew, engine::Epoch};

/// Time between two looks at whether an agent is silent, and between two rounds of orders.
const LOOK: Duration = Duration::from_millis(50);
/// Rounds of orders in quick succession; an engine that has not answered by then is down or cut off.
const QUICK: u32 = 6;
/// Time between two later rounds, and between two looks for a held pass; each is a call to another VM.
const WATCH: Duration = Duration::from_millis(200);
/// Time in which an engine on another VM answers.
const ANSWER: Duration = Duration::from_millis(300);
/// Time after which a rescue is given up: late orders are carried out within 12 s.
const GIVE_UP: Duration = Duration::from_secs(15);

/// Completes changes of maps for good whose agents are silent.
pub(crate) async fn run(crew: Arc<Crew>, connector: Arc<dyn Connector>) {
    let mut last = None;
    loop {
        time::sleep(LOOK).await;
        let overdue = crew.overdue(Instant::now());
        let Some(decision) = overdue.filter(|decision| last.as_ref() != Some(decision)) else {
            continue;
        };
        complete(&crew, decision.clone(), &*connector).await;
        last = Some(decision);
    }
}

async fn complete(crew: &Crew, decision: Decision, connector: &dyn Connector) {
    let (epoch, version) = (decision.epoch, decision.version);
    log::warn!(epoch = epoch, map = version; "rescue begins: an agent is silent during a change");
    let began = Instant::now();
    let engines: Vec<_> = decision
        .engines
        .iter()
        .map(|at| connector.engine(*at))
        .collect();
    let mut finish = Finish::new(decision.clone());
    let overdue = || {
        crew.overdue(Instant::now())
            .is_some_and(|now| now == decision)
    };
    // Rounds in which the first rank was known to hold a pass.
    let mut rounds = 0;
    while !finish.is_done() && overdue() && began.elapsed() < GIVE_UP {
        // Ranks that are armed need no further look, but for the first, whose pass is held.
        let ranks: Vec<usize> = (0..engines.len())
            .filter(|rank| *rank == 0 || finish.order(*rank).is_some())
            .collect();
        let reports = ranks.iter().map(|rank| look(&*engines[*rank], *rank));
        for (rank, report) in ranks.iter().zip(join_all(reports).await) {
            if let Some(report) = report {
                finish.tell(*rank, &report);
            }
        }
        let orders = ranks
            .iter()
            .filter_map(|rank| Some((*rank, finish.order(*rank)?)));
        join_all(orders.map(|(rank, order)| give(&*engines[rank], rank, epoch, order))).await;
        rounds += u32::from(finish.is_held());
        let quick = finish.is_held() && rounds <= QUICK;
        time::sleep(if quick { LOOK } else { WATCH }).await;
    }
    log::info!(
        epoch = epoch,
        map = version,
        held = finish.is_held(),
        done = finish.is_done(),
        rounds = rounds,
        took_ms = began.elapsed().as_millis() as u64;
        "rescue ends"
    );
}

/// Reads an engine's report; `None` if it does not answer, which the next round asks again.
async fn look(engine: &dyn Engine, rank: usize) -> Option<Report> {
    match time::timeout(ANSWER, engine.report()).await {
        Ok(Ok(report)) => Some(report),
        Ok(Err(e)) => {
            log::debug!(rank = rank, reason:% = format!("{e:#}"); "rescue: no report");
            None
        }
        Err(_) => {
            log::debug!(rank = rank; "rescue: no report in time");
            None
        }
    }
}

async fn give(engine: &dyn Engine, rank: usize, epoch: Epoch, order: Order) {
    let text = format!("{order:?}");
    match time::timeout(ANSWER, engine.order(epoch, order)).await {
        Ok(Ok(reply)) => log::info!(rank = rank, order = text, outcome:? = reply; "rescue: order"),
        Ok(Err(e)) => {
            log::debug!(rank = rank, order = text, reason:% = format!("{e:#}"); "rescue: order");
        }
        Err(_) => log::debug!(rank = rank, order = text; "rescue: order has no answer in time"),
    }
}
