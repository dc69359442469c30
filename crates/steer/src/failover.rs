use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use tokio::time::{self, Instant};

use crate::{Connector, Decision, Engine, Order, Report, Takeover, engine::Epoch, peers::Peers};

/// Interval between two checks for unresponsive agents, and delay after a fast round of orders.
const FAST_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of fast rounds; an engine that has not answered by then is down or unreachable.
const FAST_ROUNDS: u32 = 6;
/// Delay after each later round, and after each check for a held pass; both call another VM.
const SLOW_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time that an engine on another VM takes to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a failover is abandoned: late orders are carried out within 12 s.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(15);

/// Completes decided map changes of unresponsive agents until the process ends.
pub(crate) async fn run(peers: Arc<Peers>, connector: Arc<dyn Connector>) {
    let mut last_completed = None;
    loop {
        time::sleep(FAST_INTERVAL).await;
        let overdue = peers.overdue(Instant::now());
        let Some(decision) = overdue.filter(|decision| last_completed.as_ref() != Some(decision))
        else {
            continue;
        };
        complete(&peers, decision.clone(), &*connector).await;
        last_completed = Some(decision);
    }
}

async fn complete(peers: &Peers, decision: Decision, connector: &dyn Connector) {
    let (epoch, version) = (decision.epoch, decision.version);
    log::warn!(epoch = epoch, map = version; "failover started: an agent does not respond during a switch");
    let started_at = Instant::now();
    let engines: Vec<_> = decision
        .engines
        .iter()
        .map(|address| connector.engine(*address))
        .collect();
    let mut takeover = Takeover::new(decision.clone());
    let overdue = || {
        peers
            .overdue(Instant::now())
            .is_some_and(|now| now == decision)
    };
    // Rounds in which the first rank was known to hold a pass.
    let mut rounds = 0;
    while !takeover.is_done() && overdue() && started_at.elapsed() < FAILOVER_TIMEOUT {
        // Armed ranks need no further reads, except for the first, which holds the pass.
        let ranks: Vec<usize> = (0..engines.len())
            .filter(|rank| *rank == 0 || takeover.next_order(*rank).is_some())
            .collect();
        let reports = ranks
            .iter()
            .map(|rank| read_report(&*engines[*rank], *rank));
        for (rank, report) in ranks.iter().zip(join_all(reports).await) {
            if let Some(report) = report {
                takeover.record_report(*rank, &report);
            }
        }
        let orders = ranks
            .iter()
            .filter_map(|rank| Some((*rank, takeover.next_order(*rank)?)));
        join_all(orders.map(|(rank, order)| send_order(&*engines[rank], rank, epoch, order))).await;
        rounds += u32::from(takeover.is_held());
        let fast = takeover.is_held() && rounds <= FAST_ROUNDS;
        time::sleep(if fast { FAST_INTERVAL } else { SLOW_INTERVAL }).await;
    }
    log::info!(
        epoch = epoch,
        map = version,
        held = takeover.is_held(),
        done = takeover.is_done(),
        rounds = rounds,
        took_ms = started_at.elapsed().as_millis() as u64;
        "failover ended"
    );
}

/// Reads an engine's report; `None` if it does not answer, since the next round reads it again.
async fn read_report(engine: &dyn Engine, rank: usize) -> Option<Report> {
    match time::timeout(ANSWER_TIMEOUT, engine.report()).await {
        Ok(Ok(report)) => Some(report),
        Ok(Err(e)) => {
            log::debug!(rank = rank, reason:% = format!("{e:#}"); "failover: reading the report failed");
            None
        }
        Err(_) => {
            log::debug!(rank = rank; "failover: reading the report timed out");
            None
        }
    }
}

async fn send_order(engine: &dyn Engine, rank: usize, epoch: Epoch, order: Order) {
    let order_text = format!("{order:?}");
    match time::timeout(ANSWER_TIMEOUT, engine.order(epoch, order)).await {
        Ok(Ok(reply)) => {
            log::info!(rank = rank, order = order_text, outcome:? = reply; "failover: order answered");
        }
        Ok(Err(e)) => {
            log::debug!(rank = rank, order = order_text, reason:% = format!("{e:#}"); "failover: order failed");
        }
        Err(_) => log::debug!(rank = rank, order = order_text; "failover: order timed out"),
    }
}
