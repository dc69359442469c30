use std::time::Duration;

use conf::Limit;
use tokio::time::Instant;

/// Recent first tokens that come this many times later than usual are a sign of a cold endpoint.
///
/// Means are compared, not single times: a cached prefix makes one first token far faster than
/// the next.
const JUMP: u32 = 4;
/// Recent first tokens that come this many times later than usual are no evidence of health.
const SLOW: u32 = 2;
/// First tokens earlier than this are never late.
const FLOOR: Duration = Duration::from_millis(50);
/// Part of a new sample in the recent and in the usual time: one over this.
const SMOOTHING: (u32, u32) = (8, 256);

/// Bounds the attempts in flight: starts at the cold bound and grows with evidence.
///
/// Evidence is a round: as many healthy ends as the limit, of attempts that began at this limit
/// while at least half of it was in use. Each round raises the limit by half.
#[derive(Clone, Debug)]
pub(crate) struct Ramp {
    limit: Limit,
    warm: Duration,
    now: u32,
    /// When the cold bound came into force.
    chilled: Instant,
    /// When the limit in force did.
    since: Instant,
    healthy: u32,
    /// Recent and usual time to a first token.
    times: Option<(Duration, Duration)>,
    /// First tokens that these were taken from.
    samples: u32,
}

impl Ramp {
    /// Creates a ramp at the cold bound of zero.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            limit: Limit { cold: 0, full: 0 },
            warm: Duration::ZERO,
            now: 0,
            chilled: now,
            since: now,
            healthy: 0,
            times: None,
            samples: 0,
        }
    }

    /// Sets the bounds, and the time after a start for which the cold bound holds.
    pub(crate) fn bound(&mut self, limit: Limit, warm: Duration) {
        self.limit = limit;
        self.warm = warm;
        self.now = self.now.clamp(limit.cold.min(limit.full), limit.full);
    }

    /// Returns the limit in force.
    pub(crate) fn limit(&self) -> u32 {
        self.now
    }

    /// Returns whether the limit is below the bound of the steady state.
    pub(crate) fn cold(&self) -> bool {
        self.now < self.limit.full
    }

    /// Goes back to the cold bound.
    pub(crate) fn chill(&mut self, now: Instant) {
        self.now = self.limit.cold.min(self.limit.full);
        self.chilled = now;
        self.since = now;
        self.healthy = 0;
    }

    /// Takes in the time to a first token at a load no higher than the limit; returns whether
    /// it shows that the endpoint has turned cold.
    pub(crate) fn first(&mut self, time: Duration, now: Instant) -> bool {
        let (recent, usual) = self.times.unwrap_or((time, time));
        self.samples = SMOOTHING.1.min(self.samples + 1);
        let recent = mean(recent, time, SMOOTHING.0.min(self.samples));
        let usual = mean(usual, time, self.samples);
        self.times = Some((recent, usual));
        if !self.later(JUMP) {
            return false;
        }
        self.times = None;
        self.samples = 0;
        self.chill(now);
        true
    }

    /// Returns whether recent first tokens come so many times later than usual.
    fn later(&self, times: u32) -> bool {
        let times = self.times.map(|(recent, usual)| (recent, usual * times));
        times.is_some_and(|(recent, late)| recent > FLOOR.max(late))
    }

    /// Takes in an attempt that ended whole: when it began, and how many ran beside it then.
    pub(crate) fn done(&mut self, began: Instant, beside: u32, now: Instant) {
        let early = began < self.since || now < self.chilled + self.warm;
        if early || !self.cold() || self.later(SLOW) || beside * 2 < self.now {
            return;
        }
        self.healthy += 1;
        if self.healthy < self.now {
            return;
        }
        let raised = (self.now + 1).max(self.now * 3 / 2);
        self.now = raised.min(self.limit.full);
        self.since = now;
        self.healthy = 0;
    }
}

fn mean(old: Duration, sample: Duration, smoothing: u32) -> Duration {
    (old * (smoothing - 1) + sample) / smoothing
}
