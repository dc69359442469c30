use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use crate::{Page, Replica, Revision, Source, SourceError, Update, View};

/// First and longest pause after a failed call to the store; calls are priced, also refused ones.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));
/// Pause after changes, so that those that follow closely come with one call.
///
/// A fraction of the smallest bound on taking up a change, two seconds.
const GATHER: Duration = Duration::from_millis(400);
/// Time between looks for lapsed endpoints.
const TICK: Duration = Duration::from_millis(250);

/// Follows the store, and publishes what is in force.
///
/// Lock order: `replica` is the only lock and is never held across an await.
pub struct Follower {
    replica: Mutex<Replica>,
    view: watch::Sender<Arc<View>>,
    version: IntGauge,
    calls: IntCounterVec,
}

impl Follower {
    /// Creates a follower that knows nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if the name of a metric is taken.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let version = IntGauge::new(
            "apricot_fleet_version",
            "Version of the configuration in force.",
        )?;
        let options = Opts::new(
            "apricot_fleet_store_calls_total",
            "Calls to the store by outcome.",
        );
        let calls = IntCounterVec::new(options, &["outcome"])?;
        registry.register(Box::new(version.clone()))?;
        registry.register(Box::new(calls.clone()))?;
        Ok(Self {
            replica: Mutex::default(),
            view: watch::Sender::default(),
            version,
            calls,
        })
    }

    /// Returns a reader of what is in force.
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    /// Returns what another process lacks.
    #[must_use]
    pub fn changes_since(&self, after: Revision) -> Page {
        self.with(|replica| replica.changes_since(after))
    }

    /// Returns the revision up to which everything is known, that of the newest change, and the version.
    #[must_use]
    pub fn position(&self) -> (Revision, Revision, u64) {
        self.with(|replica| (replica.covered(), replica.newest(), replica.version()))
    }

    /// Takes in a page from the store or another process.
    pub fn apply(&self, page: Page, from: &str) {
        let now = Instant::now();
        let (learned, view) = self.with(|replica| {
            let learned = replica.apply(page, now);
            (learned, replica.view(now))
        });
        self.publish(&learned, view, from);
    }

    fn publish(&self, learned: &[Update], view: View, from: &str) {
        for news in learned {
            log::info!(from = from, covered = view.covered, learned:? = news; "learned");
        }
        let version = view.configuration.as_ref().map_or(0, |c| c.version);
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.view.send_replace(Arc::new(view));
    }

    fn with<T>(&self, act: impl FnOnce(&mut Replica) -> T) -> T {
        // A page is taken in item by item, so that a panic leaves a replica that is only older.
        let mut replica = self.replica.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut replica)
    }

    /// Follows the store for good.
    pub async fn run(self: Arc<Self>, source: Arc<dyn Source>) {
        tokio::spawn(self.clone().expire());
        let (mut listed, mut lost, mut pause) = (false, false, PAUSES.0);
        loop {
            let (covered, ..) = self.position();
            let result = if listed {
                source.watch(covered).await
            } else {
                source.list().await
            };
            let outcome = match &result {
                Ok(_) => "ok",
                Err(SourceError::Compacted) => "compacted",
                Err(SourceError::Unavailable(_)) => "unavailable",
            };
            self.calls.with_label_values(&[outcome]).inc();
            match result {
                Ok(page) => {
                    if std::mem::take(&mut lost) {
                        log::info!(covered = covered; "store regained");
                    }
                    (listed, pause) = (true, PAUSES.0);
                    let changed = !page.changes.is_empty();
                    self.apply(page, "store");
                    if changed {
                        time::sleep(GATHER).await;
                    }
                }
                Err(SourceError::Compacted) => {
                    log::info!(covered = covered; "store dropped its history; listing anew");
                    listed = false;
                }
                Err(SourceError::Unavailable(reason)) => {
                    if !std::mem::replace(&mut lost, true) {
                        log::warn!(covered = covered, reason = reason; "store lost");
                    }
                    self.with(|replica| replica.note_failure(Instant::now()));
                    let spread = rand::random_range(0.7..1.3);
                    time::sleep(pause.mul_f64(spread)).await;
                    pause = (pause * 2).min(PAUSES.1);
                }
            }
        }
    }

    /// Stops using lapsed endpoints whose time to register again has passed.
    async fn expire(self: Arc<Self>) {
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = Instant::now();
            let due = self.with(|replica| replica.next_expiry().is_some_and(|end| end <= now));
            if due {
                let (learned, view) = self.with(|replica| (replica.expire(now), replica.view(now)));
                self.publish(&learned, view, "time");
            }
        }
    }
}
