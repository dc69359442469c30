use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use fleet::{Duty, Follower, LAPSE_GRACE, Replica, SourceError, Stage, Update};
use prometheus::Registry;
use tokio::time::{self, Instant};

use crate::{
    store_follower::FakeStore,
    support::{configuration, endpoint, page},
};

/// Duty that a test switches on and off.
#[derive(Default)]
struct Switch {
    on: AtomicBool,
    answers: AtomicU32,
    failures: AtomicU32,
}

impl Duty for Switch {
    fn is_on(&self) -> bool {
        self.on.load(Ordering::Relaxed)
    }

    fn record_answer(&self) {
        self.answers.fetch_add(1, Ordering::Relaxed);
    }

    fn record_failure(&self, _: Instant) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }
}

/// An entry that takes over watches from where the changes of the others have led it.
#[tokio::test(start_paused = true)]
async fn watch_resumes_from_peer() {
    let store = FakeStore::new(vec![
        Ok(page(vec![endpoint("e1", Stage::Ready, 8)], 8)),
        Err(SourceError::Unavailable("down".to_owned())),
    ]);
    let (duty, follower) = (
        Arc::new(Switch::default()),
        Arc::new(Follower::new(&Registry::new()).unwrap()),
    );
    tokio::spawn(follower.clone().run(store.clone(), duty.clone()));
    time::sleep(Duration::from_secs(20)).await;
    assert!(store.calls().is_empty(), "off duty");
    let mut news = page(vec![configuration(3, 5)], 7);
    news.keys = Some(vec!["configuration".into()]);
    follower.apply(news, "peer");
    duty.on.store(true, Ordering::Relaxed);
    time::sleep(Duration::from_secs(5)).await;
    assert_eq!(store.calls(), ["watch 7", "watch 8", "watch 8"]);
    let count = |count: &AtomicU32| count.load(Ordering::Relaxed);
    assert_eq!((count(&duty.answers), count(&duty.failures)), (1, 1));
}

/// Guards against the loss of endpoints whose registrations lapsed in an outage of the store, at an
/// entry that learns of it from another one only.
#[tokio::test(start_paused = true)]
async fn lapse_learned_from_peer() {
    let mut watcher = Replica::default();
    watcher.apply(
        page(vec![endpoint("e1", Stage::Ready, 1)], 1),
        Instant::now(),
    );
    let mut other = watcher.clone();
    watcher.note_failure(Instant::now());
    time::advance(Duration::from_secs(1)).await;
    let mut news = page(vec![configuration(3, 5)], 7);
    news.keys = Some(vec!["configuration".into()]);
    news.lapsing = watcher.lapsing(Instant::now());
    assert_eq!(news.lapsing, Duration::from_millis(1500));
    let updates = other.apply(news, Instant::now());
    assert!(updates.contains(&Update::Lapsed("e1".into())));
    let available = |replica: &Replica| {
        let now = Instant::now();
        replica.view(now).available("drafts", now).count()
    };
    assert_eq!(available(&other), 1);
    time::advance(LAPSE_GRACE).await;
    assert_eq!(available(&other), 0);
}
