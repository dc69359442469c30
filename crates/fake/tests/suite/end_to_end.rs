use fake::{Client, Fleet, TEAM_KEY, Topology, expected_draft};
use futures::{StreamExt as _, TryStreamExt as _, stream};

/// Number of drafts requested through entries and agents.
const REQUESTS: usize = 1000;
/// Largest number of requests in flight.
const CONCURRENCY: usize = 50;
/// Number of tokens of each draft.
const TOKENS: u32 = 8;

#[tokio::test(flavor = "multi_thread")]
async fn thousand_drafts() {
    let topology = Topology {
        zones: vec!["a", "b"],
        ..Topology::default()
    };
    let fleet = Fleet::start(topology).await.unwrap();
    let entries = [
        fleet.client_address("entry-a-0").unwrap(),
        fleet.client_address("entry-b-0").unwrap(),
    ];
    let clients = [Client::new(TEAM_KEY, false), Client::new(TEAM_KEY, true)];
    let requests = stream::iter(0..REQUESTS).map(|i| {
        let (client, entry) = (&clients[i % 2], entries[i / 2 % 2]);
        async move {
            let prompt = format!("prompt {i}");
            let response = client.request_draft(entry, &prompt, TOKENS).await?;
            assert_eq!(
                response.text(),
                expected_draft(&prompt, TOKENS),
                "{response:?}"
            );
            anyhow::Ok(())
        }
    });
    requests
        .buffer_unordered(CONCURRENCY)
        .try_collect::<()>()
        .await
        .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn order_runs_once() {
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let client = Client::new(TEAM_KEY, false);
    let key = client.request_key(entry).await.unwrap();
    let headers = [("idempotency-key", key.as_str())];
    let first = client
        .send("POST", entry, "/v1/orders", &headers, "order")
        .await
        .unwrap();
    let second = client
        .send("POST", entry, "/v1/orders", &headers, "order")
        .await
        .unwrap();
    assert_eq!(first.json()["count"], 1);
    assert_eq!(first.body, second.body);
    let other = client
        .send("POST", entry, "/v1/orders", &headers, "another order")
        .await
        .unwrap();
    assert_eq!(other.status, 422);
}
