use std::{net::SocketAddr, time::Duration};

use fake::{Client, Filter, Fleet, Relay, Signal, TEAM_KEY, Topology, expected_draft};
use tokio::time;

const TOKENS: u32 = 400;

#[tokio::test(flavor = "multi_thread")]
async fn cut_answers() {
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let calls = [false, true].map(|http2| {
        let caller = Client::new(TEAM_KEY, http2);
        tokio::spawn(async move { caller.request_draft(entry, "p", TOKENS).await })
    });
    time::sleep(Duration::from_millis(500)).await;
    fleet.agents["drafts-a-0"].signal(Signal::Kill).unwrap();
    for call in calls {
        let answer = call.await.unwrap().unwrap();
        assert!(answer.status.is_success());
        assert_eq!(answer.body, None, "a cut answer looks whole");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_answers() {
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let engine: SocketAddr = fleet.backends["drafts-a-0"].ready_line().parse().unwrap();
    let control = |body: &'static str| async move {
        let caller = Client::new("", false);
        let set = caller.send("POST", engine, "/control", &[], body).await;
        assert!(set.unwrap().status.is_success());
    };
    let caller = Client::new(TEAM_KEY, false);
    control(r#"{ "crossed": true }"#).await;
    let answer = caller.request_draft(entry, "p", 4).await.unwrap();
    assert_eq!(answer.json()["type"], "urn:apricotridge:problem:bad-answer");
    assert_eq!(answer.json()["run"], "unknown");
    control("{}").await;
    let answer = caller.request_draft(entry, "p", 4).await.unwrap();
    assert_eq!(answer.text(), expected_draft("p", 4));
    let agent: serde_json::Value =
        serde_json::from_str(fleet.agents["drafts-a-0"].ready_line()).unwrap();
    let operators = agent["operators"].as_str().unwrap().parse().unwrap();
    let metrics = caller
        .send("GET", operators, "/metrics", &[], "")
        .await
        .unwrap();
    let dropped = "apricot_agent_strays_total ";
    let line = metrics.text();
    let count = line.lines().find_map(|line| line.strip_prefix(dropped));
    assert!(count.is_some_and(|count| count != "0"), "{line}");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_link() {
    let mut fleet = Fleet::start(Topology::default()).await.unwrap();
    let endpoint = fleet.document.endpoints["drafts-a-0"].agent;
    let (relay, address) = Relay::start(endpoint).await.unwrap();
    if let Some(endpoint) = fleet.document.endpoints.get_mut("drafts-a-0") {
        endpoint.agent = address;
    }
    fleet.publish().await.unwrap();
    time::sleep(Duration::from_millis(500)).await;
    fleet.wait_ready().await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let caller = Client::new(TEAM_KEY, false);
    let call = tokio::spawn(async move { caller.request_draft(entry, "p", 1200).await });
    time::sleep(Duration::from_millis(800)).await;
    relay.set_filter(Filter::DropExisting);
    let answer = call.await.unwrap().unwrap();
    assert_eq!(
        answer.text(),
        expected_draft("p", 1200),
        "{:?}",
        answer.status
    );
}

/// Returns the name of the endpoint whose service has run something.
async fn busy(fleet: &Fleet) -> &'static str {
    loop {
        for name in ["orders-a-0", "orders-a-1"] {
            let service = fleet.backends[name].ready_line().parse().unwrap();
            let caller = Client::new("", false);
            let counts = caller.send("GET", service, "/counts", &[], "").await;
            if counts.unwrap().json() != serde_json::json!({}) {
                return name;
            }
        }
        time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn long_body() {
    let plan = Topology {
        services: 2,
        ..Topology::default()
    };
    let fleet = Fleet::start(plan).await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let caller = Client::new(TEAM_KEY, false);
    let body = "x".repeat(200 * 1024);
    let call = tokio::spawn(async move {
        let path = "/v1/lookups/1?pause_ms=3000";
        caller.send("GET", entry, path, &[], body).await
    });
    let name = busy(&fleet).await;
    fleet.agents[name].signal(Signal::Kill).unwrap();
    let answer = call.await.unwrap().unwrap();
    assert_eq!(answer.status, 502, "part of the body was sent as the whole");
    assert_eq!(answer.json()["run"], "unknown");
}
