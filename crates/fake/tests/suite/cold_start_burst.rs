use std::{net::SocketAddr, time::Duration};

use conf::{Limit, Policy};
use fake::{Client, Fleet, TEAM_KEY, Topology, expected_draft};
use futures::{StreamExt as _, stream};
use tokio::time;

/// Number of drafts that a burst requests at the same time.
const BURST: usize = 120;
/// Number of tokens of each draft.
const TOKENS: u32 = 4;
/// Response body of a restarting engine, passed on until its agent has noticed the crash.
const ENGINE_RESTARTING: &str = "starting\n";
/// Time within which an engine is available again after a crash.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

fn topology() -> Topology {
    Topology {
        zones: vec!["a", "b", "c"],
        limit: Limit { cold: 2, full: 64 },
        policy: Policy {
            warm_up: Duration::from_secs(600),
            ..Policy::default()
        },
        ..Topology::default()
    }
}

/// Returns the addresses of the engines, for requests that bypass entries and agents.
fn engine_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    let backends = fleet.backends.iter();
    let engines = backends.filter(|(name, _)| name.starts_with("drafts"));
    engines
        .map(|(_, process)| process.ready_line().parse().unwrap())
        .collect()
}

async fn set_behaviour(fleet: &Fleet, behaviour: serde_json::Value) {
    let client = Client::new(TEAM_KEY, false);
    for engine in engine_addresses(fleet) {
        let body = behaviour.to_string();
        let response = client.send("POST", engine, "/control", &[], body).await;
        assert_eq!(response.unwrap().status, 200);
    }
}

async fn count_crashes(fleet: &Fleet) -> u64 {
    let client = Client::new(TEAM_KEY, false);
    let mut crashes = 0;
    for engine in engine_addresses(fleet) {
        let health = client.send("GET", engine, "/health", &[], "").await;
        crashes += health.unwrap().json()["deaths"].as_u64().unwrap();
    }
    crashes
}

fn entry_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    let names = fleet.entries.keys();
    names
        .map(|name| fleet.client_address(name).unwrap())
        .collect()
}

/// Sends a burst through all entries; each response must be a complete draft, a refusal of a request
/// that was not run, or that of a restarting engine.
async fn send_burst(fleet: &Fleet) {
    let (client, entries) = (Client::new(TEAM_KEY, true), entry_addresses(fleet));
    let requests = stream::iter(0..BURST).map(|i| {
        let (client, entry) = (&client, entries[i % entries.len()]);
        async move {
            let prompt = format!("prompt {i}");
            let response = client.request_draft(entry, &prompt, TOKENS).await.unwrap();
            if response.status == 200 {
                assert_eq!(response.text(), expected_draft(&prompt, TOKENS));
                return 1;
            }
            if response.text() == ENGINE_RESTARTING {
                return 0;
            }
            assert_eq!(response.json()["run"], "no", "{response:?}");
            assert!(response.headers.contains_key("retry-after"));
            0
        }
    });
    let successes: Vec<u32> = requests.buffer_unordered(BURST).collect().await;
    assert!(successes.iter().sum::<u32>() > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_limit_holds() {
    let fleet = Fleet::start(topology()).await.unwrap();
    let behaviour = serde_json::json!({ "cold_bound": 2, "bound": 2, "crash_word": "fatal" });
    set_behaviour(&fleet, behaviour).await;
    send_burst(&fleet).await;
    assert_eq!(count_crashes(&fleet).await, 0);
    let client = Client::new(TEAM_KEY, false);
    let engine = engine_addresses(&fleet)[0];
    let body = serde_json::json!({ "prompt": "fatal", "tokens": 1 }).to_string();
    let _ = client.send("POST", engine, "/", &[], body).await;
    send_burst(&fleet).await;
    time::sleep(RECOVERY_TIME).await;
    send_burst(&fleet).await;
    assert_eq!(
        count_crashes(&fleet).await,
        1,
        "the cold limit must also hold after an unannounced restart"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn fatal_prompt_refused() {
    let fleet = Fleet::start(topology()).await.unwrap();
    set_behaviour(&fleet, serde_json::json!({ "crash_word": "fatal" })).await;
    let client = Client::new(TEAM_KEY, false);
    let mut last_problem = serde_json::Value::Null;
    for entry in entry_addresses(&fleet).into_iter().cycle().take(6) {
        let response = client.request_draft(entry, "fatal", TOKENS).await.unwrap();
        last_problem = response.json();
        time::sleep(RECOVERY_TIME).await;
    }
    assert!(count_crashes(&fleet).await <= 2);
    assert_eq!(last_problem["type"], "urn:apricotridge:problem:suspect");
    for entry in entry_addresses(&fleet) {
        let response = client
            .request_draft(entry, "harmless", TOKENS)
            .await
            .unwrap();
        assert_eq!(response.text(), expected_draft("harmless", TOKENS));
    }
}
