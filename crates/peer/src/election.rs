use std::{collections::BTreeMap, time::Duration};

use conf::id;
use tokio::time::Instant;
use wire::{Member, Pulse};
use xxhash_rust::xxh3::xxh3_64;

/// Watchers of the platform in each availability zone.
const COUNT: usize = 3;
/// Time after which a watcher that gave no new sign of life counts as gone.
const FRESH: Duration = Duration::from_millis(2500);
/// Longest time that a process waits, by its rank, before it takes over.
const STAGGER: Duration = Duration::from_millis(500);
/// Time for which a count is remembered, so that an old one that still travels counts for nothing.
const REMEMBER: Duration = Duration::from_secs(600);
/// Shortest and longest time before a process whose reads failed tries again.
const AGAIN: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Time before the next try that each known process adds, so that all together stay within the platform's rate.
const SHARE: Duration = Duration::from_millis(2);

/// Decides whether the own process watches the platform for its availability zone.
///
/// Watchers show that they are well by a count of the platform's answers, which others pass on. Where
/// fewer than three counts rise, the others take over, in the order of their rank; where more do,
/// the lowest ranks step back. Nobody needs a list of the zone for that.
#[derive(Clone, Debug)]
pub struct Election {
    own: Pulse,
    watching: bool,
    heard: BTreeMap<id::Process, (Pulse, Instant)>,
    /// Time since which watchers are lacking.
    lacking: Option<Instant>,
    /// Time of the last answer, or of the start as a watcher.
    answered: Instant,
    /// Whether the platform answered since the process became a watcher.
    proved: bool,
    /// Whether the last read failed.
    failed: bool,
    /// Time before which the process does not try again.
    rest: Instant,
}

impl Election {
    /// Creates the decision of a process; it watches only once others are seen to lack.
    #[must_use]
    pub fn new(member: &Member, now: Instant) -> Self {
        let own = Pulse {
            process: member.process.clone(),
            zone: member.zone.clone(),
            incarnation: member.incarnation,
            count: 0,
        };
        Self {
            own,
            watching: false,
            heard: BTreeMap::new(),
            lacking: None,
            answered: now,
            proved: false,
            failed: false,
            rest: now,
        }
    }

    /// Takes in the signs of life that another process passed on.
    pub fn observe(&mut self, pulses: &[Pulse], now: Instant) {
        let others = pulses
            .iter()
            .filter(|p| p.zone == self.own.zone && p.process != self.own.process);
        for pulse in others {
            let rises = self.heard.get(&pulse.process).is_none_or(|(known, _)| {
                (known.incarnation, known.count) < (pulse.incarnation, pulse.count)
            });
            if rises {
                let value = (pulse.clone(), now);
                self.heard.insert(pulse.process.clone(), value);
            }
        }
    }

    /// Takes in that the platform answered the own process.
    pub fn record_success(&mut self, now: Instant) {
        self.own.count += 1;
        self.answered = now;
        self.proved = true;
        self.failed = false;
    }

    /// Takes in that the platform did not answer the own process.
    pub const fn record_failure(&mut self) {
        self.failed = true;
    }

    /// Returns whether to watch from now on; `fleet` is the number of known processes.
    pub fn tick(&mut self, fleet: usize, now: Instant) -> bool {
        self.heard
            .retain(|_, (_, at)| now.duration_since(*at) < REMEMBER);
        if self.watching {
            self.step_back(fleet, now);
        } else {
            self.take_over(now);
        }
        self.watching
    }

    fn step_back(&mut self, fleet: usize, now: Instant) {
        let own = rank(&self.own.process);
        let better = self.fresh(now).filter(|p| rank(&p.process) < own).count();
        let failed = !is_fresh(self.answered, now) || (self.failed && !self.proved);
        if failed {
            let share = SHARE * u32::try_from(fleet).unwrap_or(u32::MAX);
            self.rest = now + share.clamp(AGAIN.0, AGAIN.1).mul_f64(0.5 + fraction(own));
        }
        if better >= COUNT || failed {
            self.watching = false;
            self.lacking = None;
        }
    }

    fn take_over(&mut self, now: Instant) {
        if self.fresh(now).count() >= COUNT {
            self.lacking = None;
            return;
        }
        let since = *self.lacking.get_or_insert(now);
        let due = (since + stagger(rank(&self.own.process))).max(self.rest);
        if now >= due {
            self.watching = true;
            self.answered = now;
            self.proved = false;
            self.failed = false;
        }
    }

    /// Returns the other watchers that are well.
    fn fresh(&self, now: Instant) -> impl Iterator<Item = &Pulse> {
        let heard = self.heard.values();
        heard
            .filter(move |(_, at)| is_fresh(*at, now))
            .map(|(pulse, _)| pulse)
    }

    /// Returns the signs of life to pass on: the own one and those heard lately.
    #[must_use]
    pub fn pulses(&self, now: Instant) -> Vec<Pulse> {
        let own = (self.watching && self.own.count > 0 && is_fresh(self.answered, now))
            .then(|| self.own.clone());
        let mut pulses: Vec<_> = own.into_iter().chain(self.fresh(now).cloned()).collect();
        pulses.sort_by_key(|p| rank(&p.process));
        pulses.truncate(COUNT);
        pulses
    }
}

fn is_fresh(at: Instant, now: Instant) -> bool {
    now.duration_since(at) < FRESH
}

fn rank(process: &str) -> u64 {
    xxh3_64(process.as_bytes())
}

/// Spreads the ranks over the time in which processes take over.
fn stagger(rank: u64) -> Duration {
    STAGGER.mul_f64(fraction(rank))
}

/// Maps a rank to 0 to 1.
fn fraction(rank: u64) -> f64 {
    let share = u32::try_from(rank >> 32).unwrap_or(u32::MAX);
    f64::from(share) / f64::from(u32::MAX)
}
