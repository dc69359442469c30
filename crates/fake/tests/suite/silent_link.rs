use std::time::Duration;

use fake::{Client, Filter, Fleet, Relay, TEAM_KEY, Topology, expected_draft};
use tokio::time::{self, Instant};

/// Time in which a silent link must be left and its endpoint reached again.
const NOTICED: Duration = Duration::from_secs(2);
/// Time for a new link.
const REDIAL: Duration = Duration::from_secs(1);
/// Time in which a request that was in flight must have its final answer.
const FINAL: Duration = Duration::from_secs(10);

#[tokio::test(flavor = "multi_thread")]
async fn left_in_time() {
    let mut fleet = Fleet::start(Topology::default()).await.unwrap();
    let agent = fleet.document.endpoints["drafts-a-0"].agent;
    let (relay, address) = Relay::start(agent).await.unwrap();
    fleet
        .document
        .endpoints
        .get_mut("drafts-a-0")
        .unwrap()
        .agent = address;
    fleet.publish().await.unwrap();
    time::sleep(NOTICED).await;
    fleet.wait_ready().await.unwrap();
    let caller = Client::new(TEAM_KEY, false);
    let entry = fleet.client_address("entry-a-0").unwrap();
    let long = tokio::spawn({
        let caller = caller.clone();
        async move { caller.request_draft(entry, "long", 1000).await }
    });
    time::sleep(Duration::from_millis(500)).await;
    let silenced = Instant::now();
    relay.set_filter(Filter::DropExisting);
    time::sleep(NOTICED + REDIAL).await;
    let answer = caller.request_draft(entry, "p", 4).await.unwrap();
    assert_eq!(answer.text(), expected_draft("p", 4), "{answer:?}");
    let long = long.await.unwrap().unwrap();
    assert!(silenced.elapsed() < FINAL, "{:?}", silenced.elapsed());
    assert!(long.body.is_none() || long.text() == expected_draft("long", 1000));
}
