use std::{net::SocketAddr, time::Duration};

use fake::{Client, Fleet, Response, Signal, TEAM_KEY, Topology, expected_draft};
use tokio::{
    task::JoinHandle,
    time::{self, Instant},
};

/// Long streams that are in flight at the signal.
const STREAMS: usize = 24;
/// Tokens of each; a token takes some 5 ms.
const TOKENS: u32 = 400;
/// Time in which new work must go elsewhere.
const BOUND: Duration = Duration::from_secs(5);
/// Time that a process has for its end, far beyond the streams' own.
const END: Duration = Duration::from_secs(60);

async fn start(engines: usize) -> Fleet {
    let plan = Topology {
        entries: 2,
        engines,
        services: engines,
        ..Topology::default()
    };
    Fleet::start(plan).await.unwrap()
}

fn streams(entry: SocketAddr) -> Vec<(String, JoinHandle<anyhow::Result<Response>>)> {
    let callers = [Client::new(TEAM_KEY, false), Client::new(TEAM_KEY, true)];
    let stream = |i: usize| {
        let (caller, prompt) = (callers[i % 2].clone(), format!("p{i}"));
        let sent = prompt.clone();
        let call = async move { caller.request_draft(entry, &sent, TOKENS).await };
        (prompt, tokio::spawn(call))
    };
    (0..STREAMS).map(stream).collect()
}

fn order(entry: SocketAddr) -> JoinHandle<anyhow::Result<Response>> {
    let caller = Client::new(TEAM_KEY, false);
    tokio::spawn(async move {
        let path = "/v1/orders?pause_ms=1500";
        caller.send("POST", entry, path, &[], "o").await
    })
}

async fn all_whole(streams: Vec<(String, JoinHandle<anyhow::Result<Response>>)>) {
    for (prompt, call) in streams {
        let answer = call.await.unwrap().unwrap();
        assert_eq!(answer.text(), expected_draft(&prompt, TOKENS), "{prompt}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_drains() {
    let mut fleet = start(1).await;
    let entry = fleet.client_address("entry-a-0").unwrap();
    let (calls, ordered) = (streams(entry), order(entry));
    time::sleep(Duration::from_millis(400)).await;
    let process = fleet.entries.get_mut("entry-a-0").unwrap();
    process.signal(Signal::Terminate).unwrap();
    all_whole(calls).await;
    assert_eq!(ordered.await.unwrap().unwrap().json()["count"], 1);
    let status = process.wait(END).await.unwrap().unwrap();
    assert_eq!(status.code(), Some(0));
    let other = fleet.client_address("entry-a-1").unwrap();
    let answer = Client::new(TEAM_KEY, false)
        .request_draft(other, "p", 4)
        .await
        .unwrap();
    assert_eq!(answer.text(), expected_draft("p", 4));
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_drain() {
    let mut fleet = start(2).await;
    let entry = fleet.client_address("entry-a-0").unwrap();
    let (calls, ordered) = (streams(entry), order(entry));
    time::sleep(Duration::from_millis(400)).await;
    for name in ["drafts-a-0", "orders-a-0"] {
        fleet.agents[name].signal(Signal::Terminate).unwrap();
    }
    let end = Instant::now() + BOUND;
    let caller = Client::new(TEAM_KEY, false);
    while Instant::now() < end {
        let answer = caller.request_draft(entry, "new", 4).await.unwrap();
        assert_eq!(answer.text(), expected_draft("new", 4), "{answer:?}");
        time::sleep(Duration::from_millis(100)).await;
    }
    all_whole(calls).await;
    assert_eq!(ordered.await.unwrap().unwrap().json()["count"], 1);
    for name in ["drafts-a-0", "orders-a-0"] {
        let agent = fleet.agents.get_mut(name).unwrap();
        let status = agent.wait(END).await.unwrap().unwrap();
        assert_eq!(status.code(), Some(0), "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal() {
    let mut fleet = start(1).await;
    let entry = fleet.client_address("entry-a-0").unwrap();
    let calls = streams(entry);
    time::sleep(Duration::from_millis(400)).await;
    let process = fleet.entries.get_mut("entry-a-0").unwrap();
    process.signal(Signal::Terminate).unwrap();
    time::sleep(Duration::from_millis(200)).await;
    process.signal(Signal::Terminate).unwrap();
    let status = process.wait(END).await.unwrap().unwrap();
    assert_eq!(status.code(), Some(3));
    for (prompt, call) in calls {
        let whole = call
            .await
            .unwrap()
            .is_ok_and(|answer| answer.body.is_some());
        assert!(!whole, "{prompt}: a cut answer looks whole");
    }
}
