use fake::{Client, Fleet, TEAM_KEY, Topology};

#[tokio::test(flavor = "multi_thread")]
async fn keys_stay_out() {
    let plan = Topology {
        log_level: "trace",
        ..Topology::default()
    };
    let fleet = Fleet::start(plan).await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let caller = Client::new(TEAM_KEY, false);
    caller
        .request_draft(entry, "secret-prompt", 2)
        .await
        .unwrap();
    caller
        .send("POST", entry, "/v1/orders", &[], "secret-order")
        .await
        .unwrap();
    let logs = fleet.read_logs().unwrap();
    assert!(logs.contains("is in force"), "the logs are empty");
    for secret in [TEAM_KEY, "secret-prompt", "secret-order"] {
        assert!(!logs.contains(secret), "{secret} is in a log");
    }
}
