use fake::{Client, Fleet, TEAM_KEY, Topology};

#[tokio::test(flavor = "multi_thread")]
async fn trace_omits_secrets() {
    let topology = Topology {
        log_level: "trace",
        ..Topology::default()
    };
    let fleet = Fleet::start(topology).await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let client = Client::new(TEAM_KEY, false);
    client
        .request_draft(entry, "secret-prompt", 2)
        .await
        .unwrap();
    client
        .send("POST", entry, "/v1/orders", &[], "secret-order")
        .await
        .unwrap();
    let logs = fleet.read_logs().unwrap();
    assert!(
        logs.contains("is in force"),
        "the logs do not mention the version in force"
    );
    for secret in [TEAM_KEY, "secret-prompt", "secret-order"] {
        assert!(!logs.contains(secret), "the logs contain {secret}");
    }
}
