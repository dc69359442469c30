use fake::{Caller, Fleet, KEY, Plan};

#[tokio::test(flavor = "multi_thread")]
async fn keys_stay_out() {
    let plan = Plan {
        log_level: "trace",
        ..Plan::default()
    };
    let fleet = Fleet::start(plan).await.unwrap();
    let entry = fleet.callers("entry-a-0").unwrap();
    let caller = Caller::new(KEY, false);
    caller.draft(entry, "secret-prompt", 2).await.unwrap();
    caller
        .send("POST", entry, "/v1/orders", &[], "secret-order")
        .await
        .unwrap();
    let logs = fleet.logs().unwrap();
    assert!(logs.contains("is in force"), "the logs are empty");
    for secret in [KEY, "secret-prompt", "secret-order"] {
        assert!(!logs.contains(secret), "{secret} is in a log");
    }
}
