use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use fleet::{Always, Follower, Page, Patience, Revision, Source, SourceError, Stage};
use futures::future::BoxFuture;
use prometheus::Registry;
use tokio::time;

use crate::support::{configuration, endpoint, page};

/// Store that returns prepared results and records its calls.
#[derive(Default)]
pub(crate) struct FakeStore {
    results: Mutex<VecDeque<Result<Page, SourceError>>>,
    calls: Mutex<Vec<String>>,
}

impl FakeStore {
    pub(crate) fn new(results: Vec<Result<Page, SourceError>>) -> Arc<Self> {
        Arc::new(Self {
            results: Mutex::new(results.into()),
            calls: Mutex::default(),
        })
    }

    pub(crate) fn calls(&self) -> Vec<String> {
        self.calls.lock().unwrap().clone()
    }

    fn next(&self, call: String) -> BoxFuture<'_, Result<Page, SourceError>> {
        self.calls.lock().unwrap().push(call);
        let result = self.results.lock().unwrap().pop_front();
        Box::pin(async move {
            match result {
                Some(result) => result,
                None => std::future::pending().await,
            }
        })
    }
}

impl Source for FakeStore {
    fn list(&self, _: Patience) -> BoxFuture<'_, Result<Page, SourceError>> {
        self.next("list".to_owned())
    }

    fn watch(&self, after: Revision, _: Patience) -> BoxFuture<'_, Result<Page, SourceError>> {
        self.next(format!("watch {after}"))
    }
}

async fn start_follower(store: &Arc<FakeStore>) -> Arc<Follower> {
    let follower = Arc::new(Follower::new(&Registry::new()).unwrap());
    tokio::spawn(follower.clone().run(store.clone(), Arc::new(Always)));
    time::sleep(Duration::from_secs(30)).await;
    follower
}

#[tokio::test(start_paused = true)]
async fn listing_after_compaction() {
    let store = FakeStore::new(vec![
        Ok(page(vec![configuration(1, 1)], 1)),
        Err(SourceError::Compacted),
        Ok(page(vec![configuration(2, 9)], 9)),
    ]);
    let follower = start_follower(&store).await;
    assert_eq!(
        *store.calls.lock().unwrap(),
        ["list", "watch 1", "list", "watch 9"]
    );
    assert_eq!(follower.position(), (9.into(), 9.into(), 2));
}

#[tokio::test(start_paused = true)]
async fn watch_after_outage() {
    let down = || Err(SourceError::Unavailable("down".to_owned()));
    let store = FakeStore::new(vec![
        down(),
        Ok(page(vec![configuration(1, 1)], 1)),
        down(),
        down(),
        Ok(page(vec![endpoint("e1", Stage::Ready, 2)], 2)),
    ]);
    let follower = start_follower(&store).await;
    let calls = store.calls.lock().unwrap().clone();
    assert_eq!(
        calls,
        ["list", "list", "watch 1", "watch 1", "watch 1", "watch 2"]
    );
    assert_eq!(follower.subscribe().borrow().endpoints.len(), 1);
}
