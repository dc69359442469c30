use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use fleet::{Follower, Page, Revision, Source, SourceError, Stage};
use futures::future::BoxFuture;
use prometheus::Registry;
use tokio::time;

use crate::support::{configuration, endpoint, page};

/// Store that gives prepared answers, and notes what it was asked.
#[derive(Default)]
struct Script {
    answers: Mutex<VecDeque<Result<Page, SourceError>>>,
    asked: Mutex<Vec<String>>,
}

impl Script {
    fn new(answers: Vec<Result<Page, SourceError>>) -> Arc<Self> {
        Arc::new(Self {
            answers: Mutex::new(answers.into()),
            asked: Mutex::default(),
        })
    }

    fn next(&self, question: String) -> BoxFuture<'_, Result<Page, SourceError>> {
        self.asked.lock().unwrap().push(question);
        let answer = self.answers.lock().unwrap().pop_front();
        Box::pin(async move {
            match answer {
                Some(answer) => answer,
                None => std::future::pending().await,
            }
        })
    }
}

impl Source for Script {
    fn list(&self) -> BoxFuture<'_, Result<Page, SourceError>> {
        self.next("list".to_owned())
    }

    fn watch(&self, after: Revision) -> BoxFuture<'_, Result<Page, SourceError>> {
        self.next(format!("watch {after}"))
    }
}

async fn follow(script: &Arc<Script>) -> Arc<Follower> {
    let follow = Arc::new(Follower::new(&Registry::new()).unwrap());
    tokio::spawn(follow.clone().run(script.clone()));
    time::sleep(Duration::from_secs(30)).await;
    follow
}

#[tokio::test(start_paused = true)]
async fn lists_anew_after_compaction() {
    let script = Script::new(vec![
        Ok(page(vec![configuration(1, 1)], 1)),
        Err(SourceError::Compacted),
        Ok(page(vec![configuration(2, 9)], 9)),
    ]);
    let follow = follow(&script).await;
    assert_eq!(
        *script.asked.lock().unwrap(),
        ["list", "watch 1", "list", "watch 9"]
    );
    assert_eq!(follow.position(), (9, 9, 2));
}

#[tokio::test(start_paused = true)]
async fn goes_on_after_outage() {
    let down = || Err(SourceError::Unavailable("down".to_owned()));
    let script = Script::new(vec![
        down(),
        Ok(page(vec![configuration(1, 1)], 1)),
        down(),
        down(),
        Ok(page(vec![endpoint("e1", Stage::Ready, 2)], 2)),
    ]);
    let follow = follow(&script).await;
    let asked = script.asked.lock().unwrap().clone();
    assert_eq!(
        asked,
        ["list", "list", "watch 1", "watch 1", "watch 1", "watch 2"]
    );
    assert_eq!(follow.subscribe().borrow().endpoints.len(), 1);
}
