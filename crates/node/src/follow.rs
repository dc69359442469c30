use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use conf::{History, Page, Position, Refusal, Verdict};
use event::{Kind, Recorder};
use peer::Election;
use prometheus::Registry;
use tokio::{
    sync::watch,
    time::{self, Instant},
};
use wire::{Heartbeat, Member, Watcher};

use crate::{Configuration, Watch, metrics::Metrics, platform::Platform};

/// Delay before the next read after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval at which a process that is not elected to read the platform checks the election again.
const ELECTION_INTERVAL: Duration = Duration::from_millis(100);
/// Limit on the time that a new process waits for a configuration from its peers before it reads the platform.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Replicates the published configuration log from the platform and from peers, and publishes the
/// configuration in force.
///
/// Lock order: `history`, then `election`; neither is held across an await.
#[derive(Clone)]
pub struct Follower {
    shared: Arc<Shared>,
}

struct Shared {
    history: Mutex<History>,
    /// `None` makes the process read the platform without an election.
    election: Mutex<Option<Election>>,
    current: watch::Sender<Configuration>,
    /// Number of requests for an immediate heartbeat.
    heartbeat_requests: watch::Sender<u64>,
    /// Whether any peer has sent a heartbeat.
    peer_seen: watch::Sender<bool>,
    /// Whether the last read of the platform succeeded, or `None` before the first.
    last_read: watch::Sender<Option<bool>>,
    pull_lock: tokio::sync::Mutex<()>,
    metrics: Metrics,
    recorder: Recorder,
}

impl Follower {
    /// Creates a follower with an empty log.
    #[must_use]
    pub fn new(recorder: Recorder) -> Self {
        let shared = Shared {
            history: Mutex::default(),
            election: Mutex::default(),
            current: watch::Sender::default(),
            heartbeat_requests: watch::Sender::default(),
            peer_seen: watch::Sender::default(),
            last_read: watch::Sender::default(),
            pull_lock: tokio::sync::Mutex::default(),
            metrics: Metrics::new(),
            recorder,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Makes the process read the platform only while elected within its availability zone.
    pub fn join_election(&self, member: &Member) {
        if let Ok(mut election) = self.shared.election.lock() {
            *election = Some(Election::new(member, Instant::now()));
        }
    }

    /// Registers the metrics of the configuration's replication.
    ///
    /// # Errors
    ///
    /// Returns an error if they are registered already.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        self.shared.metrics.register(registry)
    }

    /// Returns a receiver that is notified of each change of the configuration in force.
    #[must_use]
    pub fn watch(&self) -> Watch {
        self.shared.current.subscribe()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn current(&self) -> Configuration {
        self.shared.current.borrow().clone()
    }

    /// Returns the position in the published log that has been applied.
    #[must_use]
    pub fn position(&self) -> Position {
        self.with_history(|history| history.fold().position())
    }

    /// Returns the latest verdicts on published records, oldest first.
    #[must_use]
    pub fn verdicts(&self) -> Vec<Verdict> {
        self.with_history(|history| history.verdicts().iter().cloned().collect())
    }

    /// Returns how often a log was received that differs from the local one or cannot be read.
    #[must_use]
    pub fn alarms(&self) -> u64 {
        self.shared.metrics.alarms()
    }

    /// Returns a message that says why no configuration is in force.
    #[must_use]
    pub fn missing_reason(&self) -> String {
        let peers = if *self.shared.peer_seen.borrow() {
            "peers know none"
        } else {
            "no peer answers"
        };
        let platform = match *self.shared.last_read.borrow() {
            None => "the platform was not read yet",
            Some(false) => "the platform does not answer",
            Some(true) => "the platform has published no valid one",
        };
        format!("no configuration yet: {peers}, and {platform}")
    }

    /// Returns the next records for a process that has the log up to a position; `None` if there are none.
    #[must_use]
    pub fn page(&self, after: Position) -> Option<Page> {
        self.with_history(|history| history.page(after))
    }

    fn with_history<T: Default>(&self, read: impl FnOnce(&History) -> T) -> T {
        let history = self.shared.history.lock();
        history.map(|history| read(&history)).unwrap_or_default()
    }

    /// Applies a page from the platform or from a peer; returns how many records were new.
    pub fn apply(&self, page: &Page) -> u64 {
        let Ok(mut history) = self.shared.history.lock() else {
            return 0;
        };
        let (old_position, old_version) = (history.fold().position(), history.fold().version());
        let result = history.apply(page);
        let (position, current) = (
            history.fold().position(),
            Configuration::from(history.fold()),
        );
        if position > old_position {
            self.request_heartbeat();
        }
        if current.version != old_version {
            let number = current.version.number;
            self.shared.current.send_replace(current);
            self.shared.recorder.record(None, Kind::Version { number });
            log::info!("configuration version {number} is in force");
        }
        drop(history);
        if let Err(refusal) = result {
            self.report_refusal(refusal);
        }
        position - old_position
    }

    fn report_refusal(&self, refusal: Refusal) {
        if matches!(refusal, Refusal::Gap(_)) {
            log::debug!("{refusal}");
            return;
        }
        self.shared.metrics.count_alarm();
        log::error!("{refusal}");
    }

    /// Records the platform watchers that a heartbeat lists, and compares the sender's version with the local one.
    pub fn observe_heartbeat(&self, heartbeat: &Heartbeat) {
        self.shared.peer_seen.send_if_modified(|seen| {
            let first = !*seen;
            *seen = true;
            first
        });
        let version = self.current().version;
        if version.number == heartbeat.version.number && version.chain != heartbeat.version.chain {
            self.shared.metrics.count_alarm();
            log::error!(
                "{} has a different history for configuration version {}; the local version is kept",
                heartbeat.member.process,
                version.number
            );
        }
        if let Ok(mut election) = self.shared.election.lock()
            && let Some(election) = election.as_mut()
        {
            election.observe(&heartbeat.watchers, Instant::now());
        }
    }

    /// Returns the live platform watchers that the next heartbeat lists.
    #[must_use]
    pub fn watchers(&self) -> Vec<Watcher> {
        let election = self.shared.election.lock();
        let watchers = election.map(|e| e.as_ref().map(|e| e.watchers(Instant::now())));
        watchers.ok().flatten().unwrap_or_default()
    }

    /// Returns a receiver that is notified when heartbeats are to be sent at once.
    pub(crate) fn heartbeat_requests(&self) -> watch::Receiver<u64> {
        self.shared.heartbeat_requests.subscribe()
    }

    /// Makes all links send a heartbeat at once.
    pub(crate) fn request_heartbeat(&self) {
        self.shared
            .heartbeat_requests
            .send_modify(|count| *count += 1);
    }

    /// Returns the lock that lets only one link at a time pull records.
    pub(crate) fn pull_lock(&self) -> &tokio::sync::Mutex<()> {
        &self.shared.pull_lock
    }

    pub(crate) fn count_traffic(&self, bytes: u64) {
        self.shared.metrics.count_traffic(bytes);
    }

    /// Waits until peers have provided a configuration, at most [`PEER_TIMEOUT`]; returns at once without peers.
    async fn wait_for_peers(&self, has_peers: bool) {
        if has_peers {
            let mut peer_seen = self.shared.peer_seen.subscribe();
            let known = async {
                let _ = peer_seen.wait_for(|seen| *seen).await;
                let mut current = self.watch();
                let _ = current.wait_for(|c| c.document.is_some()).await;
            };
            let _ = time::timeout(PEER_TIMEOUT, known).await;
        }
    }

    /// Returns whether this process is to read the platform now.
    fn is_elected(&self) -> bool {
        let endpoints = self.current().document.map_or(0, |d| d.endpoints.len());
        let Ok(mut election) = self.shared.election.lock() else {
            return false;
        };
        election
            .as_mut()
            .is_none_or(|election| election.tick(endpoints, Instant::now()))
    }

    /// Reads and watches the platform while elected; never returns.
    ///
    /// If the process has peers, it first gives them a short time to provide a configuration.
    pub async fn run(self, platform_addresses: Vec<SocketAddr>, has_peers: bool) {
        self.wait_for_peers(has_peers).await;
        let platform = Platform::new(platform_addresses);
        loop {
            if !self.is_elected() {
                time::sleep(ELECTION_INTERVAL).await;
                continue;
            }
            self.shared.metrics.count_read();
            let started = Instant::now();
            let result = platform.read(self.position()).await;
            self.shared.last_read.send_replace(Some(result.is_ok()));
            match result {
                Ok(page) => self.handle_answer(page.as_ref()),
                Err(e) => {
                    self.record_failure(started);
                    log::warn!("{e:#}");
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn record_failure(&self, started: Instant) {
        if let Ok(mut election) = self.shared.election.lock()
            && let Some(election) = election.as_mut()
        {
            election.record_failure(started);
        }
    }

    fn handle_answer(&self, page: Option<&Page>) {
        if let Ok(mut election) = self.shared.election.lock()
            && let Some(election) = election.as_mut()
        {
            election.record_success(Instant::now());
        }
        if let Some(page) = page {
            self.apply(page);
        }
    }
}
