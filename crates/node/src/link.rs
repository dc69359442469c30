use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::Context as _;
use tarpc::context;
use tokio::{
    task::JoinHandle,
    time::{self, Instant},
};
use wire::{ControlClient, Heartbeat, Link, Member, Tls};

use crate::{Follower, Local};

/// Time in which a dial or heartbeat must be answered.
const ANSWER: Duration = Duration::from_millis(1000);
/// Time by which a heartbeat and its answer may be late before a link counts as not heard from.
const SLACK: Duration = Duration::from_millis(300);
/// Time in which a page of the configuration's log must be answered.
const PAGE: Duration = Duration::from_secs(3);
/// Shortest time between two heartbeats on a link, when there is news.
const NEWS: Duration = Duration::from_millis(20);
/// First and longest pause between two dials.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Learns what happens on links.
pub trait Observer: Send + Sync {
    /// A heartbeat came in; the first one of a link tells that it is up.
    fn on_heartbeat(&self, address: SocketAddr, beat: &Heartbeat);
    /// A link went down.
    fn on_disconnect(&self, address: SocketAddr);
    /// The other side of a link told which processes it knows.
    fn on_members(&self, members: Vec<Member>) {
        drop(members);
    }
}

/// Keeps a link to each wanted address, and dials anew those that break.
///
/// Lock order: `table` is the only lock and is never held across an await.
#[derive(Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

struct Shared {
    tls: Tls,
    own: Local,
    follow: Follower,
    observer: Arc<dyn Observer>,
    heartbeat: Duration,
    table: Mutex<HashMap<SocketAddr, Entry>>,
}

struct Entry {
    keeper: JoinHandle<()>,
    link: Option<Link>,
    /// When the other side answered a heartbeat last.
    heard: Instant,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.keeper.abort();
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
        own: Local,
        follow: Follower,
        observer: Arc<dyn Observer>,
        heartbeat: Duration,
    ) -> Self {
        let shared = Shared {
            tls,
            own,
            follow,
            observer,
            heartbeat,
            table: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Sets the addresses to which links are wanted; links to others are closed.
    pub fn set_addresses(&self, wanted: &[SocketAddr]) {
        let Ok(mut table) = self.shared.table.lock() else {
            return;
        };
        table.retain(|address, _| wanted.contains(address));
        for address in wanted {
            table.entry(*address).or_insert_with(|| {
                let keeper = tokio::spawn(keep(self.shared.clone(), *address));
                Entry {
                    keeper,
                    link: None,
                    heard: Instant::now(),
                }
            });
        }
    }

    /// Returns the link to an address, if it is up and was heard from lately.
    ///
    /// A process that was paused wakes up with links that may have died meanwhile; nothing is
    /// sent over them until the next heartbeat shows that they work.
    #[must_use]
    pub fn get(&self, address: SocketAddr) -> Option<Link> {
        let table = self.shared.table.lock().ok()?;
        let entry = table.get(&address)?;
        let silence = self.shared.heartbeat + ANSWER + SLACK;
        (entry.heard.elapsed() <= silence).then(|| entry.link.clone())?
    }
}

impl Shared {
    fn set(&self, address: SocketAddr, link: Option<Link>) {
        let Ok(mut table) = self.table.lock() else {
            return;
        };
        if let Some(entry) = table.get_mut(&address) {
            entry.link = link;
        }
    }

    /// Notes that the other side of a link has just answered.
    fn heard(&self, address: SocketAddr) {
        let Ok(mut table) = self.table.lock() else {
            return;
        };
        if let Some(entry) = table.get_mut(&address) {
            entry.heard = Instant::now();
        }
    }

    async fn beat(&self, client: &ControlClient, address: SocketAddr) -> anyhow::Result<()> {
        let call = client.beat(context::current(), self.own.beat());
        let beat = time::timeout(ANSWER, call)
            .await
            .context("no heartbeat in time")??;
        self.own.observe(&beat);
        self.follow.hear(&beat);
        self.observer.on_heartbeat(address, &beat);
        self.heard(address);
        if beat.position > self.follow.position() {
            self.learn(client, &beat).await
        } else {
            self.teach(client, &beat).await
        }
    }

    /// Pulls what the other side has of the log and this one lacks, unless another link does so now.
    async fn learn(&self, client: &ControlClient, beat: &Heartbeat) -> anyhow::Result<()> {
        let Ok(_pulling) = self.follow.pulling().try_lock() else {
            return Ok(());
        };
        while self.follow.position() < beat.position {
            let call = client.records(context::current(), self.follow.position());
            let page = time::timeout(PAGE, call)
                .await
                .context("no records in time")??;
            let Some(page) = page else {
                break;
            };
            if self.follow.take(&page) == 0 {
                break;
            }
        }
        Ok(())
    }

    /// Hands over what the other side lacks.
    async fn teach(&self, client: &ControlClient, beat: &Heartbeat) -> anyhow::Result<()> {
        let mut reached = beat.position;
        while let Some(page) = self.follow.page(reached) {
            let call = client.teach(context::current(), page);
            let now = time::timeout(PAGE, call)
                .await
                .context("no answer to records in time")??;
            if now <= reached {
                break;
            }
            reached = now;
        }
        Ok(())
    }

    async fn ask_members(&self, client: &ControlClient) -> anyhow::Result<()> {
        let call = client.members(context::current());
        let members = time::timeout(ANSWER, call)
            .await
            .context("no members in time")??;
        self.observer.on_members(members);
        Ok(())
    }
}

/// Dials, exchanges heartbeats until the link breaks, and starts again.
async fn keep(shared: Arc<Shared>, address: SocketAddr) {
    let mut pause = PAUSES.0;
    loop {
        match time::timeout(ANSWER, Link::dial(address, &shared.tls)).await {
            Ok(Ok(link)) => {
                pause = PAUSES.0;
                let end = hold(&shared, address, &link).await;
                log::info!("the link to {address} is lost: {end:#}");
                link.close();
                shared.set(address, None);
                shared.observer.on_disconnect(address);
            }
            Ok(Err(e)) => log::debug!("{address} cannot be dialled: {e:#}"),
            Err(_) => log::debug!("{address} cannot be dialled in time"),
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(PAUSES.1);
    }
}

/// Exchanges heartbeats until one fails, and returns why.
async fn hold(shared: &Shared, address: SocketAddr, link: &Link) -> anyhow::Error {
    let client = match link.open_control().await {
        Ok(client) => client,
        Err(e) => return e.into(),
    };
    let mut news = shared.follow.news();
    let mut told = 0;
    if let Err(e) = first(shared, &client, address).await {
        return e;
    }
    shared.set(address, Some(link.clone()));
    let mut ticks = time::interval(shared.heartbeat);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Ok(()) = news.changed() => time::sleep(NEWS).await,
            () = link.closed() => return anyhow::anyhow!("closed by the other side or silent"),
        }
        news.mark_unchanged();
        if let Err(e) = shared.beat(&client, address).await {
            return e;
        }
        let traffic = link.traffic();
        shared.follow.count_traffic(traffic - told);
        told = traffic;
    }
}

async fn first(shared: &Shared, client: &ControlClient, address: SocketAddr) -> anyhow::Result<()> {
    shared.beat(client, address).await?;
    shared.ask_members(client).await
}
