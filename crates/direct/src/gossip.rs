use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use anyhow::Context as _;
use conf::id;
use fleet::{Follow, Revision};
use rand::seq::IteratorRandom as _;
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    time::{self, Instant},
};

use crate::{
    Load, Settings,
    call::Context,
    suspect::{Crash, Fingerprint},
    sync,
};

/// Time between two looks at what is new to tell.
const TICK: Duration = Duration::from_millis(100);
/// Longest time between two messages to another entry when nothing is new.
const QUIET: Duration = Duration::from_millis(700);
/// Entries that one tick tells at most; with more entries each hears less often.
const FANOUT: usize = 12;
/// Time without a message after which another entry no longer counts.
const SILENT: Duration = Duration::from_secs(8);
/// Time between two messages to a seed that was not heard.
const SEED_PAUSE: Duration = Duration::from_millis(500);
/// Time for which crashes are told.
const CRASHES: Duration = Duration::from_secs(2);
/// Time for which an endpoint that is gone is told.
const MISSING: Duration = Duration::from_millis(600);
/// Time that the store gets to tell what another entry knows already.
const LAG: Duration = Duration::from_millis(150);
/// Addresses of other entries in one message.
const NAMED: usize = 16;
/// Endpoints in one message, so that it stays within one packet.
const TOLD: usize = 48;
/// Largest message in bytes.
const LARGEST: usize = 8192;

/// What entries tell each other.
#[derive(Debug, Deserialize, Serialize)]
struct Rumor {
    /// Sender.
    process: id::Process,
    /// TCP address at which the sender teaches what it knows of the store.
    #[serde(rename = "teacher")]
    teacher: SocketAddr,
    /// Newest change of the store that the sender knows.
    #[serde(rename = "newest")]
    newest: Revision,
    /// Requests of the sender at endpoints.
    loads: Vec<(id::Endpoint, Load)>,
    /// Requests under which endpoints broke off lately.
    crashes: Vec<(Fingerprint, Crash)>,
    /// Endpoints that the sender found to be gone, though their entries still stand.
    missing: Vec<id::Endpoint>,
    /// Other entries that the sender knows.
    #[serde(rename = "known")]
    known: Vec<SocketAddr>,
}

struct Member {
    process: id::Process,
    teacher: SocketAddr,
    newest: Revision,
    heard: Instant,
}

/// Exchanges load and news with other entries.
///
/// Lock order: `members` before `seeds`; the locks of [`Context`] and [`Follow`] are taken alone.
pub(crate) struct Gossip {
    socket: UdpSocket,
    process: id::Process,
    own: SocketAddr,
    teacher: SocketAddr,
    follow: Arc<Follow>,
    context: Arc<Context>,
    members: Mutex<HashMap<SocketAddr, Member>>,
    seeds: Mutex<BTreeSet<SocketAddr>>,
}

impl Gossip {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) async fn bind(
        settings: &Settings,
        follow: Arc<Follow>,
        context: Arc<Context>,
    ) -> anyhow::Result<Arc<Self>> {
        let own = settings.listen.gossip;
        let socket = UdpSocket::bind(own)
            .await
            .context("field `listen.gossip`")?;
        let gossip = Self {
            socket,
            process: settings.name.clone(),
            own,
            teacher: settings.listen.peers,
            follow,
            context,
            members: Mutex::default(),
            seeds: Mutex::default(),
        };
        gossip.reseed(&settings.seeds);
        Ok(Arc::new(gossip))
    }

    /// Replaces the entries to ask first; they listen on the same port as this one.
    pub(crate) fn reseed(&self, seeds: &[SocketAddr]) {
        let port = self.own.port();
        let addresses = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
        *lock(&self.seeds) = addresses.filter(|address| *address != self.own).collect();
    }

    /// Exchanges messages for good.
    pub(crate) async fn run(self: Arc<Self>) {
        tokio::spawn(self.clone().listen());
        tokio::spawn(self.clone().catch_up());
        let (mut told, mut told_at, mut seeded) = (Vec::new(), Instant::now(), None);
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = Instant::now();
            self.forget(now);
            let loads = self.context.decide(|desk| desk.own_loads());
            let mut targets = Vec::new();
            if loads != told || now.duration_since(told_at) >= QUIET {
                targets = self.targets();
                (told, told_at) = (loads.clone(), now);
            }
            if seeded.is_none_or(|at| now.duration_since(at) >= SEED_PAUSE) {
                seeded = Some(now);
                targets.extend(self.unheard_seeds());
            }
            if !targets.is_empty() {
                self.tell(loads, &targets, now).await;
            }
        }
    }

    fn targets(&self) -> Vec<SocketAddr> {
        let members = lock(&self.members);
        members.keys().copied().sample(&mut rand::rng(), FANOUT)
    }

    fn unheard_seeds(&self) -> Vec<SocketAddr> {
        let seeds = lock(&self.seeds).clone();
        let members = lock(&self.members);
        seeds
            .into_iter()
            .filter(|seed| !members.contains_key(seed))
            .collect()
    }

    async fn tell(
        &self,
        mut loads: Vec<(id::Endpoint, Load)>,
        targets: &[SocketAddr],
        now: Instant,
    ) {
        loads.truncate(TOLD);
        let (_, newest, _) = self.follow.position();
        let mut missing = self.context.decide(|desk| desk.missing(MISSING, now));
        missing.truncate(TOLD);
        let rumor = Rumor {
            process: self.process.clone(),
            teacher: self.teacher,
            newest,
            loads,
            crashes: self.context.decide(|desk| desk.crashes(CRASHES, now)),
            missing,
            known: lock(&self.members).keys().copied().take(NAMED).collect(),
        };
        let bytes = match rmp_serde::to_vec(&rumor) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::warn!(reason:% = e; "message to other entries cannot be encoded");
                return;
            }
        };
        for target in targets {
            if let Err(e) = self.socket.send_to(&bytes, target).await {
                log::debug!("no message to {target}: {e}");
            }
        }
    }

    async fn listen(self: Arc<Self>) {
        let mut buffer = vec![0; LARGEST];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match rmp_serde::from_slice(&buffer[..length]) {
                    Ok(rumor) => self.hear(rumor, from),
                    Err(e) => log::debug!("unreadable message from {from}: {e}"),
                },
                Err(e) => {
                    log::debug!("message of another entry: {e}");
                    time::sleep(TICK).await;
                }
            }
        }
    }

    fn hear(&self, rumor: Rumor, from: SocketAddr) {
        let now = Instant::now();
        if rumor.process == self.process {
            return;
        }
        let member = Member {
            process: rumor.process.clone(),
            teacher: rumor.teacher,
            newest: rumor.newest,
            heard: now,
        };
        let (known, count) = {
            let mut members = lock(&self.members);
            let known = members.insert(from, member).is_some();
            (known, members.len() + 1)
        };
        if !known {
            log::info!(peer:% = rumor.process, address:% = from; "entry found");
            self.count(count);
        }
        self.context.decide(|desk| {
            desk.hear(&rumor.process, rumor.loads, now);
            for endpoint in &rumor.missing {
                desk.hear_missing(endpoint, now);
            }
            for (fingerprint, crash) in rumor.crashes {
                desk.crashed(fingerprint, crash, now);
            }
        });
        let members = lock(&self.members);
        let mut seeds = lock(&self.seeds);
        let strangers = rumor
            .known
            .into_iter()
            .filter(|a| *a != self.own && !members.contains_key(a));
        let room = NAMED.saturating_sub(seeds.len());
        seeds.extend(strangers.take(room).collect::<Vec<_>>());
    }

    fn forget(&self, now: Instant) {
        let mut lost = Vec::new();
        let count = {
            let mut members = lock(&self.members);
            members.retain(|_, member| {
                let kept = now.duration_since(member.heard) < SILENT;
                if !kept {
                    lost.push(member.process.clone());
                }
                kept
            });
            members.len() + 1
        };
        for process in &lost {
            log::info!(peer:% = process; "entry lost");
        }
        if !lost.is_empty() {
            self.count(count);
        }
    }

    fn count(&self, entries: usize) {
        self.context
            .metrics
            .entries
            .set(i64::try_from(entries).unwrap_or(i64::MAX));
        self.context.decide(|desk| desk.count_entries(entries));
    }

    /// Fetches from other entries what the store does not tell in time.
    async fn catch_up(self: Arc<Self>) {
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut behind: Option<Instant> = None;
        loop {
            ticks.tick().await;
            let (covered, ..) = self.follow.position();
            let Some((process, teacher)) = self.ahead(covered) else {
                behind = None;
                continue;
            };
            let since = *behind.get_or_insert_with(Instant::now);
            if since.elapsed() < LAG {
                continue;
            }
            match sync::fetch(teacher, covered).await {
                Ok(page) => self.follow.take(page, &process),
                Err(e) => {
                    log::info!(peer:% = process, reason:% = format!("{e:#}"); "entry does not teach")
                }
            }
        }
    }

    /// Chooses an entry that knows a change which this one lacks.
    fn ahead(&self, covered: Revision) -> Option<(id::Process, SocketAddr)> {
        let members = lock(&self.members);
        let ahead = members.values().filter(|member| member.newest > covered);
        let chosen = ahead.choose(&mut rand::rng())?;
        Some((chosen.process.clone(), chosen.teacher))
    }
}

/// Takes a lock; the tables behind it stay usable if a holder panicked.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
