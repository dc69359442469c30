use std::time::Duration;

/// Time for which the store holds a watch that has no changes to return. Longer waits make fewer calls, each
/// of which the store charges for.
const WATCH_WAIT: Duration = Duration::from_millis(1600);
/// Time beyond the wait time within which the response to a watch must arrive.
const WATCH_RESPONSE_MARGIN: Duration = Duration::from_millis(600);
/// Time within which the response to any other call must arrive.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Shortest delay after a failed call, before jitter.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest time from the start of a failed call to the next one, before jitter.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(800);

/// How long one call to the store may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Patience {
    /// Time for which the store may hold a watch that has no changes to return.
    pub wait: Duration,
    /// Time within which each response must arrive, including that for setting up a connection.
    pub timeout: Duration,
}

/// Decides how long a call to the store may take and when the next one follows.
///
/// A call that the store never answers may begin just before the store returns from an outage. Timeout and
/// delay together stay below 2.4 s, so that processes that learn of changes from others have them within the 3 s
/// that the platform allows after an outage. The time that it allows for a change runs beside those.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Number of calls that have failed since the last answer.
    failures: u32,
}

impl Pace {
    /// Returns how long the next watch may take.
    ///
    /// After a failure it returns at once, as it is only to tell whether the store answers.
    #[must_use]
    pub const fn watch(self) -> Patience {
        self.watch_for(WATCH_WAIT)
    }

    /// Returns how long the next watch may take if it is to be held for `wait`.
    #[must_use]
    pub const fn watch_for(self, wait: Duration) -> Patience {
        if self.failures > 0 {
            return self.listing();
        }
        Patience {
            wait,
            timeout: wait.saturating_add(WATCH_RESPONSE_MARGIN),
        }
    }

    /// Returns how long each call of a listing may take.
    #[must_use]
    pub const fn listing(self) -> Patience {
        Patience {
            wait: Duration::ZERO,
            timeout: RESPONSE_TIMEOUT,
        }
    }

    /// Returns whether only one call has failed, so that a single response may have been lost.
    #[must_use]
    pub const fn is_doubtful(self) -> bool {
        self.failures == 1
    }

    /// Records that the store answered.
    pub const fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Records that a call failed `age` after its start; returns the delay before the next one, without
    /// jitter.
    ///
    /// The interval between the starts of two calls doubles with each failure, up to 800 ms.
    pub fn record_failure(&mut self, age: Duration) -> Duration {
        let factor = 1 << self.failures.min(8);
        self.failures = self.failures.saturating_add(1);
        let interval = (MIN_RETRY_DELAY * factor).min(MAX_RETRY_INTERVAL);
        interval.saturating_sub(age).max(MIN_RETRY_DELAY)
    }
}
