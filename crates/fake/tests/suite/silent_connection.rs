use std::time::Duration;

use fake::{Client, Filter, Fleet, Relay, TEAM_KEY, Topology, expected_draft};
use tokio::time::{self, Instant};

/// Time within which a silent connection must be closed.
const DETECTION_TIME: Duration = Duration::from_secs(2);
/// Time for a new connection.
const RECONNECT_TIME: Duration = Duration::from_secs(1);
/// Time within which a request that was in flight must get its final response.
const FINAL_RESPONSE_TIME: Duration = Duration::from_secs(10);

#[tokio::test(flavor = "multi_thread")]
async fn replaced_in_time() {
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
    time::sleep(DETECTION_TIME).await;
    fleet.wait_ready().await.unwrap();
    let client = Client::new(TEAM_KEY, false);
    let entry = fleet.client_address("entry-a-0").unwrap();
    let request = tokio::spawn({
        let client = client.clone();
        async move { client.request_draft(entry, "long", 1000).await }
    });
    time::sleep(Duration::from_millis(500)).await;
    let silenced = Instant::now();
    relay.set_filter(Filter::DropExisting);
    time::sleep(DETECTION_TIME + RECONNECT_TIME).await;
    let response = client.request_draft(entry, "p", 4).await.unwrap();
    assert_eq!(response.text(), expected_draft("p", 4), "{response:?}");
    let long_response = request.await.unwrap().unwrap();
    assert!(
        silenced.elapsed() < FINAL_RESPONSE_TIME,
        "{:?}",
        silenced.elapsed()
    );
    assert!(long_response.body.is_none() || long_response.text() == expected_draft("long", 1000));
}
