use std::{net::SocketAddr, time::Duration};

use fake::{Client, Filter, Fleet, Relay, Signal, TEAM_KEY, Topology, expected_draft};
use tokio::time;

/// Number of tokens of a draft during which an agent is killed.
const TOKENS: u32 = 400;

#[tokio::test(flavor = "multi_thread")]
async fn interrupted_draft_incomplete() {
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let requests = [false, true].map(|http2| {
        let client = Client::new(TEAM_KEY, http2);
        tokio::spawn(async move { client.request_draft(entry, "p", TOKENS).await })
    });
    time::sleep(Duration::from_millis(500)).await;
    fleet.agents["drafts-a-0"].signal(Signal::Kill).unwrap();
    for request in requests {
        let response = request.await.unwrap().unwrap();
        assert!(response.status.is_success());
        assert_eq!(response.body, None, "an incomplete response looks complete");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_attempt_id() {
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let engine: SocketAddr = fleet.backends["drafts-a-0"].ready_line().parse().unwrap();
    let set_behaviour = |body: &'static str| async move {
        let client = Client::new("", false);
        let response = client.send("POST", engine, "/control", &[], body).await;
        assert!(response.unwrap().status.is_success());
    };
    let client = Client::new(TEAM_KEY, false);
    set_behaviour(r#"{ "crossed": true }"#).await;
    let response = client.request_draft(entry, "p", 4).await.unwrap();
    assert_eq!(
        response.json()["type"],
        "urn:apricotridge:problem:bad-answer"
    );
    assert_eq!(response.json()["run"], "unknown");
    set_behaviour("{}").await;
    let response = client.request_draft(entry, "p", 4).await.unwrap();
    assert_eq!(response.text(), expected_draft("p", 4));
    let agent: serde_json::Value =
        serde_json::from_str(fleet.agents["drafts-a-0"].ready_line()).unwrap();
    let operators = agent["operators"].as_str().unwrap().parse().unwrap();
    let metrics = client
        .send("GET", operators, "/metrics", &[], "")
        .await
        .unwrap();
    let prefix = "apricot_agent_strays_total ";
    let text = metrics.text();
    let count = text.lines().find_map(|line| line.strip_prefix(prefix));
    assert!(count.is_some_and(|count| count != "0"), "{text}");
}

/// Guards against an engine's answer with a status that HTTP does not have, and that reaches the client as an answer.
#[tokio::test(flavor = "multi_thread")]
async fn odd_status() {
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let engine: SocketAddr = fleet.backends["drafts-a-0"].ready_line().parse().unwrap();
    for status in [600, 777, 999] {
        let body = format!(r#"{{ "status": {status} }}"#);
        let control = Client::new("", false);
        let response = control.send("POST", engine, "/control", &[], body).await;
        assert!(response.unwrap().status.is_success());
        let client = Client::new(TEAM_KEY, false);
        let response = client.request_draft(entry, "p", 4).await.unwrap();
        assert_eq!(response.status, 502, "{response:?}");
        assert_eq!(
            response.json()["type"],
            "urn:apricotridge:problem:bad-answer"
        );
        assert_eq!(response.json()["run"], "unknown");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connection() {
    let mut fleet = Fleet::start(Topology::default()).await.unwrap();
    let agent = fleet.document.endpoints["drafts-a-0"].agent;
    let (relay, address) = Relay::start(agent).await.unwrap();
    if let Some(endpoint) = fleet.document.endpoints.get_mut("drafts-a-0") {
        endpoint.agent = address;
    }
    fleet.publish().await.unwrap();
    time::sleep(Duration::from_millis(500)).await;
    fleet.wait_ready().await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let client = Client::new(TEAM_KEY, false);
    let request = tokio::spawn(async move { client.request_draft(entry, "p", 1200).await });
    time::sleep(Duration::from_millis(800)).await;
    relay.set_filter(Filter::DropExisting);
    let response = request.await.unwrap().unwrap();
    assert_eq!(
        response.text(),
        expected_draft("p", 1200),
        "{:?}",
        response.status
    );
}

/// Waits until a service has run a request; returns the name of its endpoint.
async fn wait_run(fleet: &Fleet) -> &'static str {
    loop {
        for name in ["orders-a-0", "orders-a-1"] {
            let service = fleet.backends[name].ready_line().parse().unwrap();
            let client = Client::new("", false);
            let counts = client.send("GET", service, "/counts", &[], "").await;
            if counts.unwrap().json() != serde_json::json!({}) {
                return name;
            }
        }
        time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn long_body_interrupted() {
    let topology = Topology {
        services: 2,
        ..Topology::default()
    };
    let fleet = Fleet::start(topology).await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let client = Client::new(TEAM_KEY, false);
    let body = "x".repeat(200 * 1024);
    let request = tokio::spawn(async move {
        let path = "/v1/lookups/1?pause_ms=3000";
        client.send("GET", entry, path, &[], body).await
    });
    let name = wait_run(&fleet).await;
    fleet.agents[name].signal(Signal::Kill).unwrap();
    let response = request.await.unwrap().unwrap();
    assert_eq!(
        response.status, 502,
        "an incomplete request body was treated as complete"
    );
    assert_eq!(response.json()["run"], "unknown");
}
