use std::{net::SocketAddr, time::Duration};

use fake::{Client, Fleet, Response, Signal, TEAM_KEY, Topology};
use tokio::time;

/// Order that takes long enough to be hit while it runs.
const SLOW: &str = "/v1/orders?pause_ms=1500";

async fn start() -> (Fleet, Client, [SocketAddr; 2]) {
    let plan = Topology {
        entries: 2,
        ..Topology::default()
    };
    let fleet = Fleet::start(plan).await.unwrap();
    let entries = ["entry-a-0", "entry-a-1"].map(|name| fleet.client_address(name).unwrap());
    (fleet, Client::new(TEAM_KEY, false), entries)
}

/// Returns how often the service ran a body.
async fn runs(fleet: &Fleet, body: &str) -> u64 {
    let service: SocketAddr = fleet.backends["orders-a-0"].ready_line().parse().unwrap();
    let counts = Client::new("", false)
        .send("GET", service, "/counts", &[], "")
        .await
        .unwrap();
    let name = format!("POST /v1/orders {body}");
    counts.json()[name.as_str()].as_u64().unwrap_or(0)
}

async fn wait_run(fleet: &Fleet, body: &str) {
    while runs(fleet, body).await == 0 {
        time::sleep(Duration::from_millis(10)).await;
    }
}

/// Kills the agent and waits until its port is free.
async fn kill_agent(fleet: &mut Fleet) {
    let agent = fleet.agents.get_mut("orders-a-0").unwrap();
    agent.signal(Signal::Kill).unwrap();
    assert!(agent.wait(Duration::from_secs(60)).await.unwrap().is_some());
}

fn problem(answer: &Response) -> (String, String) {
    let json = answer.json();
    let name = json["type"].as_str().unwrap_or_default();
    let kind = name.rsplit(':').next().unwrap_or_default().to_owned();
    (kind, json["run"].as_str().unwrap_or_default().to_owned())
}

fn is(answer: &Response, kind: &str, run: &str) -> bool {
    problem(answer) == (kind.to_owned(), run.to_owned())
}

/// Sends an order until its owner answers for it; each answer before must say that it was not run, or
/// that the owner, which alone knows of earlier sends, could not be asked.
async fn order(caller: &Client, entry: SocketAddr, key: &str, path: &str, body: &str) -> Response {
    loop {
        let answer = caller.send_order(entry, key, path, body).await.unwrap();
        if problem(&answer).1 != "no" && !is(&answer, "no-endpoint", "unknown") {
            return answer;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_killed_during() {
    let (mut fleet, caller, entries) = start().await;
    let key = caller.request_key(entries[0]).await.unwrap();
    let sent = {
        let (caller, key) = (caller.clone(), key.clone());
        tokio::spawn(async move { caller.send_order(entries[0], &key, SLOW, "o").await })
    };
    wait_run(&fleet, "o").await;
    kill_agent(&mut fleet).await;
    let first = sent.await.unwrap().unwrap();
    assert!(is(&first, "interrupted", "unknown"), "{first:?}");
    assert_eq!(first.headers["idempotency-key"], key.as_str());
    fleet.start_agent("orders-a-0").unwrap();
    fleet.wait_ready().await.unwrap();
    for entry in entries {
        let again = order(&caller, entry, &key, SLOW, "o").await;
        assert!(is(&again, "owner-lost", "unknown"), "{again:?}");
    }
    assert_eq!(runs(&fleet, "o").await, 1);
    let key = caller.request_key(entries[0]).await.unwrap();
    let fresh = caller.send_order(entries[0], &key, "/v1/orders", "p");
    assert_eq!(fresh.await.unwrap().json()["count"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_killed_around() {
    let (mut fleet, caller, entries) = start().await;
    let before = caller.request_key(entries[0]).await.unwrap();
    let after = caller.request_key(entries[1]).await.unwrap();
    let done = caller
        .send_order(entries[0], &after, "/v1/orders", "o")
        .await
        .unwrap();
    assert_eq!(done.json()["count"], 1);
    kill_agent(&mut fleet).await;
    fleet.start_agent("orders-a-0").unwrap();
    fleet.wait_ready().await.unwrap();
    for (key, body) in [(&before, "n"), (&after, "o")] {
        let answer = order(&caller, entries[0], key, "/v1/orders", body).await;
        assert!(is(&answer, "owner-lost", "unknown"), "{answer:?}");
    }
    let own = order(&caller, entries[1], "my-own-key", "/v1/orders", "n").await;
    assert!(is(&own, "owner-lost", "unknown"), "{own:?}");
    assert_eq!((runs(&fleet, "n").await, runs(&fleet, "o").await), (0, 1));
    let plain = caller
        .send("POST", entries[0], "/v1/orders", &[], "n")
        .await
        .unwrap();
    assert_eq!(plain.json()["count"], 1);
    assert!(plain.headers.contains_key("idempotency-key"));
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed() {
    let (fleet, caller, entries) = start().await;
    let key = caller.request_key(entries[0]).await.unwrap();
    let sent = {
        let (caller, key) = (caller.clone(), key.clone());
        tokio::spawn(async move { caller.send_order(entries[0], &key, SLOW, "o").await })
    };
    wait_run(&fleet, "o").await;
    let running = caller
        .send_order(entries[1], &key, SLOW, "o")
        .await
        .unwrap();
    assert!(is(&running, "in-progress", "unknown"), "{running:?}");
    fleet.entries["entry-a-0"].signal(Signal::Kill).unwrap();
    assert!(sent.await.unwrap().is_err());
    let answer = loop {
        let answer = caller
            .send_order(entries[1], &key, SLOW, "o")
            .await
            .unwrap();
        if answer.status.is_success() {
            break answer;
        }
        assert!(is(&answer, "in-progress", "unknown"), "{answer:?}");
        time::sleep(Duration::from_millis(100)).await;
    };
    let again = caller
        .send_order(entries[1], &key, SLOW, "o")
        .await
        .unwrap();
    assert_eq!(answer.body, again.body);
    assert_eq!(runs(&fleet, "o").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn sent_together() {
    let (fleet, caller, entries) = start().await;
    let key = caller.request_key(entries[0]).await.unwrap();
    let sends = (0..16).map(|i| caller.send_order(entries[i % 2], &key, SLOW, "o"));
    let answers = futures::future::try_join_all(sends).await.unwrap();
    let whole = answers.iter().filter(|answer| answer.status.is_success());
    assert_eq!(whole.count(), 1);
    let rest = answers.iter().filter(|answer| !answer.status.is_success());
    for answer in rest {
        assert_eq!(problem(answer).1, "unknown", "{answer:?}");
    }
    assert_eq!(runs(&fleet, "o").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn service_away() {
    let (fleet, caller, entries) = start().await;
    let key = caller.request_key(entries[0]).await.unwrap();
    fleet.backends["orders-a-0"].signal(Signal::Kill).unwrap();
    let answer = caller
        .send_order(entries[0], &key, "/v1/orders", "o")
        .await
        .unwrap();
    assert_eq!(problem(&answer).1, "no", "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_paused() {
    let (fleet, caller, entries) = start().await;
    let key = caller.request_key(entries[0]).await.unwrap();
    let agent = &fleet.agents["orders-a-0"];
    agent.signal(Signal::Stop).unwrap();
    let answer = caller
        .send_order(entries[0], &key, "/v1/orders", "o")
        .await
        .unwrap();
    assert!(is(&answer, "no-endpoint", "unknown"), "{answer:?}");
    let keyless = caller.send("POST", entries[0], "/v1/orders", &[], "o");
    let keyless = keyless.await.unwrap();
    assert!(is(&keyless, "no-endpoint", "no"), "{keyless:?}");
    agent.signal(Signal::Continue).unwrap();
    fleet.wait_ready().await.unwrap();
    time::sleep(Duration::from_millis(500)).await;
    assert_eq!(runs(&fleet, "o").await, 0);
    let again = order(&caller, entries[1], &key, "/v1/orders", "o").await;
    assert_eq!(again.json()["count"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn many_replays() {
    let (fleet, caller, entries) = start().await;
    let key = caller.request_key(entries[0]).await.unwrap();
    let first = caller.send_order(entries[0], &key, "/v1/orders", "o");
    let first = first.await.unwrap();
    assert!(first.status.is_success(), "{first:?}");
    for i in 0..200 {
        let again = caller.send_order(entries[i % 2], &key, "/v1/orders", "o");
        let again = again.await.unwrap();
        assert_eq!(again.body, first.body, "{i}: {again:?}");
    }
    assert_eq!(runs(&fleet, "o").await, 1);
}
