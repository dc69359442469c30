use std::{
    cmp::Ordering,
    ops::Range,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use crate::{Duty, Pace, Page, Patience, Replica, Revision, Source, SourceError, Update, View};

/// Delay after a page with changes, so that the next call returns all changes that follow closely.
///
/// It is a fraction of two seconds, the platform's smallest limit for putting a change into force.
const BATCH_DELAY: Duration = Duration::from_millis(400);
/// Interval at which a process that is not on duty checks whether it is now.
const DUTY_INTERVAL: Duration = Duration::from_millis(50);
/// Factors of the delay after a failed call, from which each process draws its own.
const JITTER: Range<f64> = 0.7..1.3;
/// Factors of the longest time between two answers of the store, so that processes do not ask together.
const INTERVAL_JITTER: Range<f64> = 0.6..1.0;
/// Time between two checks for lapsed endpoints.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Returns an error if a page cannot be applied, since it is of another era than the replica at
/// `covered`: only a complete listing leads into a new era, and none leads back.
fn check_era(
    result: Result<Page, SourceError>,
    is_listing: bool,
    covered: Revision,
) -> Result<Page, SourceError> {
    let page = result?;
    match page.covered.era.cmp(&covered.era) {
        Ordering::Less => Err(SourceError::Unavailable(format!(
            "response of the earlier era {}",
            page.covered.era
        ))),
        Ordering::Greater if !is_listing => Err(SourceError::Restored(page.covered.era)),
        _ => Ok(page),
    }
}

/// Returns how long a watch may take so that the store answers again within `interval` of its last answer.
fn choose_patience(pace: Pace, interval: Option<Duration>, answered_at: Instant) -> Patience {
    let Some(interval) = interval else {
        return pace.watch();
    };
    let interval = interval.mul_f64(rand::random_range(INTERVAL_JITTER));
    pace.watch_for(interval.saturating_sub(answered_at.elapsed()))
}

/// Returns the name of a call's outcome in the metrics.
const fn outcome(result: &Result<Page, SourceError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(SourceError::Compacted) => "compacted",
        Err(SourceError::Restored(_)) => "restored",
        Err(SourceError::Unavailable(_)) => "unavailable",
    }
}

/// Keeps a [`Replica`] up to date with the store and publishes its [`View`].
///
/// Lock order: `replica` is the only lock and is never held across an await.
pub struct Follower {
    replica: Mutex<Replica>,
    view: watch::Sender<Arc<View>>,
    version: IntGauge,
    calls: IntCounterVec,
    /// Calls of a process off duty, since what it knew might be too old.
    checks: IntCounter,
}

impl Follower {
    /// Creates a follower with an empty replica.
    ///
    /// # Errors
    ///
    /// Returns an error if the registry already has a metric of the same name.
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
        let checks = IntCounter::new(
            "apricot_fleet_store_checks_total",
            "Calls to the store off duty, as the news from others were too old.",
        )?;
        registry.register(Box::new(checks.clone()))?;
        Ok(Self {
            replica: Mutex::default(),
            view: watch::Sender::default(),
            version,
            calls,
            checks,
        })
    }

    /// Returns a receiver of the current view and its changes.
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    /// Returns the changes for a process that has applied all changes up to `after`.
    #[must_use]
    pub fn changes_since(&self, after: Revision) -> Page {
        self.with_replica(|replica| Page {
            lapsing: replica.lapsing(Instant::now()),
            ..replica.changes_since(after)
        })
    }

    /// Returns the revision up to which all changes have been applied, the revision of the newest
    /// change, and the version of the configuration in force.
    #[must_use]
    pub fn position(&self) -> (Revision, Revision, u64) {
        self.with_replica(|replica| (replica.covered(), replica.newest(), replica.version()))
    }

    /// Applies a page; `from` names the store or the process that sent it, for the log.
    pub fn apply(&self, page: Page, from: &str) {
        let now = Instant::now();
        let (updates, view) = self.with_replica(|replica| {
            let updates = replica.apply(page, now);
            (updates, replica.view(now))
        });
        self.publish(&updates, view, from);
    }

    fn publish(&self, updates: &[Update], view: View, from: &str) {
        for update in updates {
            log::info!(from = from, covered:% = view.covered, learned:? = update; "learned");
        }
        let version = view.configuration.as_ref().map_or(0, |c| c.version);
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.view.send_replace(Arc::new(view));
    }

    fn with_replica<T>(&self, operation: impl FnOnce(&mut Replica) -> T) -> T {
        // Pages are applied item by item, so a panic leaves a valid replica that lacks some changes.
        let mut replica = self.replica.lock().unwrap_or_else(PoisonError::into_inner);
        operation(&mut replica)
    }

    /// Lists and watches the store while on duty; never returns.
    pub async fn run(self: Arc<Self>, source: Arc<dyn Source>, duty: Arc<dyn Duty>) {
        tokio::spawn(self.clone().expire());
        let (mut is_obsolete, mut pace) = (false, Pace::default());
        let mut unavailable_since: Option<Instant> = None;
        let mut answered_at = Instant::now();
        loop {
            let is_on = pace.is_doubtful() || duty.is_on();
            if !is_on && !duty.is_stale() {
                time::sleep(DUTY_INTERVAL).await;
                continue;
            }
            let patience = if is_on {
                choose_patience(pace, duty.max_interval(), answered_at)
            } else {
                self.checks.inc();
                pace.listing()
            };
            let (covered, ..) = self.position();
            // The replica may come from another process, and is then watched from there on.
            let listing = is_obsolete || covered == Revision::default();
            let called_at = Instant::now();
            let result = if listing {
                source.list(pace.listing()).await
            } else {
                source.watch(covered, patience).await
            };
            let result = check_era(result, listing, covered);
            self.calls.with_label_values(&[outcome(&result)]).inc();
            if !matches!(result, Err(SourceError::Unavailable(_))) {
                pace.record_answer();
                duty.record_answer();
                answered_at = Instant::now();
                if let Some(since) = unavailable_since.take() {
                    log::info!(covered:% = covered, down_ms = since.elapsed().as_millis(); "store is available again");
                }
            }
            match result {
                Ok(page) => {
                    is_obsolete = false;
                    let changed = !page.changes.is_empty();
                    self.apply(page, "store");
                    // The store holds a watch for the wait time at most, and reads a listing page by page.
                    let held = if listing {
                        Duration::ZERO
                    } else {
                        patience.wait
                    };
                    duty.record_current(answered_at.min(called_at + held));
                    if changed {
                        time::sleep(BATCH_DELAY).await;
                    }
                }
                Err(SourceError::Compacted) => {
                    log::info!(covered:% = covered; "store compacted its history; listing all items");
                    is_obsolete = true;
                }
                Err(SourceError::Restored(era)) => {
                    log::warn!(covered:% = covered, era = era; "store was restored from an older copy; listing all items");
                    is_obsolete = true;
                }
                Err(SourceError::Unavailable(reason)) => {
                    let age = called_at.elapsed();
                    let delay = pace.record_failure(age).mul_f64(rand::random_range(JITTER));
                    if unavailable_since.is_none() {
                        log::warn!(covered:% = covered, reason = reason; "store is unavailable");
                    }
                    let since = *unavailable_since.get_or_insert(called_at);
                    log::info!(
                        covered:% = covered,
                        listing = listing,
                        reason = reason,
                        waited_ms = age.as_millis(),
                        down_ms = since.elapsed().as_millis(),
                        retry_ms = delay.as_millis();
                        "call to the store failed"
                    );
                    duty.record_failure(called_at);
                    self.with_replica(|replica| replica.note_failure(Instant::now()));
                    time::sleep(delay).await;
                }
            }
        }
    }

    /// Removes lapsed endpoints once their grace time has passed.
    async fn expire(self: Arc<Self>) {
        let mut ticks = time::interval(EXPIRY_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = Instant::now();
            let due = self
                .with_replica(|replica| replica.next_expiry().is_some_and(|expiry| expiry <= now));
            if due {
                let (updates, view) =
                    self.with_replica(|replica| (replica.expire(now), replica.view(now)));
                self.publish(&updates, view, "time");
            }
        }
    }
}
