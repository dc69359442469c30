use fake::{Client, Fleet, TEAM_KEY, Topology};

#[tokio::test(flavor = "multi_thread")]
async fn clear_refusals() {
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let stranger = Client::new("not a key", false)
        .request_draft(entry, "p", 1)
        .await
        .unwrap();
    assert_eq!(
        (stranger.status.as_u16(), &stranger.json()["run"]),
        (401, &"no".into())
    );
    let caller = Client::new(TEAM_KEY, false);
    let lost = caller
        .send("GET", entry, "/nowhere", &[], "")
        .await
        .unwrap();
    assert_eq!(lost.json()["type"], "urn:apricotridge:problem:no-route");
    let key = [("idempotency-key", "two words")];
    let bad = caller
        .send("POST", entry, "/v1/orders", &key, "order")
        .await
        .unwrap();
    assert_eq!(bad.json()["type"], "urn:apricotridge:problem:key-invalid");
}
