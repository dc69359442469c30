use std::{
    collections::{BTreeSet, HashMap},
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use anyhow::Context as _;
use conf::id;
use fleet::{Follower, Revision};
use rand::seq::{IteratorRandom as _, SliceRandom as _};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::{
    net::UdpSocket,
    time::{self, Instant},
};
use wire::Watcher;

use crate::{
    Balancer, Fingerprint, Incarnation, Load, Loss, News, Part, Settings, call::Context,
    dispatch::log_limit, limits, sync, ticks::Ticks, verdicts, watching::Watching,
};

/// Interval at which changes of the local load are checked for and sent.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a message is sent even if the local load has not changed.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(700);
/// Number of ticks in which a new revision is sent even if the local load has not changed.
const CHANGE_TICKS: u32 = 4;
/// Maximum number of entries to which a message is sent per tick; they are chosen at random, so with
/// more entries each gets messages less often.
const FANOUT: usize = 12;
/// Time without a message after which another entry is considered lost.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval of messages to seeds from which no message has come in.
const SEED_INTERVAL: Duration = Duration::from_millis(500);
/// Age up to which missing endpoints are included in messages.
const MISSING_SPAN: Duration = Duration::from_millis(600);
/// Time that the store has to deliver changes that another entry already knows; after that they are
/// fetched from that entry.
const MAX_STORE_LAG: Duration = Duration::from_millis(150);
/// Time between two fetches, so that one returns all changes that follow closely.
const FETCH_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of entries that are asked for the same changes.
const MAX_ASKED: usize = 8;
/// Number of entry addresses in one message; they are chosen at random.
const MAX_ADDRESSES: usize = 4;
/// Largest number of entries that is believed, so that one wrong message does not stop all requests.
const MAX_ENTRIES: usize = 4096;
/// Number up to which seeds are learned from messages.
const MAX_SEEDS: usize = 16;
/// Maximum number of loads, and of missing endpoints, in one message, so that it fits into one packet.
const MAX_ENDPOINTS: usize = 48;
/// Maximum number of leaving endpoints in one message.
const MAX_DEPARTURES: usize = 16;
/// Maximum number of statements of limits in one message.
const MAX_LIMITS: usize = 8;
/// Number of ticks between two hand-overs of credit for endpoints with limits.
const CREDIT_TICKS: u32 = 2;
/// Maximum number of endpoints in a message that hands over credit, so that it fits into one packet.
const MAX_GRANTS: usize = 16;
/// Time without a message after which an entry gets no credit: it may have ended.
const CREDIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Size of the receive buffer, and so of the largest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 8192;

/// Gossip message.
#[serde_as]
#[derive(Debug, Deserialize, Serialize)]
struct Message {
    /// Process name of the sender.
    process: id::Process,
    /// TCP address from which changes can be fetched from the sender.
    #[serde(rename = "teacher")]
    sync_address: SocketAddr,
    /// Newest revision of the store that the sender knows.
    #[serde(rename = "newest")]
    newest_revision: Revision,
    /// Load that the sender puts on each endpoint.
    loads: Vec<(id::Endpoint, Load)>,
    /// Availability zone of the sender.
    zone: id::Zone,
    /// Entries that watch the store for the sender's zone.
    watchers: Vec<Watcher>,
    /// Requests under which endpoints crash.
    suspects: News<Fingerprint>,
    /// Endpoints that the sender found to be missing, although the store still lists them.
    missing: Vec<id::Endpoint>,
    /// Endpoints that stated that they are leaving, with the incarnation that is.
    leaving: Vec<(id::Endpoint, Incarnation)>,
    /// Gossip addresses of other entries that the sender knows.
    #[serde(rename = "known")]
    members: Vec<SocketAddr>,
    /// Prompt parts that are refused, or were cleared of it.
    #[serde(default)]
    parts: News<Part>,
    /// Limits that endpoints state.
    #[serde(default)]
    limits: Vec<limits::Statement>,
    /// Number of entries that the sender is aware of, itself included.
    #[serde(default)]
    entries: usize,
    /// Time since which the store may have accepted changes that the sender does not know.
    #[serde(default)]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    news_age: Option<Duration>,
    /// Endpoints that may have restarted.
    #[serde(default)]
    losses: Vec<Loss>,
    /// Time for which the sender knows which requests crashed endpoints.
    #[serde(default)]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    crash_memory: Duration,
}

/// Message that hands credit for endpoints with limits to its receiver.
#[derive(Debug, Deserialize, Serialize)]
struct Handover {
    credit: Vec<limits::Grant>,
}

/// Message with the evidence against prompt parts, and for them.
#[derive(Debug, Deserialize, Serialize)]
struct Evidence {
    parts: News<Part>,
}

/// Another entry from which messages come in.
struct Member {
    process: id::Process,
    sync_address: SocketAddr,
    newest_revision: Revision,
    zone: id::Zone,
    /// Number of entries that it is aware of.
    entries: usize,
    last_message: Instant,
    /// Time up to which it knew all changes of the store.
    current_at: Option<Instant>,
}

/// Exchanges load, crashes, missing endpoints and store revisions with other entries over UDP.
///
/// Lock order: `members` before `seeds`, `entries` and `ticks` alone; the locks of [`Context`] and [`Follower`] are never taken while
/// another one is held.
pub(crate) struct Gossip {
    socket: UdpSocket,
    process: id::Process,
    zone: id::Zone,
    local_address: SocketAddr,
    sync_address: SocketAddr,
    follower: Arc<Follower>,
    context: Arc<Context>,
    watching: Arc<Watching>,
    members: Mutex<HashMap<SocketAddr, Member>>,
    seeds: Mutex<BTreeSet<SocketAddr>>,
    /// Numbers of entries as last published.
    entries: Mutex<Counts>,
    ticks: Mutex<Ticks>,
}

/// Numbers of entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Counts {
    /// Entries that are known, this one included.
    known: usize,
    /// Those of them in the own zone.
    in_zone: usize,
    /// Largest number that another one is aware of.
    reported: usize,
}

impl Gossip {
    /// Binds the UDP socket.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) async fn bind(
        settings: &Settings,
        follower: Arc<Follower>,
        context: Arc<Context>,
        watching: Arc<Watching>,
    ) -> anyhow::Result<Arc<Self>> {
        let local_address = settings.listen.gossip;
        let socket = UdpSocket::bind(local_address)
            .await
            .context("field `listen.gossip`")?;
        let gossip = Self {
            socket,
            process: settings.name.clone(),
            zone: settings.zone.clone(),
            local_address,
            sync_address: settings.listen.peers,
            follower,
            context,
            watching,
            members: Mutex::default(),
            seeds: Mutex::default(),
            entries: Mutex::new(Counts {
                known: 1,
                in_zone: 1,
                reported: 1,
            }),
            ticks: Mutex::new(Ticks::new(Instant::now())),
        };
        gossip.set_seeds(&settings.seeds);
        Ok(Arc::new(gossip))
    }

    /// Replaces the addresses of entries that are contacted first; the port of each is replaced by that
    /// of this entry.
    pub(crate) fn set_seeds(&self, seeds: &[SocketAddr]) {
        let port = self.local_address.port();
        let addresses = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
        *lock(&self.seeds) = addresses
            .filter(|address| *address != self.local_address)
            .collect();
    }

    /// Sends and receives messages; never returns.
    pub(crate) async fn run(self: Arc<Self>) {
        tokio::spawn(self.clone().receive());
        tokio::spawn(self.clone().catch_up());
        let (mut sent_loads, mut sent_at, mut seeded_at) = (Vec::new(), Instant::now(), None);
        let (mut sent_revision, mut urgent_ticks) = (Revision::default(), 0);
        let (mut sent_limits, mut credit_ticks) = (0, 0);
        let mut sent_confirmations = 0;
        let mut ticks = time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = Instant::now();
            lock(&self.ticks).record(now);
            self.remove_lost(now);
            verdicts::log(&self.context);
            self.log_restarts();
            self.adopt_news_age();
            let loads = self
                .context
                .with_balancer(|balancer| balancer.local_loads());
            let (_, newest_revision, _) = self.follower.position();
            if newest_revision != sent_revision {
                (sent_revision, urgent_ticks) = (newest_revision, CHANGE_TICKS);
            }
            let confirmations = self.watching.confirmations();
            if confirmations != sent_confirmations && self.watching.has_dependents() {
                (sent_confirmations, urgent_ticks) = (confirmations, urgent_ticks.max(1));
            }
            let limit_changes = self
                .context
                .with_balancer(|balancer| balancer.limits().changes());
            if limit_changes != sent_limits {
                (sent_limits, urgent_ticks) = (limit_changes, CHANGE_TICKS);
            }
            credit_ticks += 1;
            if credit_ticks >= CREDIT_TICKS {
                credit_ticks = 0;
                self.hand_over_credit(now).await;
            }
            let is_urgent = urgent_ticks > 0;
            urgent_ticks = urgent_ticks.saturating_sub(1);
            let mut targets = Vec::new();
            if is_urgent
                || loads != sent_loads
                || now.duration_since(sent_at) >= KEEP_ALIVE_INTERVAL
            {
                targets = self.sample(FANOUT);
                (sent_loads, sent_at) = (loads.clone(), now);
            }
            if seeded_at.is_none_or(|at| now.duration_since(at) >= SEED_INTERVAL) {
                seeded_at = Some(now);
                targets.extend(self.unknown_seeds());
            }
            if !targets.is_empty() {
                self.send(loads, &targets, now).await;
            }
        }
    }

    /// Takes over how new the news of others are whose changes are all known here.
    fn adopt_news_age(&self) {
        let (covered, ..) = self.follower.position();
        let latest = lock(&self.members)
            .values()
            .filter(|member| member.newest_revision <= covered)
            .filter_map(|member| member.current_at)
            .max();
        if let Some(at) = latest {
            self.watching.record_reported_current(at);
        }
    }

    /// Chooses the gossip addresses of up to `count` random other entries.
    pub(crate) fn sample(&self, count: usize) -> Vec<SocketAddr> {
        let members = lock(&self.members);
        members.keys().copied().sample(&mut rand::rng(), count)
    }

    /// Returns whether messages come in from an entry at an IP address.
    pub(crate) fn is_member(&self, ip: IpAddr) -> bool {
        let address = SocketAddr::new(ip, self.local_address.port());
        lock(&self.members).contains_key(&address)
    }

    fn unknown_seeds(&self) -> Vec<SocketAddr> {
        let seeds = lock(&self.seeds).clone();
        let members = lock(&self.members);
        seeds
            .into_iter()
            .filter(|seed| !members.contains_key(seed))
            .collect()
    }

    async fn send(
        &self,
        mut loads: Vec<(id::Endpoint, Load)>,
        targets: &[SocketAddr],
        now: Instant,
    ) {
        self.truncate("load", &mut loads);
        let (_, newest_revision, _) = self.follower.position();
        let news = self
            .context
            .with_balancer(|balancer| balancer.part_news(now));
        let (parts, evidence) = news.split();
        let mut missing = self
            .context
            .with_balancer(|balancer| balancer.recently_missing(MISSING_SPAN, now));
        self.truncate("missing", &mut missing);
        let mut message = Message {
            process: self.process.clone(),
            sync_address: self.sync_address,
            newest_revision,
            zone: self.zone.clone(),
            watchers: Vec::new(),
            loads,
            suspects: self
                .context
                .with_balancer(|balancer| balancer.request_news(now)),
            missing,
            leaving: self
                .context
                .with_balancer(|balancer| balancer.recent_departures(MAX_DEPARTURES, now)),
            members: self.sample(MAX_ADDRESSES),
            parts,
            limits: self
                .context
                .with_balancer(|balancer| balancer.limit_news(MAX_LIMITS, now)),
            entries: lock(&self.members).len() + 1,
            news_age: self.watching.news_age(),
            losses: self
                .context
                .with_balancer(|balancer| balancer.loss_news(now)),
            crash_memory: self
                .context
                .with_balancer(|balancer| balancer.crash_memory(now)),
        };
        let (near, far) = self.split_by_zone(targets);
        self.send_to(&message, &far).await;
        // Other zones have watchers of their own.
        message.watchers = self.watching.watchers();
        self.send_to(&message, &near).await;
        for parts in evidence {
            self.send_bytes(rmp_serde::to_vec_named(&Evidence { parts }), targets)
                .await;
        }
    }

    /// Drops and counts what does not fit into a message.
    fn truncate<T>(&self, name: &str, list: &mut Vec<T>) {
        let left_out = list.len().saturating_sub(MAX_ENDPOINTS) as u64;
        list.truncate(MAX_ENDPOINTS);
        let counter = &self.context.metrics.left_out;
        counter.with_label_values(&[name]).inc_by(left_out);
    }

    /// Splits the addresses of other entries into those in the own zone or an unknown one, and the others.
    fn split_by_zone(&self, targets: &[SocketAddr]) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let members = lock(&self.members);
        let is_near = |address: &&SocketAddr| {
            members
                .get(address)
                .is_none_or(|member| member.zone == self.zone)
        };
        targets.iter().partition(is_near)
    }

    /// Hands credit for endpoints with limits to the entries that collect or may use it.
    async fn hand_over_credit(&self, now: Instant) {
        let limited = self
            .context
            .with_balancer(|balancer| balancer.limits().count());
        if limited == 0 {
            return;
        }
        let (addresses, processes): (Vec<SocketAddr>, Vec<id::Process>) = {
            let members = lock(&self.members);
            let is_live =
                |member: &Member| now.duration_since(member.last_message) < CREDIT_TIMEOUT;
            let live = members.iter().filter(|(_, member)| is_live(member));
            live.map(|(address, member)| (*address, member.process.clone()))
                .unzip()
        };
        let handovers = self
            .context
            .with_balancer(|balancer| balancer.hand_over_credit(&self.process, &processes, now));
        for (process, credit) in handovers {
            let index = processes.iter().position(|known| *known == process);
            let Some(address) = index.and_then(|index| addresses.get(index)) else {
                continue;
            };
            for part in credit.chunks(MAX_GRANTS) {
                let credit = part.to_vec();
                self.send_bytes(rmp_serde::to_vec_named(&Handover { credit }), &[*address])
                    .await;
            }
        }
    }

    async fn send_to(&self, message: &Message, targets: &[SocketAddr]) {
        if !targets.is_empty() {
            self.send_bytes(rmp_serde::to_vec(message), targets).await;
        }
    }

    async fn send_bytes(
        &self,
        encoded: Result<Vec<u8>, rmp_serde::encode::Error>,
        targets: &[SocketAddr],
    ) {
        let bytes = match encoded {
            Ok(bytes) => bytes,
            Err(e) => {
                log::warn!(reason:% = e; "gossip message cannot be encoded");
                return;
            }
        };
        for target in targets {
            if let Err(e) = self.socket.send_to(&bytes, target).await {
                log::debug!("gossip message to {target} cannot be sent: {e}");
            }
        }
    }

    async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_MESSAGE_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.handle_bytes(&buffer[..length], from),
                Err(e) => {
                    log::debug!("gossip message cannot be received: {e}");
                    time::sleep(TICK_INTERVAL).await;
                }
            }
        }
    }

    fn handle_bytes(&self, bytes: &[u8], from: SocketAddr) {
        if let Ok(handover) = rmp_serde::from_slice::<Handover>(bytes) {
            let now = Instant::now();
            self.context
                .with_balancer(|balancer| balancer.receive_credit(&handover.credit, now));
            return;
        }
        if let Ok(Evidence { parts }) = rmp_serde::from_slice::<Evidence>(bytes) {
            let now = Instant::now();
            self.context
                .with_balancer(|balancer| balancer.merge_part_news(&parts, now));
            return;
        }
        match rmp_serde::from_slice(bytes) {
            Ok(message) => self.handle(message, from),
            Err(e) => log::debug!("gossip message from {from} cannot be decoded: {e}"),
        }
    }

    fn handle(&self, message: Message, from: SocketAddr) {
        let now = Instant::now();
        if message.process == self.process {
            return;
        }
        let is_recent = lock(&self.ticks).are_messages_recent(now);
        let member = Member {
            process: message.process.clone(),
            sync_address: message.sync_address,
            newest_revision: message.newest_revision,
            zone: message.zone.clone(),
            entries: message.entries,
            last_message: now,
            current_at: message
                .news_age
                .filter(|_| is_recent)
                .and_then(|age| now.checked_sub(age)),
        };
        let known = lock(&self.members).insert(from, member).is_some();
        if !known {
            log::info!(peer:% = message.process, address:% = from; "entry found");
        }
        self.update_entry_count();
        self.watching.observe(&message.watchers);
        let (limit_changes, limited) = self.context.with_balancer(|balancer| {
            let changes = balancer.merge_limits(&message.limits, now);
            (changes, balancer.limits().count())
        });
        for (endpoint, change) in limit_changes {
            let source = format!("peer {}", message.process);
            log_limit(&self.context, &endpoint, &change, &source, limited);
        }
        self.context.with_balancer(|balancer| {
            balancer.record_report(&message.process, message.loads, now);
            for endpoint in &message.missing {
                balancer.record_reported_missing(endpoint, now);
            }
            balancer.merge_request_news(&message.suspects, now);
            balancer.merge_part_news(&message.parts, now);
            balancer.merge_crash_memory(message.crash_memory, now);
            if is_recent {
                balancer.merge_losses(&message.losses, now);
            }
            for (endpoint, incarnation) in message.leaving {
                if balancer.record_reported_departure(&endpoint, incarnation, now) {
                    log::info!(endpoint:% = endpoint, peer:% = message.process; "endpoint is leaving");
                }
            }
        });
        let members = lock(&self.members);
        let mut seeds = lock(&self.seeds);
        let unknown = message
            .members
            .into_iter()
            .filter(|a| *a != self.local_address && !members.contains_key(a));
        let capacity = MAX_SEEDS.saturating_sub(seeds.len());
        seeds.extend(unknown.take(capacity).collect::<Vec<_>>());
    }

    /// Logs which endpoints may have restarted, since the last call.
    fn log_restarts(&self) {
        let restarts = self.context.with_balancer(Balancer::take_restarts);
        for endpoint in restarts {
            log::info!(endpoint:% = endpoint; "endpoint may have restarted; taken for cold");
            self.context.metrics.restarts.inc();
        }
    }

    fn remove_lost(&self, now: Instant) {
        let mut lost = Vec::new();
        lock(&self.members).retain(|_, member| {
            let kept = now.duration_since(member.last_message) < MEMBER_TIMEOUT;
            if !kept {
                lost.push(member.process.clone());
            }
            kept
        });
        for process in &lost {
            log::info!(peer:% = process; "entry lost");
        }
        if !lost.is_empty() {
            self.update_entry_count();
        }
    }

    /// Publishes the number of entries to the metrics and the balancer if it has changed.
    fn update_entry_count(&self) {
        let counts = {
            let members = lock(&self.members);
            let reported = members.values().map(|member| member.entries).max();
            let in_zone = members.values().filter(|m| m.zone == self.zone);
            Counts {
                known: members.len() + 1,
                in_zone: in_zone.count() + 1,
                reported: reported.unwrap_or(1).min(MAX_ENTRIES),
            }
        };
        let before = std::mem::replace(&mut *lock(&self.entries), counts);
        if before == counts {
            return;
        }
        self.context
            .metrics
            .entries
            .set(i64::try_from(counts.known).unwrap_or(i64::MAX));
        self.watching.set_entry_counts(counts.known, counts.in_zone);
        self.context.with_balancer(|balancer| {
            let now = Instant::now();
            balancer.set_entry_count(counts.known, now);
            balancer.set_reported_entries(counts.reported, now);
        });
    }

    /// Fetches changes from other entries that the store does not deliver in time.
    async fn catch_up(self: Arc<Self>) {
        let mut ticks = time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut behind_since: Option<Instant> = None;
        loop {
            ticks.tick().await;
            let (covered, ..) = self.follower.position();
            let ahead = self.entries_ahead(covered);
            if ahead.is_empty() {
                behind_since = None;
                continue;
            }
            let since = *behind_since.get_or_insert_with(Instant::now);
            if self.watching.is_watching() && since.elapsed() < MAX_STORE_LAG {
                continue;
            }
            if let Some((process, page)) = sync::fetch_first(ahead, covered).await {
                self.follower.apply(page, &process);
                self.watching.record_page();
                time::sleep(FETCH_PAUSE).await;
            }
        }
    }

    /// Lists entries that know a newer revision than `covered` in random order, those of the own zone first:
    /// traffic between zones is billed.
    fn entries_ahead(&self, covered: Revision) -> Vec<(id::Process, SocketAddr)> {
        let members = lock(&self.members);
        let mut ahead: Vec<&Member> = members
            .values()
            .filter(|member| member.newest_revision > covered)
            .collect();
        ahead.shuffle(&mut rand::rng());
        ahead.sort_by_key(|member| member.zone != self.zone);
        let entries = ahead.into_iter().take(MAX_ASKED);
        entries
            .map(|member| (member.process.clone(), member.sync_address))
            .collect()
    }
}

/// Acquires a lock, even if a holder panicked: the data stays usable.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
