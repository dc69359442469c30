use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::Context as _;
use expert::Placement;
use futures::StreamExt as _;
use node::rpc;
use serde::{Deserialize, Serialize};
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
    Decision, Delta, Group, Instructions, Leader, Order, Status, Tuning,
    engine::{Epoch, Version},
};

/// Maximum time to connect to the leader, and maximum time for its answer.
const LEADER_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without an answer of the leader after which its first standby completes a change; each further
/// standby waits as long again. Standbys report every 25 ms during a change.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of placements that an agent remembers: the one in use and those that may replace it.
const MAX_PLACEMENTS: usize = 4;

/// RPC service that the leader of a group offers to the other ranks.
#[tarpc::service]
trait Reporting {
    /// Reports the status of a rank, and the version of a placement that it needs whole, if any;
    /// returns the leader's instructions.
    async fn meet(
        group: SmolStr,
        rank: usize,
        status: Status,
        unknown: Option<Version>,
    ) -> Option<Answer>;
}

/// Instructions of the leader as they are sent to another agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Answer {
    instructions: Instructions,
    /// Version and differences of a placement to be prepared, in place of an order.
    prepare: Option<(Version, Delta)>,
}

impl Answer {
    /// Replaces the placement of an order by its differences from the one in use, if that is known.
    fn new(mut instructions: Instructions, leader: &Leader) -> Self {
        let prepare = match &instructions.order {
            Some(Order::Prepare { version, placement }) => {
                leader.delta(placement).map(|delta| (*version, delta))
            }
            _ => None,
        };
        if prepare.is_some() {
            instructions.order = None;
        }
        Self {
            instructions,
            prepare,
        }
    }
}

/// Placements that this agent was sent, which later ones are described by.
#[derive(Debug, Default)]
struct Placements {
    /// Version and placement, oldest first.
    known: VecDeque<(Version, Placement)>,
    /// Version that a description is based on and this agent does not know.
    unknown: Option<Version>,
}

impl Placements {
    /// Resolves the order in an answer; an order whose placement cannot be resolved is left out.
    fn resolve(&mut self, answer: Answer) -> Instructions {
        let Answer {
            mut instructions,
            prepare,
        } = answer;
        if let Some((version, delta)) = prepare {
            let base = match delta.base {
                0 => Some(delta.initial()),
                base => {
                    let known = self.known.iter().find(|(version, _)| *version == base);
                    known.map(|(_, placement)| placement.clone())
                }
            };
            match base.and_then(|base| delta.apply(&base)) {
                Some(placement) => instructions.order = Some(Order::Prepare { version, placement }),
                None => {
                    log::info!(map = version, base = delta.base; "map is asked for as a whole");
                    self.unknown = Some(delta.base);
                }
            }
        }
        if let Some(Order::Prepare { version, placement }) = &instructions.order {
            self.unknown = None;
            self.known.push_back((*version, placement.clone()));
            if self.known.len() > MAX_PLACEMENTS {
                self.known.pop_front();
            }
        }
        instructions
    }
}

/// Connection of this agent to the other agents of its group, as leader, standby or other rank.
///
/// Lock order: `led`, `leaders`, `standby` and `placements` are each taken alone and never held across an await.
pub(crate) struct Peers {
    tuning: Tuning,
    /// Group that this agent leads.
    led: Mutex<Option<(SmolStr, Leader)>>,
    /// Change that this agent completes if the leader stops responding.
    standby: Mutex<Option<Standby>>,
    /// Epoch and leader's address by group, as announced.
    leaders: Mutex<HashMap<SmolStr, (Epoch, SocketAddr)>>,
    placements: Mutex<Placements>,
    /// Connection to the leader.
    connection: AsyncMutex<Option<(SocketAddr, ReportingClient)>>,
}

/// Decision that the leader last sent to this agent as a standby.
struct Standby {
    rank: usize,
    decision: Decision,
    received_at: Instant,
}

impl Peers {
    pub(crate) fn new(tuning: Tuning) -> Arc<Self> {
        Arc::new(Self {
            tuning,
            led: Mutex::default(),
            standby: Mutex::default(),
            leaders: Mutex::default(),
            placements: Mutex::default(),
            connection: AsyncMutex::default(),
        })
    }

    /// Records the address of a group's leader, unless a newer epoch is known.
    pub(crate) fn record_leader(&self, group: &SmolStr, epoch: Epoch, address: SocketAddr) {
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

    /// Passes the limits of the service's configuration to the leader, if this agent leads.
    pub(crate) fn set_limits(
        &self,
        experts_per_set: usize,
        new_experts_per_set: usize,
        copy_time: Duration,
    ) {
        let mut led = self.led.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, leader)) = led.as_mut() {
            leader.set_limits(experts_per_set, new_experts_per_set, copy_time);
        }
    }

    /// Passes the base duration of a pass and the tightest gap target of the service's routes to the
    /// leader, if this agent leads.
    pub(crate) fn set_gap_target(&self, base_pass_time: Duration, gap_target: Option<Duration>) {
        let mut led = self.led.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, leader)) = led.as_mut() {
            leader.set_gap_target(base_pass_time, gap_target);
        }
    }

    /// Returns how many first responses this agent has begun as leader since the last call.
    pub(crate) fn take_first_responses(&self) -> u64 {
        let mut led = self.led.lock().unwrap_or_else(PoisonError::into_inner);
        led.as_mut()
            .map_or(0, |(_, leader)| leader.take_first_responses())
    }

    /// Returns the group that this agent leads, and its epoch.
    pub(crate) fn led_group(&self) -> Option<(SmolStr, Epoch)> {
        let led = self.led.lock().unwrap_or_else(PoisonError::into_inner);
        led.as_ref()
            .map(|(group, leader)| (group.clone(), leader.epoch()))
    }

    /// Returns whether this agent leads a group for which it cannot plan.
    pub(crate) fn leads_unplannable(&self) -> bool {
        let led = self.led.lock().unwrap_or_else(PoisonError::into_inner);
        led.as_ref()
            .is_some_and(|(_, leader)| leader.is_unplannable(Instant::now()))
    }

    /// Returns the addresses of the engines of all ranks, if this agent leads the group and knows them.
    pub(crate) fn engines(&self, group: &Group) -> Vec<SocketAddr> {
        let led = self.led.lock().unwrap_or_else(PoisonError::into_inner);
        let leader = led
            .as_ref()
            .filter(|(name, leader)| *name == group.name && leader.epoch() == group.epoch);
        leader
            .and_then(|(_, leader)| leader.engines())
            .unwrap_or_default()
    }

    /// Reports to the leader; `None` if no leader is known or it does not lead this group.
    pub(crate) async fn report(
        &self,
        group: &Group,
        status: Status,
    ) -> anyhow::Result<Option<Instructions>> {
        if group.rank == 0 {
            return Ok(self.handle_report(&group.name, 0, status, true));
        }
        self.stop_leading();
        let leader = {
            let leaders = self.leaders.lock().unwrap_or_else(PoisonError::into_inner);
            leaders.get(&group.name).map(|(_, address)| *address)
        };
        let Some(address) = leader else {
            return Ok(None);
        };
        let mut connection = self.connection.lock().await;
        let client = match connection.take() {
            Some((known, client)) if known == address => client,
            _ => connect(address).await?,
        };
        let unknown = self.placements().unknown;
        let call = client.meet(
            context::current(),
            group.name.clone(),
            group.rank,
            status,
            unknown,
        );
        let answer = time::timeout(LEADER_TIMEOUT, call)
            .await
            .context("the leader did not answer in time")??;
        *connection = Some((address, client));
        drop(connection);
        let instructions = answer.map(|answer| self.placements().resolve(answer));
        self.update_standby(group.rank, instructions.as_ref());
        Ok(instructions)
    }

    fn placements(&self) -> MutexGuard<'_, Placements> {
        // Placements are replaced whole, so a panic leaves a valid list.
        self.placements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the decision that this agent knows as a standby with the one in the leader's answer, if any.
    fn update_standby(&self, rank: usize, instructions: Option<&Instructions>) {
        let decision = instructions.and_then(|instructions| instructions.decision.clone());
        let mut standby = self.standby.lock().unwrap_or_else(PoisonError::into_inner);
        *standby = decision.map(|decision| Standby {
            rank,
            decision,
            received_at: Instant::now(),
        });
    }

    /// Returns the map version of the change that this agent completes if the leader stops responding.
    pub(crate) fn decided(&self) -> Option<Version> {
        let standby = self.standby.lock().unwrap_or_else(PoisonError::into_inner);
        standby.as_ref().map(|standby| standby.decision.version)
    }

    /// Returns the decided change that this agent must complete, since another agent does not respond.
    pub(crate) fn overdue(&self, now: Instant) -> Option<Decision> {
        {
            let led = self.led.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some((_, leader)) = led.as_ref() {
                return leader.overdue(now);
            }
        }
        let standby = self.standby.lock().unwrap_or_else(PoisonError::into_inner);
        let standby = standby.as_ref()?;
        let timeout = SILENCE_TIMEOUT * u32::try_from(standby.rank).unwrap_or(u32::MAX);
        (now.duration_since(standby.received_at) > timeout).then(|| standby.decision.clone())
    }

    fn stop_leading(&self) {
        let mut led = self.led.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((group, _)) = led.take() {
            log::info!(group:% = group; "no longer leads");
        }
    }

    /// Processes a report as the leader; a report of this agent's own rank makes it the leader.
    fn handle_report(
        &self,
        group: &SmolStr,
        rank: usize,
        status: Status,
        is_own: bool,
    ) -> Option<Instructions> {
        let now = Instant::now();
        let mut led = self.led.lock().unwrap_or_else(PoisonError::into_inner);
        if is_own && led.as_ref().is_none_or(|(name, _)| name != group) {
            log::info!(group:% = group, epoch = status.epoch; "leads");
            let leader = Leader::new(self.tuning, now).min_version(unix_time_ms());
            *led = Some((group.clone(), leader));
        }
        let (name, leader) = led.as_mut()?;
        (name == group).then(|| leader.handle_report(rank, status, now))
    }
}

#[derive(Clone)]
struct Server(Arc<Peers>);

impl Reporting for Server {
    async fn meet(
        self,
        _: context::Context,
        group: SmolStr,
        rank: usize,
        status: Status,
        unknown: Option<Version>,
    ) -> Option<Answer> {
        if rank == 0 {
            return None;
        }
        let instructions = self.0.handle_report(&group, rank, status, false)?;
        if unknown.is_some() {
            return Some(Answer {
                instructions,
                prepare: None,
            });
        }
        let led = self.0.led.lock().unwrap_or_else(PoisonError::into_inner);
        let (_, leader) = led.as_ref()?;
        Some(Answer::new(instructions, leader))
    }
}

/// Serves calls of the other agents until the process ends.
pub(crate) async fn serve(listener: TcpListener, peers: Arc<Peers>) {
    let listener = rpc::Listener::new(listener);
    loop {
        let (stream, slot) = listener.accept().await;
        let channel = BaseChannel::with_defaults(rpc::transport(stream));
        let calls = channel.execute(Server(peers.clone()).serve());
        let served = calls.for_each(|call| async {
            tokio::spawn(call);
        });
        tokio::spawn(async move {
            tokio::select! {
                () = served => {}
                () = slot.revoked() => {}
            }
        });
    }
}

/// Returns the Unix time in milliseconds, which is higher after each restart of a process.
fn unix_time_ms() -> Version {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    match elapsed {
        Ok(elapsed) => elapsed.as_millis() as Version,
        Err(e) => {
            log::warn!(reason:% = e; "system clock is before 1970; map versions start at 1");
            1
        }
    }
}

async fn connect(address: SocketAddr) -> anyhow::Result<ReportingClient> {
    let stream = rpc::connect(address, LEADER_TIMEOUT).await?;
    Ok(ReportingClient::new(client::Config::default(), rpc::transport(stream)).spawn())
}
