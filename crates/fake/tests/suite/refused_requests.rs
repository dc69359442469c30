use fake::{Client, Fleet, TEAM_KEY, Topology};

#[tokio::test(flavor = "multi_thread")]
async fn problem_types() {
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let unauthenticated = Client::new("not a key", false)
        .request_draft(entry, "p", 1)
        .await
        .unwrap();
    assert_eq!(
        (
            unauthenticated.status.as_u16(),
            &unauthenticated.json()["run"]
        ),
        (401, &"no".into())
    );
    let client = Client::new(TEAM_KEY, false);
    let unrouted = client
        .send("GET", entry, "/nowhere", &[], "")
        .await
        .unwrap();
    assert_eq!(unrouted.json()["type"], "urn:apricotridge:problem:no-route");
    let key = [("idempotency-key", "two words")];
    let invalid_key = client
        .send("POST", entry, "/v1/orders", &key, "order")
        .await
        .unwrap();
    assert_eq!(
        invalid_key.json()["type"],
        "urn:apricotridge:problem:key-invalid"
    );
}
