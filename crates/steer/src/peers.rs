use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::Context as _;
use futures::StreamExt as _;
use node::rpc;
use smol_str::SmolStr;
use tarpc::{
    client, context,
    server::{BaseChannel, Channel as _},
};
use tokio::{
    net::TcpListener,
    sync::Mutex as AsyncMutex,
    time::{self, Instant},
};

use crate::{
    Decision, Group, Instructions, Lead, Status, Tuning,
    engine::{Epoch, Version},
};

/// Time in which the leader must be connected to, and in which it must answer.
const PATIENCE: Duration = Duration::from_millis(600);

/// Silence of the leader from which the first of its deputies completes a change, and then each
/// further one; they report every 25 ms during a change.
const SILENT: Duration = Duration::from_millis(400);

/// Calls of ranks to the leader of their group.
#[tarpc::service]
trait Meet {
    /// Reports a rank and returns what it is to do.
    async fn meet(group: SmolStr, rank: usize, status: Status) -> Option<Instructions>;
}

/// Connects the agents of a group with the one that leads.
///
/// Lock order: `led`, `leaders` and `standby` are each taken alone and never held across an await.
pub(crate) struct Crew {
    tuning: Tuning,
    /// Group that this agent leads.
    led: Mutex<Option<(SmolStr, Lead)>>,
    /// Change that this agent completes if the leader falls silent.
    standby: Mutex<Option<Standby>>,
    /// Where the leaders of groups are.
    leaders: Mutex<HashMap<SmolStr, (Epoch, SocketAddr)>>,
    /// Connection to the leader.
    link: AsyncMutex<Option<(SocketAddr, MeetClient)>>,
}

/// What the leader told a deputy last.
struct Standby {
    rank: usize,
    decision: Decision,
    heard: Instant,
}

impl Crew {
    pub(crate) fn new(tuning: Tuning) -> Arc<Self> {
        Arc::new(Self {
            tuning,
            led: Mutex::default(),
            standby: Mutex::default(),
            leaders: Mutex::default(),
            link: AsyncMutex::default(),
        })
    }

    /// Notes where the leader of a group is.
    pub(crate) fn found(&self, group: &SmolStr, epoch: Epoch, address: SocketAddr) {
        let mut leaders = self.leaders.lock().unwrap_or_else(PoisonError::into_inner);
        let known = leaders.get(group).copied();
        if known.is_some_and(|(newest, _)| newest > epoch) {
            return;
        }
        if known != Some((epoch, address)) {
            log::info!(group:% = group, epoch = epoch, leader:% = address; "leader found");
            leaders.insert(group.clone(), (epoch, address));
        }
    }

    /// Tells the leader, if it is this agent, what its service's configuration allows.
    pub(crate) fn allow(&self, places: usize, fresh: usize, copy_time: Duration) {
        let mut led = self.led.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, lead)) = led.as_mut() {
            lead.allow(places, fresh, copy_time);
        }
    }

    /// Returns the group that this agent leads, and its life.
    pub(crate) fn leads(&self) -> Option<(SmolStr, Epoch)> {
        let led = self.led.lock().unwrap_or_else(PoisonError::into_inner);
        led.as_ref()
            .map(|(group, lead)| (group.clone(), lead.epoch()))
    }

    /// Reports to the leader; `None` if there is none to report to.
    pub(crate) async fn meet(
        &self,
        group: &Group,
        status: Status,
    ) -> anyhow::Result<Option<Instructions>> {
        if group.rank == 0 {
            return Ok(self.lead(&group.name, 0, status, true));
        }
        self.resign();
        let leader = {
            let leaders = self.leaders.lock().unwrap_or_else(PoisonError::into_inner);
            leaders.get(&group.name).map(|(_, address)| *address)
        };
        let Some(address) = leader else {
            return Ok(None);
        };
        let mut link = self.link.lock().await;
        let client = match link.take() {
            Some((known, client)) if known == address => client,
            _ => connect(address).await?,
        };
        let call = client.meet(context::current(), group.name.clone(), group.rank, status);
        let instructions = time::timeout(PATIENCE, call)
            .await
            .context("no answer in time")??;
        *link = Some((address, client));
        drop(link);
        self.stand_by(group.rank, instructions.as_ref());
        Ok(instructions)
    }

    /// Notes the change that the leader told, in place of what it told before.
    fn stand_by(&self, rank: usize, instructions: Option<&Instructions>) {
        let decision = instructions.and_then(|told| told.decision.clone());
        let mut standby = self.standby.lock().unwrap_or_else(PoisonError::into_inner);
        *standby = decision.map(|decision| Standby {
            rank,
            decision,
            heard: Instant::now(),
        });
    }

    /// Returns the map of the change that this agent completes if the leader falls silent.
    pub(crate) fn decided(&self) -> Option<Version> {
        let standby = self.standby.lock().unwrap_or_else(PoisonError::into_inner);
        standby.as_ref().map(|standby| standby.decision.version)
    }

    /// Returns a decided change that this agent is to complete, since another agent is silent.
    pub(crate) fn overdue(&self, now: Instant) -> Option<Decision> {
        {
            let led = self.led.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some((_, lead)) = led.as_ref() {
                return lead.overdue(now);
            }
        }
        let standby = self.standby.lock().unwrap_or_else(PoisonError::into_inner);
        let standby = standby.as_ref()?;
        let patience = SILENT * u32::try_from(standby.rank).unwrap_or(u32::MAX);
        (now.duration_since(standby.heard) > patience).then(|| standby.decision.clone())
    }

    fn resign(&self) {
        let mut led = self.led.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((group, _)) = led.take() {
            log::info!(group:% = group; "leads no longer");
        }
    }

    /// Takes in a report as the leader.
    fn lead(
        &self,
        group: &SmolStr,
        rank: usize,
        status: Status,
        own: bool,
    ) -> Option<Instructions> {
        let now = Instant::now();
        let mut led = self.led.lock().unwrap_or_else(PoisonError::into_inner);
        if own && led.as_ref().is_none_or(|(name, _)| name != group) {
            log::info!(group:% = group, epoch = status.epoch; "leads");
            let lead = Lead::new(self.tuning, now).first_version(unix_time());
            *led = Some((group.clone(), lead));
        }
        let (name, lead) = led.as_mut()?;
        (name == group).then(|| lead.meet(rank, status, now))
    }
}

#[derive(Clone)]
struct Host(Arc<Crew>);

impl Meet for Host {
    async fn meet(
        self,
        _: context::Context,
        group: SmolStr,
        rank: usize,
        status: Status,
    ) -> Option<Instructions> {
        if rank == 0 {
            return None;
        }
        self.0.lead(&group, rank, status, false)
    }
}

/// Serves the other agents for good.
pub(crate) async fn serve(listener: TcpListener, crew: Arc<Crew>) {
    loop {
        let stream = rpc::accept(&listener).await;
        let channel = BaseChannel::with_defaults(rpc::transport(stream));
        let calls = channel.execute(Host(crew.clone()).serve());
        tokio::spawn(calls.for_each(|call| async {
            tokio::spawn(call);
        }));
    }
}

/// Returns the milliseconds since 1970, which grow from one life of a process to the next.
fn unix_time() -> Version {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    match since {
        Ok(since) => since.as_millis() as Version,
        Err(e) => {
            log::warn!(reason:% = e; "clock stands before 1970: versions start at 1");
            1
        }
    }
}

async fn connect(address: SocketAddr) -> anyhow::Result<MeetClient> {
    let stream = rpc::connect(address, PATIENCE).await?;
    Ok(MeetClient::new(client::Config::default(), rpc::transport(stream)).spawn())
}
