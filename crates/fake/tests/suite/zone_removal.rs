use std::time::Duration;

use conf::ZoneState;
use fake::{Client, Fleet, Signal, TEAM_KEY, Topology};
use tokio::time;

/// Time within which a zone that is set to `out` must get no new requests.
const REMOVAL_TIME: Duration = Duration::from_secs(3);

/// Returns the number of requests that the engine of an endpoint has run.
async fn count_runs(fleet: &Fleet, endpoint: &str) -> u64 {
    let client = Client::new(TEAM_KEY, false);
    let engine = fleet.backends[endpoint].ready_line().parse().unwrap();
    let health = client.send("GET", engine, "/health", &[], "").await;
    health.unwrap().json()["runs"].as_u64().unwrap()
}

/// Number of drafts requested after the pause.
const DRAFTS: usize = 20;
/// Delay after a refused draft.
const RETRY_DELAY: Duration = Duration::from_millis(500);

#[tokio::test(flavor = "multi_thread")]
async fn paused_entry() {
    let topology = Topology {
        zones: vec!["a", "b"],
        ..Topology::default()
    };
    let mut fleet = Fleet::start(topology).await.unwrap();
    let client = Client::new(TEAM_KEY, false);
    let entry = fleet.client_address("entry-a-0").unwrap();
    assert_eq!(
        client.request_draft(entry, "p", 2).await.unwrap().status,
        200
    );
    assert_eq!(
        count_runs(&fleet, "drafts-a-0").await,
        1,
        "the entry prefers its own zone"
    );
    fleet.entries["entry-a-0"].signal(Signal::Stop).unwrap();
    fleet.document.zones.get_mut("a").unwrap().state = ZoneState::Out;
    fleet.publish().await.unwrap();
    time::sleep(REMOVAL_TIME).await;
    fleet.entries["entry-a-0"].signal(Signal::Continue).unwrap();
    let mut successes = 0;
    for _ in 0..DRAFTS {
        let response = client.request_draft(entry, "p", 2).await.unwrap();
        if response.status == 200 {
            successes += 1;
        } else {
            assert_eq!(response.json()["run"], "no", "{response:?}");
            time::sleep(RETRY_DELAY).await;
        }
    }
    assert!(successes > 0, "the entry must find the other zone");
    assert_eq!(count_runs(&fleet, "drafts-a-0").await, 1);
    assert_eq!(count_runs(&fleet, "drafts-b-0").await, successes);
}
