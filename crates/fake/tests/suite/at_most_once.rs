use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use fake::{Client, Fleet, Response, Signal, TEAM_KEY, Topology};
use node::Addresses;
use tokio::time;

/// Path of an order that runs long enough for a fault to occur during the run.
const SLOW_ORDER: &str = "/v1/orders?pause_ms=1500";

async fn start_fleet() -> (Fleet, Client, [SocketAddr; 2]) {
    let topology = Topology {
        entries: 2,
        ..Topology::default()
    };
    let fleet = Fleet::start(topology).await.unwrap();
    let entries = ["entry-a-0", "entry-a-1"].map(|name| fleet.client_address(name).unwrap());
    (fleet, Client::new(TEAM_KEY, false), entries)
}

/// Returns how often the service ran an order with a body.
async fn count_runs(fleet: &Fleet, body: &str) -> u64 {
    let service: SocketAddr = fleet.backends["orders-a-0"].ready_line().parse().unwrap();
    let counts = Client::new("", false)
        .send("GET", service, "/counts", &[], "")
        .await
        .unwrap();
    let name = format!("POST /v1/orders {body}");
    counts.json()[name.as_str()].as_u64().unwrap_or(0)
}

/// Waits until the service runs an order with a body.
async fn wait_run(fleet: &Fleet, body: &str) {
    while count_runs(fleet, body).await == 0 {
        time::sleep(Duration::from_millis(10)).await;
    }
}

/// Kills the agent and waits until its port is free.
async fn kill_agent(fleet: &mut Fleet) {
    let agent = fleet.agents.get_mut("orders-a-0").unwrap();
    agent.signal(Signal::Kill).unwrap();
    assert!(agent.wait(Duration::from_secs(60)).await.unwrap().is_some());
}

/// Returns the problem type, without its URN prefix, and the `run` field of a response.
fn problem(response: &Response) -> (String, String) {
    let json = response.json();
    let name = json["type"].as_str().unwrap_or_default();
    let kind = name.rsplit(':').next().unwrap_or_default().to_owned();
    (kind, json["run"].as_str().unwrap_or_default().to_owned())
}

fn is_problem(response: &Response, kind: &str, run: &str) -> bool {
    problem(response) == (kind.to_owned(), run.to_owned())
}

/// Sends an order until its owner responds; each earlier response must say that the order was not run,
/// or that the owner, the only process that knows of earlier attempts, could not be reached.
async fn order_until_owner_responds(
    client: &Client,
    entry: SocketAddr,
    key: &str,
    path: &str,
    body: &str,
) -> Response {
    loop {
        let response = client.send_order(entry, key, path, body).await.unwrap();
        if problem(&response).1 != "no" && !is_problem(&response, "no-endpoint", "unknown") {
            return response;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn interrupted_run_unrepeated() {
    let (mut fleet, client, entries) = start_fleet().await;
    let key = client.request_key(entries[0]).await.unwrap();
    let request = {
        let (client, key) = (client.clone(), key.clone());
        tokio::spawn(async move { client.send_order(entries[0], &key, SLOW_ORDER, "o").await })
    };
    wait_run(&fleet, "o").await;
    kill_agent(&mut fleet).await;
    let first = request.await.unwrap().unwrap();
    assert!(is_problem(&first, "interrupted", "unknown"), "{first:?}");
    assert_eq!(first.headers["idempotency-key"], key.as_str());
    fleet.start_agent("orders-a-0").unwrap();
    fleet.wait_ready().await.unwrap();
    for entry in entries {
        let again = order_until_owner_responds(&client, entry, &key, SLOW_ORDER, "o").await;
        assert!(is_problem(&again, "owner-lost", "unknown"), "{again:?}");
    }
    assert_eq!(count_runs(&fleet, "o").await, 1);
    let key = client.request_key(entries[0]).await.unwrap();
    let fresh = client.send_order(entries[0], &key, "/v1/orders", "p");
    assert_eq!(fresh.await.unwrap().json()["count"], 1);
}

/// An agent that cannot listen on its former address says so in the error of its start.
#[tokio::test(flavor = "multi_thread")]
async fn taken_port_named() {
    let (mut fleet, ..) = start_fleet().await;
    let agent: Addresses = serde_json::from_str(fleet.agents["orders-a-0"].ready_line()).unwrap();
    kill_agent(&mut fleet).await;
    let socket = UdpSocket::bind(agent.peers).unwrap();
    let error = format!("{:?}", fleet.start_agent("orders-a-0").unwrap_err());
    assert!(error.contains("Address already in use"), "{error}");
    drop(socket);
    fleet.start_agent("orders-a-0").unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_loses_ownership() {
    let (mut fleet, client, entries) = start_fleet().await;
    let unused_key = client.request_key(entries[0]).await.unwrap();
    let used_key = client.request_key(entries[1]).await.unwrap();
    let done = client
        .send_order(entries[0], &used_key, "/v1/orders", "o")
        .await
        .unwrap();
    assert_eq!(done.json()["count"], 1);
    kill_agent(&mut fleet).await;
    fleet.start_agent("orders-a-0").unwrap();
    fleet.wait_ready().await.unwrap();
    for (key, body) in [(&unused_key, "n"), (&used_key, "o")] {
        let response =
            order_until_owner_responds(&client, entries[0], key, "/v1/orders", body).await;
        assert!(
            is_problem(&response, "owner-lost", "unknown"),
            "{response:?}"
        );
    }
    let client_key =
        order_until_owner_responds(&client, entries[1], "my-own-key", "/v1/orders", "n").await;
    assert!(
        is_problem(&client_key, "owner-lost", "unknown"),
        "{client_key:?}"
    );
    assert_eq!(
        (count_runs(&fleet, "n").await, count_runs(&fleet, "o").await),
        (0, 1)
    );
    let without_key = client
        .send("POST", entries[0], "/v1/orders", &[], "n")
        .await
        .unwrap();
    assert_eq!(without_key.json()["count"], 1);
    assert!(without_key.headers.contains_key("idempotency-key"));
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed() {
    let (fleet, client, entries) = start_fleet().await;
    let key = client.request_key(entries[0]).await.unwrap();
    let request = {
        let (client, key) = (client.clone(), key.clone());
        tokio::spawn(async move { client.send_order(entries[0], &key, SLOW_ORDER, "o").await })
    };
    wait_run(&fleet, "o").await;
    let running = client
        .send_order(entries[1], &key, SLOW_ORDER, "o")
        .await
        .unwrap();
    assert!(
        is_problem(&running, "in-progress", "unknown"),
        "{running:?}"
    );
    fleet.entries["entry-a-0"].signal(Signal::Kill).unwrap();
    assert!(request.await.unwrap().is_err());
    let response = loop {
        let response = client
            .send_order(entries[1], &key, SLOW_ORDER, "o")
            .await
            .unwrap();
        if response.status.is_success() {
            break response;
        }
        assert!(
            is_problem(&response, "in-progress", "unknown"),
            "{response:?}"
        );
        time::sleep(Duration::from_millis(100)).await;
    };
    let again = client
        .send_order(entries[1], &key, SLOW_ORDER, "o")
        .await
        .unwrap();
    assert_eq!(response.body, again.body);
    assert_eq!(count_runs(&fleet, "o").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_orders() {
    let (fleet, client, entries) = start_fleet().await;
    let key = client.request_key(entries[0]).await.unwrap();
    let requests = (0..16).map(|i| client.send_order(entries[i % 2], &key, SLOW_ORDER, "o"));
    let responses = futures::future::try_join_all(requests).await.unwrap();
    let successes = responses
        .iter()
        .filter(|response| response.status.is_success());
    assert_eq!(successes.count(), 1);
    let failures = responses
        .iter()
        .filter(|response| !response.status.is_success());
    for response in failures {
        assert_eq!(problem(response).1, "unknown", "{response:?}");
    }
    assert_eq!(count_runs(&fleet, "o").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn service_down() {
    let (mut fleet, client, entries) = start_fleet().await;
    let key = client.request_key(entries[0]).await.unwrap();
    // A service that has not ended yet may still accept a connection, and the answer is then "unknown".
    let service = fleet.backends.get_mut("orders-a-0").unwrap();
    service.signal(Signal::Kill).unwrap();
    assert!(
        service
            .wait(Duration::from_secs(60))
            .await
            .unwrap()
            .is_some()
    );
    let response = client
        .send_order(entries[0], &key, "/v1/orders", "o")
        .await
        .unwrap();
    assert_eq!(problem(&response).1, "no", "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_paused() {
    let (fleet, client, entries) = start_fleet().await;
    let key = client.request_key(entries[0]).await.unwrap();
    let agent = &fleet.agents["orders-a-0"];
    agent.signal(Signal::Stop).unwrap();
    let response = client
        .send_order(entries[0], &key, "/v1/orders", "o")
        .await
        .unwrap();
    assert!(
        is_problem(&response, "no-endpoint", "unknown"),
        "{response:?}"
    );
    let without_key = client.send("POST", entries[0], "/v1/orders", &[], "o");
    let without_key = without_key.await.unwrap();
    assert!(
        is_problem(&without_key, "no-endpoint", "no"),
        "{without_key:?}"
    );
    agent.signal(Signal::Continue).unwrap();
    fleet.wait_ready().await.unwrap();
    time::sleep(Duration::from_millis(500)).await;
    assert_eq!(count_runs(&fleet, "o").await, 0);
    let again = order_until_owner_responds(&client, entries[1], &key, "/v1/orders", "o").await;
    assert_eq!(again.json()["count"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_replays() {
    let (fleet, client, entries) = start_fleet().await;
    let key = client.request_key(entries[0]).await.unwrap();
    let first = client.send_order(entries[0], &key, "/v1/orders", "o");
    let first = first.await.unwrap();
    assert!(first.status.is_success(), "{first:?}");
    for i in 0..200 {
        let again = client.send_order(entries[i % 2], &key, "/v1/orders", "o");
        let again = again.await.unwrap();
        assert_eq!(again.body, first.body, "{i}: {again:?}");
    }
    assert_eq!(count_runs(&fleet, "o").await, 1);
}
