use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context as _;
use group::{Datagram, MAX_ENTRIES, REFUSAL_TIME, Socket, Status};
use tokio::time::{self, Instant};

use crate::{
    Settings,
    call::{Context, millis},
    gossip::Gossip,
};

/// Number of entries to which news of a group are passed on.
const FORWARD_FANOUT: usize = 6;
/// Interval at which another entry is asked while no group is known, as after a start.
const ASK_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which another entry is asked for news that were lost.
const REFRESH_INTERVAL: Duration = Duration::from_secs(3);
/// Number of entries that are asked while no group is known.
const ASK_FANOUT: usize = 3;

/// Receives the news of groups that agents send, and passes them on to other entries; has agents remember what is refused.
pub(crate) struct Groups {
    socket: Socket,
    address: SocketAddr,
    context: Arc<Context>,
    gossip: Arc<Gossip>,
}

impl Groups {
    /// Binds the UDP socket.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) async fn bind(
        settings: &Settings,
        context: Arc<Context>,
        gossip: Arc<Gossip>,
    ) -> anyhow::Result<Arc<Self>> {
        let address = settings.listen.groups;
        let socket = Socket::bind(address)
            .await
            .context("field `listen.groups`")?;
        Ok(Arc::new(Self {
            socket,
            address,
            context,
            gossip,
        }))
    }

    /// Sends and receives datagrams; never returns.
    pub(crate) async fn run(self: Arc<Self>) {
        tokio::spawn(self.clone().ask());
        loop {
            let (datagram, from) = self.socket.receive().await;
            self.handle(datagram, from).await;
        }
    }

    /// Asks other entries for the groups that they know.
    async fn ask(self: Arc<Self>) {
        loop {
            let is_empty = self
                .context
                .with_balancer(|balancer| balancer.groups().is_empty());
            let (fanout, interval) = match is_empty {
                true => (ASK_FANOUT, ASK_INTERVAL),
                false => (1, REFRESH_INTERVAL),
            };
            let targets = self.others(fanout);
            self.socket.send(&Datagram::Ask, &targets).await;
            time::sleep(interval.mul_f64(rand::random_range(0.8..1.2))).await;
        }
    }

    async fn handle(&self, datagram: Datagram, from: SocketAddr) {
        match datagram {
            Datagram::Status(status) => {
                if self.record(&status, from) {
                    let targets = self.others(FORWARD_FANOUT);
                    self.socket.send(&Datagram::Status(status), &targets).await;
                }
                if !self.gossip.is_member(from.ip()) {
                    self.answer_agent(from).await;
                }
            }
            Datagram::Ask => {
                let statuses = self
                    .context
                    .with_balancer(|balancer| balancer.groups().statuses());
                for status in statuses {
                    self.socket.send(&Datagram::Status(status), &[from]).await;
                }
            }
            Datagram::Refusals(refusals) => {
                let (count, memory) = (refusals.refused.len(), refusals.memory);
                log::info!(agent:% = from, refused = count, memory_ms = millis(memory); "an agent remembers");
                self.context
                    .with_balancer(|balancer| balancer.merge_refusals(refusals, Instant::now()));
            }
            Datagram::Entries(_) | Datagram::AskRefusals => {
                log::debug!("unexpected datagram from {from}");
            }
        }
    }

    /// Tells an agent where other entries are and what is refused; asks it for the latter while that may be unknown.
    async fn answer_agent(&self, agent: SocketAddr) {
        let others = self.others(MAX_ENTRIES);
        self.socket.send(&Datagram::Entries(others), &[agent]).await;
        let now = Instant::now();
        let refusals = self
            .context
            .with_balancer(|balancer| balancer.refusals(now));
        let is_unsure = refusals.memory < REFUSAL_TIME;
        if !refusals.refused.is_empty() {
            self.socket
                .send(&Datagram::Refusals(refusals), &[agent])
                .await;
        }
        if is_unsure {
            self.socket.send(&Datagram::AskRefusals, &[agent]).await;
        }
    }

    /// Records news of a group; returns whether they changed what is known.
    fn record(&self, status: &Status, from: SocketAddr) -> bool {
        let now = Instant::now();
        let changed = self
            .context
            .with_balancer(|balancer| balancer.record_group(status, now));
        if changed {
            log::info!(
                group:% = status.group,
                epoch = status.epoch,
                open = status.open,
                engines = status.engines.len(),
                from:% = from;
                "group has changed"
            );
        }
        changed
    }

    /// Chooses random other entries.
    fn others(&self, count: usize) -> Vec<SocketAddr> {
        let members = self.gossip.sample(count);
        members
            .into_iter()
            .map(|member| SocketAddr::new(member.ip(), self.address.port()))
            .collect()
    }
}
