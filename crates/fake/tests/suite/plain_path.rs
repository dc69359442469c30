use fake::{Client, Fleet, TEAM_KEY, Topology, expected_draft};
use futures::{StreamExt as _, TryStreamExt as _, stream};

/// Streamed calls over the whole path.
const CALLS: usize = 1000;
/// Calls in flight at a time.
const AT_ONCE: usize = 50;
const TOKENS: u32 = 8;

#[tokio::test(flavor = "multi_thread")]
async fn thousand_streams() {
    let plan = Topology {
        zones: vec!["a", "b"],
        ..Topology::default()
    };
    let fleet = Fleet::start(plan).await.unwrap();
    let entries = [
        fleet.client_address("entry-a-0").unwrap(),
        fleet.client_address("entry-b-0").unwrap(),
    ];
    let callers = [Client::new(TEAM_KEY, false), Client::new(TEAM_KEY, true)];
    let calls = stream::iter(0..CALLS).map(|i| {
        let (caller, entry) = (&callers[i % 2], entries[i / 2 % 2]);
        async move {
            let prompt = format!("prompt {i}");
            let answer = caller.request_draft(entry, &prompt, TOKENS).await?;
            assert_eq!(answer.text(), expected_draft(&prompt, TOKENS), "{answer:?}");
            anyhow::Ok(())
        }
    });
    calls
        .buffer_unordered(AT_ONCE)
        .try_collect::<()>()
        .await
        .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn order_once() {
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let caller = Client::new(TEAM_KEY, false);
    let key = caller.request_key(entry).await.unwrap();
    let headers = [("idempotency-key", key.as_str())];
    let first = caller
        .send("POST", entry, "/v1/orders", &headers, "order")
        .await
        .unwrap();
    let second = caller
        .send("POST", entry, "/v1/orders", &headers, "order")
        .await
        .unwrap();
    assert_eq!(first.json()["count"], 1);
    assert_eq!(first.body, second.body);
    let other = caller
        .send("POST", entry, "/v1/orders", &headers, "another order")
        .await
        .unwrap();
    assert_eq!(other.status, 422);
}
