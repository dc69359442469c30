use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::{self, Instant};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    Connector, Counts, Engine, Instructions, Lists, Order, Reply, Report, Sample,
    announce::Announcer,
    engine::{Epoch, Pass, Version},
    metrics::Metrics,
    peers::Peers,
};

/// Maximum time that the agent's own engine takes to answer a read.
const READ_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum time that an engine takes to accept an order; after a timeout the leader sends the order
/// again, which is harmless.
const ORDER_TIMEOUT: Duration = Duration::from_millis(25);
/// Minimum interval between two reads of the counts.
const MIN_COUNT_INTERVAL: Duration = Duration::from_millis(110);
/// Minimum interval between two reads of the counts, per count, so that the reports of large groups do
/// not saturate their leader's network link.
const COUNT_INTERVAL_PER_COUNT: Duration = Duration::from_micros(130);
/// Delay after an engine or leader did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay while the engine has no group or the group no known leader.
const NO_GROUP_DELAY: Duration = Duration::from_millis(300);
/// Delay between an order and the next report, which shows the order's effect.
const ORDER_EFFECT_DELAY: Duration = Duration::from_millis(3);

/// Report of a rank to the leader of its group.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Status {
    /// Address of the rank's engine.
    pub engine: SocketAddr,
    /// Epoch of the group.
    pub epoch: Epoch,
    /// Number of ranks in the group.
    pub ranks: usize,
    /// Whether the group serves requests.
    pub open: bool,
    /// Pass that the engine began last.
    pub pass: Pass,
    /// Version of the map in use.
    pub map: Version,
    /// Version of the map whose experts are all copied.
    pub prepared: Option<Version>,
    /// Digest of this rank's experts under the prepared map, as by [`digest`].
    pub digest: Option<u64>,
    /// Version of the map that the engine switches to when an agreed pass begins.
    pub armed: Option<Version>,
    /// Pass that the engine does not begin until it is released.
    pub held: Option<Pass>,
    /// Whether the engine is still carrying out an order.
    pub busy: bool,
    /// Version of the decided change that this agent completes if the leader stops responding.
    pub decided: Option<Version>,
    /// Version of the last map that the engine refused to prepare.
    pub refused: Option<Version>,
    /// How often each expert was chosen since the last report, set by set.
    #[serde(rename = "fresh")]
    pub counts: Sample,
    /// Experts of this rank under the map in use, by set; only if the leader asked for them.
    pub list: Option<Vec<Vec<u16>>>,
}

/// Returns a digest of expert sets that is independent of the order within each set.
pub fn digest<'a>(sets: impl Iterator<Item = &'a Vec<u16>>) -> u64 {
    let mut hash = Xxh3::new();
    for set in sets {
        let mut experts = set.clone();
        experts.sort_unstable();
        hash.update(&experts.len().to_le_bytes());
        experts
            .iter()
            .for_each(|expert| hash.update(&expert.to_le_bytes()));
    }
    hash.digest()
}

/// Returns the minimum interval between two reads of this number of counts.
pub(crate) fn count_interval(counts: usize) -> Duration {
    let interval = COUNT_INTERVAL_PER_COUNT * u32::try_from(counts).unwrap_or(u32::MAX);
    interval.max(MIN_COUNT_INTERVAL)
}

/// Reports the state of one engine to its group's leader and sends the leader's orders to the engine.
pub(crate) struct Worker {
    address: SocketAddr,
    engine: Arc<dyn Engine>,
    peers: Arc<Peers>,
    announcer: Arc<Announcer>,
    metrics: Metrics,
    /// Last counts read from the engine; they are cumulative.
    last_counts: Option<Counts>,
    counts_read_at: Option<Instant>,
    /// Choices of each expert that the leader has not received yet, set by set.
    unreported: Vec<u32>,
    /// Lists as last read, with the epoch, map and prepared map that they belong to.
    lists: Option<(Epoch, Version, Option<Version>, Lists)>,
    refused: Option<Version>,
    list_requested: bool,
    /// Whether the engine and the leader answered the last time.
    is_reachable: bool,
}

impl Worker {
    pub(crate) fn new(
        address: SocketAddr,
        connector: &dyn Connector,
        peers: Arc<Peers>,
        announcer: Arc<Announcer>,
        metrics: Metrics,
    ) -> Self {
        Self {
            address,
            engine: connector.engine(address),
            peers,
            announcer,
            metrics,
            last_counts: None,
            counts_read_at: None,
            unreported: Vec::new(),
            lists: None,
            refused: None,
            list_requested: false,
            is_reachable: true,
        }
    }

    /// Reports and carries out orders until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            let delay = match self.report().await {
                Ok(delay) => {
                    self.metrics.reports.with_label_values(&["ok"]).inc();
                    if !std::mem::replace(&mut self.is_reachable, true) {
                        log::info!("engine and leader answer again");
                    }
                    delay
                }
                Err(e) => {
                    self.metrics.reports.with_label_values(&["failed"]).inc();
                    if std::mem::replace(&mut self.is_reachable, false) {
                        log::warn!(reason:% = format!("{e:#}"); "engine or leader does not answer");
                    }
                    RETRY_DELAY
                }
            };
            let is_unplannable = self.peers.leads_unplannable();
            self.metrics.unplannable.set(i64::from(is_unplannable));
            let first_responses = self.peers.take_first_responses();
            self.metrics.first_responses.inc_by(first_responses);
            time::sleep(delay).await;
        }
    }

    /// Reports once, carries out the order in the answer, and returns the delay until the next report.
    async fn report(&mut self) -> anyhow::Result<Duration> {
        let report = time::timeout(READ_TIMEOUT, self.engine.report()).await??;
        let Some(group) = report.group.clone() else {
            return Ok(NO_GROUP_DELAY);
        };
        self.announcer.observe(&group);
        let count_total = self
            .last_counts
            .as_ref()
            .map_or(0, |counts| counts.counts.len());
        let interval = count_interval(count_total);
        let due = self
            .counts_read_at
            .is_none_or(|at| at.elapsed() >= interval);
        if due && group.open {
            self.read_counts().await?;
        }
        let status = self.read_status(&report).await?;
        let Some(instructions) = self.peers.report(&group, status).await? else {
            return Ok(NO_GROUP_DELAY);
        };
        self.unreported.clear();
        let Instructions {
            order, list, pause, ..
        } = instructions;
        self.list_requested = list;
        let Some(order) = order else {
            return Ok(pause);
        };
        self.send_order(group.epoch, order).await;
        Ok(ORDER_EFFECT_DELAY)
    }

    /// Adds the choices since the last read to those that the leader has not received yet.
    async fn read_counts(&mut self) -> anyhow::Result<()> {
        let counts = time::timeout(READ_TIMEOUT, self.engine.counts()).await??;
        self.counts_read_at = Some(Instant::now());
        let last = self.last_counts.replace(counts.clone());
        let Some(last) = last.filter(|last| last.counts.len() == counts.counts.len()) else {
            return Ok(());
        };
        if self.unreported.len() != counts.counts.len() {
            self.unreported = vec![0; counts.counts.len()];
        }
        let pairs = counts.counts.iter().zip(&last.counts);
        for (unreported, (new, old)) in self.unreported.iter_mut().zip(pairs) {
            // Counts restart at zero with the engine.
            let added = new.checked_sub(*old).unwrap_or(*new);
            *unreported = unreported.saturating_add(u32::try_from(added).unwrap_or(u32::MAX));
        }
        Ok(())
    }

    /// Builds the status for a report of the engine; reads the engine's lists if they have changed.
    async fn read_status(&mut self, report: &Report) -> anyhow::Result<Status> {
        let group = report
            .group
            .as_ref()
            .ok_or_else(|| anyhow::anyhow!("the engine has no group"))?;
        let current = (group.epoch, report.map, report.prepared);
        let stale = self
            .lists
            .as_ref()
            .is_none_or(|(epoch, map, prepared, _)| (*epoch, *map, *prepared) != current);
        if stale && (report.prepared.is_some() || self.list_requested) {
            let lists = time::timeout(READ_TIMEOUT, self.engine.lists()).await??;
            self.lists = Some((group.epoch, report.map, report.prepared, lists));
        }
        let lists = self
            .lists
            .as_ref()
            .filter(|(epoch, map, prepared, _)| (*epoch, *map, *prepared) == current);
        let prepared = lists.and_then(|(.., lists)| lists.prepared.as_ref());
        let prepared = prepared.filter(|list| Some(list.version) == report.prepared);
        let map = lists.map(|(.., lists)| &lists.map);
        let map = map.filter(|list| list.version == report.map && self.list_requested);
        Ok(Status {
            engine: self.address,
            epoch: group.epoch,
            ranks: group.size,
            open: group.open,
            pass: report.pass,
            map: report.map,
            prepared: report.prepared,
            digest: prepared.map(|list| digest(list.experts.iter())),
            armed: report.armed,
            held: report.held,
            busy: report.busy,
            decided: self.peers.decided(),
            refused: self.refused,
            counts: Sample::new(&self.unreported),
            list: map.map(|list| list.experts.clone()),
        })
    }

    async fn send_order(&mut self, epoch: Epoch, order: Order) {
        let order_text = match &order {
            Order::Prepare { version, .. } => format!("prepare {version}"),
            Order::Arm { version, pass } => format!("arm {version} at {pass}"),
            Order::Hold { pass } => format!("hold {pass}"),
            Order::Go { pass } => format!("go {pass}"),
        };
        let prepared = match &order {
            Order::Prepare { version, .. } => Some(*version),
            _ => None,
        };
        let outcome = match time::timeout(ORDER_TIMEOUT, self.engine.order(epoch, order)).await {
            Ok(Ok(Reply::Accepted)) => "accepted".to_owned(),
            Ok(Ok(Reply::Refused)) => {
                self.refused = prepared.or(self.refused);
                "refused".to_owned()
            }
            Ok(Err(e)) => format!("unknown: {e:#}"),
            Err(_) => "unknown: no answer in time".to_owned(),
        };
        let outcome_label = outcome.split(':').next().unwrap_or_default();
        self.metrics
            .orders
            .with_label_values(&[outcome_label])
            .inc();
        log::info!(epoch = epoch, order = order_text, outcome = outcome; "order");
    }
}
