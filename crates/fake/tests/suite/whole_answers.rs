use std::{net::SocketAddr, time::Duration};

use fake::{Caller, Fleet, Flow, KEY, Plan, Relay, Signal, draft};
use tokio::time;

const TOKENS: u32 = 400;

#[tokio::test(flavor = "multi_thread")]
async fn cut_answers() {
    let fleet = Fleet::start(Plan::default()).await.unwrap();
    let entry = fleet.callers("entry-a-0").unwrap();
    let calls = [false, true].map(|http2| {
        let caller = Caller::new(KEY, http2);
        tokio::spawn(async move { caller.draft(entry, "p", TOKENS).await })
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
    let fleet = Fleet::start(Plan::default()).await.unwrap();
    let entry = fleet.callers("entry-a-0").unwrap();
    let engine: SocketAddr = fleet.stands["drafts-a-0"].line().parse().unwrap();
    let control = |body: &'static str| async move {
        let caller = Caller::new("", false);
        let set = caller.send("POST", engine, "/control", &[], body).await;
        assert!(set.unwrap().status.is_success());
    };
    let caller = Caller::new(KEY, false);
    control(r#"{ "crossed": true }"#).await;
    let answer = caller.draft(entry, "p", 4).await.unwrap();
    assert_eq!(answer.json()["type"], "urn:apricotridge:problem:bad-answer");
    assert_eq!(answer.json()["run"], "unknown");
    control("{}").await;
    let answer = caller.draft(entry, "p", 4).await.unwrap();
    assert_eq!(answer.text(), draft("p", 4));
    let agent: serde_json::Value = serde_json::from_str(fleet.agents["drafts-a-0"].line()).unwrap();
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
    let mut fleet = Fleet::start(Plan::default()).await.unwrap();
    let endpoint = fleet.document.endpoints["drafts-a-0"].agent;
    let (relay, address) = Relay::start(endpoint).await.unwrap();
    if let Some(endpoint) = fleet.document.endpoints.get_mut("drafts-a-0") {
        endpoint.agent = address;
    }
    fleet.publish().await.unwrap();
    time::sleep(Duration::from_millis(500)).await;
    fleet.wait_ready().await.unwrap();
    let entry = fleet.callers("entry-a-0").unwrap();
    let caller = Caller::new(KEY, false);
    let call = tokio::spawn(async move { caller.draft(entry, "p", 1200).await });
    time::sleep(Duration::from_millis(800)).await;
    relay.set(Flow::Silence);
    let answer = call.await.unwrap().unwrap();
    assert_eq!(answer.text(), draft("p", 1200), "{:?}", answer.status);
}
