use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::Context as _;
use conf::Position;
use tarpc::context;
use tokio::{
    task::JoinHandle,
    time::{self, Instant},
};
use wire::{ControlClient, Heartbeat, Link, Member, Tls};

use crate::{Follower, Local};

/// Limit on the time for establishing a link, and for the answer to a heartbeat.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Tolerance on top of the heartbeat interval and [`ANSWER_TIMEOUT`] before a link counts as stale.
const STALE_MARGIN: Duration = Duration::from_millis(300);
/// Limit on the time for the answer to a call that transfers a page of the configuration log.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay of a requested heartbeat, which merges requests that follow each other closely.
const REQUEST_DELAY: Duration = Duration::from_millis(20);
/// Delay before the first retry of a failed connection attempt; it doubles with each retry.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Limit on the delay between two connection attempts.
const RETRY_DELAY_LIMIT: Duration = Duration::from_secs(1);

/// Receives the events of a set of links.
pub trait Observer: Send + Sync {
    /// A peer answered a heartbeat; the first answer on a link means that it is established.
    fn on_heartbeat(&self, address: SocketAddr, heartbeat: &Heartbeat);
    /// The link to an address broke.
    fn on_disconnect(&self, address: SocketAddr);
    /// A peer listed the processes that it knows; ignored by default.
    fn on_members(&self, members: Vec<Member>) {
        drop(members);
    }
}

/// Keeps a link to each address of a set, and reconnects those that break.
///
/// Lock order: `table` is the only lock and is never held across an await.
#[derive(Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

struct Shared {
    tls: Tls,
    local: Local,
    follower: Follower,
    observer: Arc<dyn Observer>,
    heartbeat_interval: Duration,
    table: Mutex<HashMap<SocketAddr, State>>,
}

/// State of the link to one address.
struct State {
    task: JoinHandle<()>,
    /// `None` while the link is not established.
    link: Option<Link>,
    /// Time of the last heartbeat that the peer answered, or of the addition of the address.
    last_answer: Instant,
}

impl Drop for State {
    fn drop(&mut self) {
        self.task.abort();
        if let Some(link) = &self.link {
            link.close();
        }
    }
}

impl Links {
    /// Creates an empty set of links.
    #[must_use]
    pub fn new(
        tls: Tls,
        local: Local,
        follower: Follower,
        observer: Arc<dyn Observer>,
        heartbeat_interval: Duration,
    ) -> Self {
        let shared = Shared {
            tls,
            local,
            follower,
            observer,
            heartbeat_interval,
            table: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Sets the addresses to link to, and closes the links to other addresses.
    pub fn set_addresses(&self, addresses: &[SocketAddr]) {
        let Ok(mut table) = self.shared.table.lock() else {
            return;
        };
        table.retain(|address, _| addresses.contains(address));
        for address in addresses {
            table.entry(*address).or_insert_with(|| {
                let task = tokio::spawn(maintain(self.shared.clone(), *address));
                State {
                    task,
                    link: None,
                    last_answer: Instant::now(),
                }
            });
        }
    }

    /// Returns the link to an address, if it is established and not stale.
    ///
    /// After a pause of the process, its links may have broken without notice; they stay unused
    /// until the next heartbeat is answered.
    #[must_use]
    pub fn get(&self, address: SocketAddr) -> Option<Link> {
        let table = self.shared.table.lock().ok()?;
        let state = table.get(&address)?;
        let limit = self.shared.heartbeat_interval + ANSWER_TIMEOUT + STALE_MARGIN;
        (state.last_answer.elapsed() <= limit).then(|| state.link.clone())?
    }
}

impl Shared {
    fn set_link(&self, address: SocketAddr, link: Option<Link>) {
        let Ok(mut table) = self.table.lock() else {
            return;
        };
        if let Some(state) = table.get_mut(&address) {
            state.link = link;
        }
    }

    /// Records that the peer at an address has just answered a heartbeat.
    fn record_answer(&self, address: SocketAddr) {
        let Ok(mut table) = self.table.lock() else {
            return;
        };
        if let Some(state) = table.get_mut(&address) {
            state.last_answer = Instant::now();
        }
    }

    /// Exchanges a heartbeat, and then pulls or pushes the log records that one side lacks.
    async fn exchange_heartbeat(
        &self,
        peer: &ControlClient,
        address: SocketAddr,
    ) -> anyhow::Result<()> {
        let call = peer.beat(context::current(), self.local.heartbeat());
        let heartbeat = time::timeout(ANSWER_TIMEOUT, call)
            .await
            .context("heartbeat timed out")??;
        self.local.observe(&heartbeat);
        self.follower.observe_heartbeat(&heartbeat);
        self.observer.on_heartbeat(address, &heartbeat);
        self.record_answer(address);
        if heartbeat.position > self.follower.position() {
            self.pull_records(peer, heartbeat.position).await
        } else {
            self.push_records(peer, heartbeat.position).await
        }
    }

    /// Pulls records up to the peer's position, unless another link is pulling already.
    async fn pull_records(&self, peer: &ControlClient, position: Position) -> anyhow::Result<()> {
        let Ok(_guard) = self.follower.pull_lock().try_lock() else {
            return Ok(());
        };
        while self.follower.position() < position {
            let call = peer.records(context::current(), self.follower.position());
            let page = time::timeout(PAGE_TIMEOUT, call)
                .await
                .context("request for log records timed out")??;
            let Some(page) = page else {
                break;
            };
            if self.follower.apply(&page) == 0 {
                break;
            }
        }
        Ok(())
    }

    /// Pushes the records after the peer's position.
    async fn push_records(&self, peer: &ControlClient, position: Position) -> anyhow::Result<()> {
        let mut reached = position;
        while let Some(page) = self.follower.page(reached) {
            let call = peer.teach(context::current(), page);
            let applied = time::timeout(PAGE_TIMEOUT, call)
                .await
                .context("transfer of log records timed out")??;
            if applied <= reached {
                break;
            }
            reached = applied;
        }
        Ok(())
    }

    async fn fetch_members(&self, peer: &ControlClient) -> anyhow::Result<()> {
        let call = peer.members(context::current());
        let members = time::timeout(ANSWER_TIMEOUT, call)
            .await
            .context("request for members timed out")??;
        self.observer.on_members(members);
        Ok(())
    }
}

/// Connects, exchanges heartbeats until the link breaks, and reconnects; never returns.
async fn maintain(shared: Arc<Shared>, address: SocketAddr) {
    let mut delay = RETRY_DELAY;
    loop {
        match time::timeout(ANSWER_TIMEOUT, Link::connect(address, &shared.tls)).await {
            Ok(Ok(link)) => {
                delay = RETRY_DELAY;
                let reason = exchange_heartbeats(&shared, address, &link).await;
                log::info!("link to {address} lost: {reason:#}");
                link.close();
                shared.set_link(address, None);
                shared.observer.on_disconnect(address);
            }
            Ok(Err(e)) => log::debug!("cannot connect to {address}: {e:#}"),
            Err(_) => log::debug!("connection to {address} timed out"),
        }
        time::sleep(delay).await;
        delay = (delay * 2).min(RETRY_DELAY_LIMIT);
    }
}

/// Exchanges heartbeats until one fails or the link closes, and returns the reason.
async fn exchange_heartbeats(shared: &Shared, address: SocketAddr, link: &Link) -> anyhow::Error {
    let peer = match link.open_control().await {
        Ok(peer) => peer,
        Err(e) => return e.into(),
    };
    let mut requests = shared.follower.heartbeat_requests();
    let mut counted_bytes = 0;
    if let Err(e) = establish(shared, &peer, address).await {
        return e;
    }
    shared.set_link(address, Some(link.clone()));
    let mut ticks = time::interval(shared.heartbeat_interval);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Ok(()) = requests.changed() => time::sleep(REQUEST_DELAY).await,
            () = link.closed() => return anyhow::anyhow!("closed by the peer or timed out"),
        }
        requests.mark_unchanged();
        if let Err(e) = shared.exchange_heartbeat(&peer, address).await {
            return e;
        }
        let traffic = link.traffic();
        shared.follower.count_traffic(traffic - counted_bytes);
        counted_bytes = traffic;
    }
}

/// Exchanges the first heartbeat and fetches the members that the peer knows.
async fn establish(
    shared: &Shared,
    peer: &ControlClient,
    address: SocketAddr,
) -> anyhow::Result<()> {
    shared.exchange_heartbeat(peer, address).await?;
    shared.fetch_members(peer).await
}
