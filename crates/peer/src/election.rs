use std::{collections::BTreeMap, time::Duration};

use conf::id;
use tokio::time::Instant;
use wire::{Member, Watcher};
use xxhash_rust::xxh3::xxh3_64;

/// Number of platform watchers in each availability zone.
pub const WATCHERS_PER_ZONE: usize = 3;
/// Time without a higher count after which a watcher counts as failed.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Longest delay before a process takes over; its rank sets its share of the delay.
const MAX_TAKEOVER_DELAY: Duration = Duration::from_millis(500);
/// Time for which the highest count of a watcher is kept, so that an older one still in transit is
/// ignored.
const COUNT_RETENTION: Duration = Duration::from_secs(600);
/// Bounds of the delay, before its spread by rank, after which a process whose reads failed may try
/// again.
const RETRY_DELAY_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Retry delay per known process, which keeps the rate of all retries within the limit of the
/// platform.
const RETRY_DELAY_PER_PROCESS: Duration = Duration::from_millis(2);

/// Election of the processes that watch the platform for an availability zone, as seen by one
/// process.
///
/// A watcher proves that it works by a rising count of the platform's answers, which other
/// processes forward. Where fewer than three counts rise, other processes take over in the order of
/// their rank; where more than three rise, the watchers that rank last step down. No process needs
/// a list of the processes in the zone.
#[derive(Clone, Debug)]
pub struct Election {
    /// This process and the number of answers of the platform to it.
    own: Watcher,
    watching: bool,
    /// Highest count of each other watcher, with the time at which it arrived.
    watchers: BTreeMap<id::Process, (Watcher, Instant)>,
    /// Time since which there have been too few watchers.
    shortage_since: Option<Instant>,
    /// Time of the last answer of the platform, or of the start as a watcher.
    last_success: Instant,
    /// Whether the platform has answered since the process became a watcher.
    confirmed: bool,
    /// Start of the last read, if it failed.
    failed_read: Option<Instant>,
    /// Time before which the process does not take over again.
    retry_at: Instant,
}

impl Election {
    /// Creates the state of a process that does not watch; it takes over only where watchers are
    /// missing.
    #[must_use]
    pub fn new(member: &Member, now: Instant) -> Self {
        let own = Watcher {
            process: member.process.clone(),
            zone: member.zone.clone(),
            incarnation: member.incarnation,
            count: 0,
        };
        Self {
            own,
            watching: false,
            watchers: BTreeMap::new(),
            shortage_since: None,
            last_success: now,
            confirmed: false,
            failed_read: None,
            retry_at: now,
        }
    }

    /// Records the counts of watchers that another process forwarded.
    pub fn observe(&mut self, watchers: &[Watcher], now: Instant) {
        let others = watchers
            .iter()
            .filter(|w| w.zone == self.own.zone && w.process != self.own.process);
        for watcher in others {
            let rises = self
                .watchers
                .get(&watcher.process)
                .is_none_or(|(known, _)| {
                    (known.incarnation, known.count) < (watcher.incarnation, watcher.count)
                });
            if rises {
                let value = (watcher.clone(), now);
                self.watchers.insert(watcher.process.clone(), value);
            }
        }
    }

    /// Records an answer of the platform to this process.
    pub fn record_success(&mut self, now: Instant) {
        self.own.count += 1;
        self.last_success = now;
        self.confirmed = true;
        self.failed_read = None;
    }

    /// Records that the platform did not answer a read of this process, which began at `started`.
    pub const fn record_failure(&mut self, started: Instant) {
        self.failed_read = Some(started);
    }

    /// Returns whether this process watches the platform from now on.
    ///
    /// `processes` is the number of known processes, which sets the retry delay.
    pub fn tick(&mut self, processes: usize, now: Instant) -> bool {
        self.watchers
            .retain(|_, (_, arrived_at)| now.duration_since(*arrived_at) < COUNT_RETENTION);
        if self.watching {
            self.check_step_down(processes, now);
        } else {
            self.check_take_over(now);
        }
        self.watching
    }

    fn check_step_down(&mut self, processes: usize, now: Instant) {
        let own_rank = rank(&self.own.process);
        let preceding = self
            .live_watchers(now)
            .filter(|w| rank(&w.process) < own_rank)
            .count();
        let failed =
            !is_recent(self.last_success, now) || (self.failed_read.is_some() && !self.confirmed);
        if failed {
            let delay = RETRY_DELAY_PER_PROCESS * u32::try_from(processes).unwrap_or(u32::MAX);
            let (min, max) = RETRY_DELAY_BOUNDS;
            // The time that the read took counts, as the platform may have returned meanwhile.
            self.retry_at = self.failed_read.unwrap_or(now)
                + delay.clamp(min, max).mul_f64(0.5 + fraction(own_rank));
        }
        if preceding >= WATCHERS_PER_ZONE || failed {
            self.watching = false;
            self.shortage_since = None;
        }
    }

    fn check_take_over(&mut self, now: Instant) {
        if self.live_watchers(now).count() >= WATCHERS_PER_ZONE {
            self.shortage_since = None;
            return;
        }
        let since = *self.shortage_since.get_or_insert(now);
        let due = (since + takeover_delay(rank(&self.own.process))).max(self.retry_at);
        if now >= due {
            self.watching = true;
            self.last_success = now;
            self.confirmed = false;
            self.failed_read = None;
        }
    }

    /// Returns the other watchers whose count rose recently.
    fn live_watchers(&self, now: Instant) -> impl Iterator<Item = &Watcher> {
        let watchers = self.watchers.values();
        watchers
            .filter(move |(_, arrived_at)| is_recent(*arrived_at, now))
            .map(|(watcher, _)| watcher)
    }

    /// Returns the watchers whose counts to forward: the first three live ones by rank, this
    /// process included.
    #[must_use]
    pub fn watchers(&self, now: Instant) -> Vec<Watcher> {
        let own = (self.watching && self.own.count > 0 && is_recent(self.last_success, now))
            .then(|| self.own.clone());
        let mut watchers: Vec<_> = own
            .into_iter()
            .chain(self.live_watchers(now).cloned())
            .collect();
        watchers.sort_by_key(|w| rank(&w.process));
        watchers.truncate(WATCHERS_PER_ZONE);
        watchers
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.duration_since(at) < WATCHER_TIMEOUT
}

/// Returns the rank of a process; the lowest values are preferred as watchers.
fn rank(process: &str) -> u64 {
    xxh3_64(process.as_bytes())
}

/// Returns the delay before a process of this rank takes over, so that not all take over at once.
fn takeover_delay(rank: u64) -> Duration {
    MAX_TAKEOVER_DELAY.mul_f64(fraction(rank))
}

/// Maps a rank to the range from 0 to 1.
fn fraction(rank: u64) -> f64 {
    let high = u32::try_from(rank >> 32).unwrap_or(u32::MAX);
    f64::from(high) / f64::from(u32::MAX)
}
