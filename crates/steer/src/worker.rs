use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::{self, Instant};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    Connector, Counts, Engine, Instructions, Lists, Order, Reply, Report, Sample,
    crew::Crew,
    engine::{Epoch, Pass, Version},
    metrics::Metrics,
};

/// Time in which an engine beside the agent must answer.
const ANSWER: Duration = Duration::from_millis(250);
/// Time in which an engine takes an order; one that takes longer is given again, which does no harm.
const ORDER: Duration = Duration::from_millis(25);
/// Least time between two reads of what was chosen, and time for each of the counts, so that large
/// groups do not fill their leader's link.
const COUNTING: (Duration, Duration) = (Duration::from_millis(110), Duration::from_micros(130));
/// Pause after an engine or leader did not answer.
const RETRY: Duration = Duration::from_millis(150);
/// Pause while the engine has no group.
const ALONE: Duration = Duration::from_millis(300);
/// Pause after an order, before its effect is read.
const EFFECT: Duration = Duration::from_millis(3);

/// What a rank tells its leader.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Status {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Life of the group.
    pub epoch: Epoch,
    /// Number of ranks.
    pub ranks: usize,
    /// Whether the group serves.
    pub open: bool,
    /// Pass that was begun last.
    pub pass: Pass,
    /// Map in use.
    pub map: Version,
    /// Map whose experts are all copied.
    pub prepared: Option<Version>,
    /// Digest of the prepared map's experts on this rank.
    pub digest: Option<u64>,
    /// Map that the rank goes over to.
    pub armed: Option<Version>,
    /// Pass that is held.
    pub held: Option<Pass>,
    /// Whether the engine carries out an order.
    pub busy: bool,
    /// Map of the decided change that this agent completes if the leader falls silent.
    pub decided: Option<Version>,
    /// Map that the engine refused to prepare.
    pub refused: Option<Version>,
    /// How often each expert was chosen since the last report, set by set.
    #[serde(rename = "fresh")]
    pub fresh: Sample,
    /// Experts under the map in use by set, if asked for.
    pub list: Option<Vec<Vec<u16>>>,
}

/// Returns a number that is the same for equal experts by set, in any order within a set.
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

/// Keeps one engine in touch with its group's leader.
pub(crate) struct Member {
    address: SocketAddr,
    engine: Arc<dyn Engine>,
    crew: Arc<Crew>,
    metrics: Metrics,
    counted: Option<Counts>,
    counted_at: Option<Instant>,
    fresh: Vec<u32>,
    lists: Option<(Epoch, Version, Option<Version>, Lists)>,
    refused: Option<Version>,
    list: bool,
    reached: bool,
}

impl Member {
    /// Creates a member for the engine at an address.
    pub(crate) fn new(
        address: SocketAddr,
        connector: &dyn Connector,
        crew: Arc<Crew>,
        metrics: Metrics,
    ) -> Self {
        Self {
            address,
            engine: connector.engine(address),
            crew,
            metrics,
            counted: None,
            counted_at: None,
            fresh: Vec::new(),
            lists: None,
            refused: None,
            list: false,
            reached: true,
        }
    }

    /// Reports and carries out orders for good.
    pub(crate) async fn run(mut self) {
        loop {
            let pause = match self.turn().await {
                Ok(pause) => {
                    self.metrics.reports.with_label_values(&["ok"]).inc();
                    if !std::mem::replace(&mut self.reached, true) {
                        log::info!("engine and leader answer again");
                    }
                    pause
                }
                Err(e) => {
                    self.metrics.reports.with_label_values(&["failed"]).inc();
                    if std::mem::replace(&mut self.reached, false) {
                        log::warn!(reason:% = format!("{e:#}"); "engine or leader does not answer");
                    }
                    RETRY
                }
            };
            time::sleep(pause).await;
        }
    }

    async fn turn(&mut self) -> anyhow::Result<Duration> {
        let report = time::timeout(ANSWER, self.engine.report()).await??;
        let Some(group) = report.group.clone() else {
            return Ok(ALONE);
        };
        let counts = self
            .counted
            .as_ref()
            .map_or(0, |counts| counts.counts.len());
        let pause = COUNTING.1 * u32::try_from(counts).unwrap_or(u32::MAX);
        let pause = pause.max(COUNTING.0);
        let due = self.counted_at.is_none_or(|at| at.elapsed() >= pause);
        if due && group.open {
            self.count().await?;
        }
        let status = self.status(&report).await?;
        let Some(instructions) = self.crew.meet(&group, status).await? else {
            return Ok(ALONE);
        };
        self.fresh.clear();
        let Instructions {
            order, list, pause, ..
        } = instructions;
        self.list = list;
        let Some(order) = order else {
            return Ok(pause);
        };
        self.carry_out(group.epoch, order).await;
        Ok(EFFECT)
    }

    /// Adds up what was chosen since the leader was last told.
    async fn count(&mut self) -> anyhow::Result<()> {
        let counts = time::timeout(ANSWER, self.engine.counts()).await??;
        self.counted_at = Some(Instant::now());
        let last = self.counted.replace(counts.clone());
        let Some(last) = last.filter(|last| last.counts.len() == counts.counts.len()) else {
            return Ok(());
        };
        if self.fresh.len() != counts.counts.len() {
            self.fresh = vec![0; counts.counts.len()];
        }
        let pairs = counts.counts.iter().zip(&last.counts);
        for (fresh, (new, old)) in self.fresh.iter_mut().zip(pairs) {
            // Counts start anew when the engine does.
            let more = new.checked_sub(*old).unwrap_or(*new);
            *fresh = fresh.saturating_add(u32::try_from(more).unwrap_or(u32::MAX));
        }
        Ok(())
    }

    async fn status(&mut self, report: &Report) -> anyhow::Result<Status> {
        let group = report
            .group
            .as_ref()
            .ok_or_else(|| anyhow::anyhow!("no group"))?;
        let known = (group.epoch, report.map, report.prepared);
        let stale = self
            .lists
            .as_ref()
            .is_none_or(|(e, m, p, _)| (*e, *m, *p) != known);
        if stale && (report.prepared.is_some() || self.list) {
            let lists = time::timeout(ANSWER, self.engine.lists()).await??;
            self.lists = Some((group.epoch, report.map, report.prepared, lists));
        }
        let lists = self
            .lists
            .as_ref()
            .filter(|(e, m, p, _)| (*e, *m, *p) == known);
        let prepared = lists.and_then(|(.., lists)| lists.prepared.as_ref());
        let prepared = prepared.filter(|list| Some(list.version) == report.prepared);
        let map = lists.map(|(.., lists)| &lists.map);
        let map = map.filter(|list| list.version == report.map && self.list);
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
            decided: self.crew.decided(),
            refused: self.refused,
            fresh: Sample::new(&self.fresh),
            list: map.map(|list| list.experts.clone()),
        })
    }

    async fn carry_out(&mut self, epoch: Epoch, order: Order) {
        let name = match &order {
            Order::Prepare { version, .. } => format!("prepare {version}"),
            Order::Arm { version, pass } => format!("arm {version} at {pass}"),
            Order::Hold { pass } => format!("hold {pass}"),
            Order::Go { pass } => format!("go {pass}"),
        };
        let prepared = match &order {
            Order::Prepare { version, .. } => Some(*version),
            _ => None,
        };
        let outcome = match time::timeout(ORDER, self.engine.order(epoch, order)).await {
            Ok(Ok(Reply::Accepted)) => "accepted".to_owned(),
            Ok(Ok(Reply::Refused)) => {
                self.refused = prepared.or(self.refused);
                "refused".to_owned()
            }
            Ok(Err(e)) => format!("unknown: {e:#}"),
            Err(_) => "unknown: no answer in time".to_owned(),
        };
        let kind = outcome.split(':').next().unwrap_or_default();
        self.metrics.orders.with_label_values(&[kind]).inc();
        log::info!(epoch = epoch, order = name, outcome = outcome; "order");
    }
}
