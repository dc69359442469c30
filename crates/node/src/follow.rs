use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use conf::{History, Page, Position, Refusal, Verdict};
use event::{Kind, Recorder};
use peer::Election as Turn;
use prometheus::Registry;
use tokio::{
    sync::watch,
    time::{self, Instant},
};
use wire::{Heartbeat, Member, Watcher};

use crate::{Configuration, Watch, counts::Counts, platform::Platform};

/// Pause after a failed read, and between two looks whether it is the own turn to read.
const PAUSE: Duration = Duration::from_millis(300);
/// Time for which a new process waits for word from a peer before it trusts the platform.
const PEERS_FIRST: Duration = Duration::from_secs(2);

/// Follows the configuration, from the platform and from peers, and hands it on.
///
/// Lock order: `history`, then `turn`; neither is held across an await.
#[derive(Clone)]
pub struct Follower {
    shared: Arc<Shared>,
}

struct Shared {
    history: Mutex<History>,
    turn: Mutex<Option<Turn>>,
    current: watch::Sender<Configuration>,
    news: watch::Sender<u64>,
    heard: watch::Sender<bool>,
    read: watch::Sender<Option<bool>>,
    pulling: tokio::sync::Mutex<()>,
    counts: Counts,
    recorder: Recorder,
}

impl Follower {
    /// Creates a follower that knows nothing yet.
    #[must_use]
    pub fn new(recorder: Recorder) -> Self {
        let shared = Shared {
            history: Mutex::default(),
            turn: Mutex::default(),
            current: watch::Sender::default(),
            news: watch::Sender::default(),
            heard: watch::Sender::default(),
            read: watch::Sender::default(),
            pulling: tokio::sync::Mutex::default(),
            counts: Counts::new(),
            recorder,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Makes the process take turns at the platform with the others of its availability zone.
    pub fn take_turns(&self, member: &Member) {
        if let Ok(mut turn) = self.shared.turn.lock() {
            *turn = Some(Turn::new(member, Instant::now()));
        }
    }

    /// Adds the counts of the configuration's spread to the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if they were added before.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        self.shared.counts.register(registry)
    }

    /// Returns a receiver of each change.
    #[must_use]
    pub fn watch(&self) -> Watch {
        self.shared.current.subscribe()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn current(&self) -> Configuration {
        self.shared.current.borrow().clone()
    }

    /// Returns the place in the published log that was reached.
    #[must_use]
    pub fn position(&self) -> Position {
        self.with(|history| history.fold().position())
    }

    /// Returns the newest verdicts, oldest first.
    #[must_use]
    pub fn verdicts(&self) -> Vec<Verdict> {
        self.with(|history| history.verdicts().iter().cloned().collect())
    }

    /// Returns how often another log than the own one was offered.
    #[must_use]
    pub fn alarms(&self) -> u64 {
        self.shared.counts.alarms()
    }

    /// Says why no configuration is in force.
    #[must_use]
    pub fn lack(&self) -> String {
        let peers = if *self.shared.heard.borrow() {
            "peers know none"
        } else {
            "no peer answers"
        };
        let platform = match *self.shared.read.borrow() {
            None => "the platform was not read yet",
            Some(false) => "the platform does not answer",
            Some(true) => "the platform has published no valid one",
        };
        format!("no configuration yet: {peers}, and {platform}")
    }

    /// Returns what a process lacks that knows the log up to a place.
    #[must_use]
    pub fn page(&self, after: Position) -> Option<Page> {
        self.with(|history| history.page(after))
    }

    fn with<T: Default>(&self, read: impl FnOnce(&History) -> T) -> T {
        let history = self.shared.history.lock();
        history.map(|history| read(&history)).unwrap_or_default()
    }

    /// Takes in a page, from the platform or from a peer; returns how many records were new.
    pub fn take(&self, page: &Page) -> u64 {
        let Ok(mut history) = self.shared.history.lock() else {
            return 0;
        };
        let before = (history.fold().position(), history.fold().version());
        let result = history.take(page);
        let (position, current) = (
            history.fold().position(),
            Configuration::from(history.fold()),
        );
        if position > before.0 {
            self.shared.news.send_modify(|count| *count += 1);
        }
        if current.version != before.1 {
            let number = current.version.number;
            self.shared.current.send_replace(current);
            self.shared.recorder.record(None, Kind::Version { number });
            log::info!("configuration version {number} is in force");
        }
        drop(history);
        if let Err(refusal) = result {
            self.refuse(refusal);
        }
        position - before.0
    }

    fn refuse(&self, refusal: Refusal) {
        if matches!(refusal, Refusal::Gap(_)) {
            log::debug!("{refusal}");
            return;
        }
        self.shared.counts.alarm();
        log::error!("{refusal}");
    }

    /// Takes in what a heartbeat tells of the platform's watchers and of the sender's version.
    pub fn hear(&self, beat: &Heartbeat) {
        self.shared.heard.send_if_modified(|heard| {
            let first = !*heard;
            *heard = true;
            first
        });
        let own = self.current().version;
        if own.number == beat.version.number && own.chain != beat.version.chain {
            self.shared.counts.alarm();
            log::error!(
                "{} has another version {}; the own is kept",
                beat.member.process,
                own.number
            );
        }
        if let Ok(mut turn) = self.shared.turn.lock()
            && let Some(turn) = turn.as_mut()
        {
            turn.observe(&beat.watchers, Instant::now());
        }
    }

    /// Returns the signs of life of the platform's watchers.
    #[must_use]
    pub fn pulses(&self) -> Vec<Watcher> {
        let turn = self.shared.turn.lock();
        let pulses = turn.map(|turn| turn.as_ref().map(|turn| turn.pulses(Instant::now())));
        pulses.ok().flatten().unwrap_or_default()
    }

    /// Returns a receiver that hears when heartbeats should go out at once.
    pub(crate) fn news(&self) -> watch::Receiver<u64> {
        self.shared.news.subscribe()
    }

    /// Makes heartbeats go out at once.
    pub(crate) fn tell(&self) {
        self.shared.news.send_modify(|count| *count += 1);
    }

    /// Returns the lock that lets one link at a time pull records.
    pub(crate) fn pulling(&self) -> &tokio::sync::Mutex<()> {
        &self.shared.pulling
    }

    pub(crate) fn count_traffic(&self, bytes: u64) {
        self.shared.counts.traffic(bytes);
    }

    /// Waits for word from a peer, for a short time, if there are peers to hear from.
    async fn ask_peers(&self, peers: bool) {
        if peers {
            let mut heard = self.shared.heard.subscribe();
            let known = async {
                let _ = heard.wait_for(|heard| *heard).await;
                let mut current = self.watch();
                let _ = current.wait_for(|c| c.document.is_some()).await;
            };
            let _ = time::timeout(PEERS_FIRST, known).await;
        }
    }

    /// Returns whether it is the own turn to read the platform.
    fn is_own_turn(&self) -> bool {
        let endpoints = self.current().document.map_or(0, |d| d.endpoints.len());
        let Ok(mut turn) = self.shared.turn.lock() else {
            return false;
        };
        turn.as_mut()
            .is_none_or(|turn| turn.tick(endpoints, Instant::now()))
    }

    /// Reads and watches the platform for ever whenever it is the own turn, after asking peers first if there are any.
    pub async fn run(self, platform: Vec<SocketAddr>, peers: bool) {
        self.ask_peers(peers).await;
        let platform = Platform::new(platform);
        loop {
            if !self.is_own_turn() {
                time::sleep(PAUSE / 3).await;
                continue;
            }
            self.shared.counts.read();
            let result = platform.read(self.position()).await;
            self.shared.read.send_replace(Some(result.is_ok()));
            match result {
                Ok(page) => self.answered(page.as_ref()),
                Err(e) => {
                    self.failed();
                    log::warn!("{e:#}");
                    time::sleep(PAUSE).await;
                }
            }
        }
    }

    fn failed(&self) {
        if let Ok(mut turn) = self.shared.turn.lock()
            && let Some(turn) = turn.as_mut()
        {
            turn.record_failure();
        }
    }

    fn answered(&self, page: Option<&Page>) {
        if let Ok(mut turn) = self.shared.turn.lock()
            && let Some(turn) = turn.as_mut()
        {
            turn.record_success(Instant::now());
        }
        if let Some(page) = page {
            self.take(page);
        }
    }
}
