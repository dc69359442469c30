use std::{sync::Arc, time::Duration};

use fleet::{Always, Follower, Page, Patience, Revision, Source, SourceError};
use futures::future::BoxFuture;
use prometheus::Registry;
use tokio::time::{self, Instant};

use crate::support::{configuration, page};

/// Time after the end of an outage within which a configuration that was confirmed by then must be in force.
/// The platform allows 3 s; processes that do not ask the store learn of it later than those that do.
const LIMIT: Duration = Duration::from_millis(2500);
/// Time that the store takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Store with one outage, at the end of which a second configuration is written.
///
/// A call that is open at any time of the outage is never answered.
struct Store {
    outage: (Instant, Instant),
    calls: std::sync::atomic::AtomicU32,
}

impl Store {
    fn version(&self, now: Instant) -> u64 {
        if now < self.outage.1 { 1 } else { 2 }
    }

    async fn answer(&self, wait_until: Instant, timeout: Duration) -> Result<Page, SourceError> {
        self.calls
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let called_at = Instant::now();
        let (start, end) = self.outage;
        if called_at < end && wait_until + ANSWER_TIME > start {
            time::sleep(timeout).await;
            return Err(SourceError::Unavailable("no answer".to_owned()));
        }
        time::sleep_until(wait_until + ANSWER_TIME).await;
        let version = self.version(Instant::now());
        Ok(page(vec![configuration(version, version)], version))
    }
}

impl Source for Store {
    fn list(&self, patience: Patience) -> BoxFuture<'_, Result<Page, SourceError>> {
        Box::pin(self.answer(Instant::now(), patience.timeout))
    }

    fn watch(
        &self,
        after: Revision,
        patience: Patience,
    ) -> BoxFuture<'_, Result<Page, SourceError>> {
        let now = Instant::now();
        let is_changed = after < Revision::from(self.version(now));
        let wait_until = if is_changed { now } else { now + patience.wait };
        Box::pin(self.answer(wait_until, patience.timeout))
    }
}

/// Returns the time from the end of an outage until the configuration written then is in force, and the
/// number of calls per second of the outage.
async fn measure_outage(start: Duration, length: Duration) -> (Duration, f64) {
    let begin = Instant::now() + start;
    let store = Arc::new(Store {
        outage: (begin, begin + length),
        calls: Default::default(),
    });
    let follower = Arc::new(Follower::new(&Registry::new()).unwrap());
    let mut view = follower.subscribe();
    let task = tokio::spawn(follower.clone().run(store.clone(), Arc::new(Always)));
    time::sleep_until(begin).await;
    let calls = || store.calls.load(std::sync::atomic::Ordering::Relaxed);
    let before = calls();
    time::sleep_until(begin + length).await;
    let rate = f64::from(calls() - before) / length.as_secs_f64();
    let version = |view: &fleet::View| view.configuration.as_ref().map_or(0, |c| c.version);
    view.wait_for(|view| version(view) == 2).await.unwrap();
    task.abort();
    ((begin + length).elapsed(), rate)
}

/// Guards against a configuration that was confirmed after an outage of the store and came into force too
/// late (CONFIG).
#[tokio::test(start_paused = true)]
async fn configuration_in_time() {
    for length in [1, 50, 400, 1500, 2200, 3100, 6000, 12000] {
        for phase in 0..40 {
            let start = Duration::from_millis(5000 + 91 * phase);
            let (delay, _) = measure_outage(start, Duration::from_millis(length)).await;
            assert!(
                delay < LIMIT,
                "outage of {length} ms from {start:?}: {delay:?}"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn calls_during_outage_limited() {
    for phase in 0..20 {
        let start = Duration::from_millis(5000 + 100 * phase);
        let (_, rate) = measure_outage(start, Duration::from_secs(30)).await;
        assert!(rate < 1.0, "{rate} calls a second");
    }
}
