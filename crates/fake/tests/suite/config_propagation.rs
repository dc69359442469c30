use std::{net::SocketAddr, time::Duration};

use fake::{Client, Fleet, Signal, TEAM_KEY, Topology, publish_value};
use node::Addresses;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

/// Time within which an accepted version must be in force on all processes.
const PROPAGATION_TIME: Duration = Duration::from_secs(4);

async fn get_json(address: SocketAddr, path: &str) -> Value {
    let response = Client::new(TEAM_KEY, false)
        .send("GET", address, path, &[], "")
        .await;
    response.map(|response| response.json()).unwrap_or_default()
}

async fn control_platform(fleet: &Fleet, path: &str, body: &str) {
    let platform = fleet.platform_address().unwrap();
    let client = Client::new(TEAM_KEY, false);
    client
        .send("POST", platform, path, &[], body.to_owned())
        .await
        .unwrap();
}

async fn publish_patch(fleet: &Fleet, base: u64, patch: Value) {
    let text = json!({ "base": base, "patch": patch }).to_string();
    publish_value(fleet.platform_address().unwrap(), text)
        .await
        .unwrap();
}

fn weight_patch(weight: u64) -> Value {
    json!({ "teams": { "team-1": { "weight": weight } } })
}

fn operator_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    let all = fleet.entries.values().chain(fleet.agents.values());
    all.map(|process| {
        serde_json::from_str::<Addresses>(process.ready_line())
            .unwrap()
            .operators
    })
    .collect()
}

/// Waits until a field of `/status` has a value on every process; returns how long that took.
async fn wait_status(addresses: &[SocketAddr], field: &str, value: u64) -> Duration {
    let start = Instant::now();
    for address in addresses {
        let reached = async {
            while get_json(*address, "/status").await[field] != value {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(Duration::from_secs(60), reached)
            .await
            .unwrap_or_else(|_| panic!("{address} did not report {field} {value} within a minute"));
    }
    start.elapsed()
}

async fn start_fleet() -> Fleet {
    let topology = Topology {
        zones: vec!["a", "b"],
        ..Topology::default()
    };
    let fleet = Fleet::start(topology).await.unwrap();
    wait_status(&operator_addresses(&fleet), "version", 1).await;
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_patches() {
    let fleet = start_fleet().await;
    let all = operator_addresses(&fleet);
    tokio::join!(
        publish_patch(&fleet, 1, weight_patch(2)),
        publish_patch(&fleet, 1, weight_patch(3)),
        publish_patch(&fleet, 1, json!({ "zones": { "b": { "state": "out" } } })),
    );
    publish_patch(&fleet, 2, weight_patch(0)).await;
    publish_patch(&fleet, 2, json!({ "zones": { "a": null } })).await;
    wait_status(&all, "position", 6).await;
    let verdicts = get_json(all[0], "/verdicts").await;
    let all_verdicts = verdicts.as_array().unwrap().iter();
    assert_eq!(
        all_verdicts
            .filter(|verdict| verdict["outcome"]["accepted"].is_u64())
            .count(),
        2
    );
    let chain = get_json(all[0], "/status").await["chain"].clone();
    for address in all {
        assert_eq!(get_json(address, "/verdicts").await, verdicts);
        assert_eq!(get_json(address, "/status").await["chain"], chain);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn hundred_patches() {
    let fleet = start_fleet().await;
    let start = Instant::now();
    for base in 1..=100 {
        publish_patch(&fleet, base, weight_patch(base)).await;
    }
    let took = wait_status(&operator_addresses(&fleet), "version", 101).await;
    println!(
        "100 patches: in force {took:?} after the last, {:?} after the first",
        start.elapsed()
    );
    assert!(took < PROPAGATION_TIME, "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn start_without_platform() {
    let mut fleet = start_fleet().await;
    control_platform(&fleet, "/mode", "\"down\"").await;
    fleet.start_entry("alone", "a").unwrap();
    let alone = fleet.entry_addresses("alone").unwrap().operators;
    fleet.peers = vec![fleet.entry_addresses("entry-b-0").unwrap().peers];
    fleet.start_entry("joined", "a").unwrap();
    wait_status(
        &[fleet.entry_addresses("joined").unwrap().operators],
        "version",
        1,
    )
    .await;
    let joined = fleet.entry_addresses("joined").unwrap().operators;
    let ready = Client::new(TEAM_KEY, false)
        .send("GET", joined, "/ready", &[], "")
        .await
        .unwrap();
    assert_eq!(ready.status, 200);
    let expected = "no configuration yet: no peer answers, and the platform does not answer\n";
    let client = Client::new(TEAM_KEY, false);
    let reported = async {
        loop {
            let ready = client.send("GET", alone, "/ready", &[], "").await.unwrap();
            assert_eq!(ready.status, 503);
            if ready.text() == expected {
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(60), reported)
        .await
        .expect(expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_rollback() {
    let mut fleet = start_fleet().await;
    let all = operator_addresses(&fleet);
    let paused = &fleet.agents["drafts-a-0"];
    paused.signal(Signal::Stop).unwrap();
    publish_patch(&fleet, 1, weight_patch(2)).await;
    publish_patch(&fleet, 2, weight_patch(3)).await;
    let entries: Vec<_> = fleet.entries.keys().cloned().collect();
    let entries: Vec<_> = entries
        .iter()
        .map(|name| fleet.entry_addresses(name).unwrap().operators)
        .collect();
    wait_status(&entries, "version", 3).await;
    control_platform(&fleet, "/restore", "1").await;
    paused.signal(Signal::Continue).unwrap();
    wait_status(&all, "version", 3).await;
    fleet.peers = vec![fleet.entry_addresses("entry-b-0").unwrap().peers];
    fleet.start_entry("late", "a").unwrap();
    wait_status(
        &[fleet.entry_addresses("late").unwrap().operators],
        "version",
        3,
    )
    .await;
    let chain = get_json(all[0], "/status").await["chain"].clone();
    for base in 1..=4 {
        publish_patch(&fleet, base, weight_patch(90 + base)).await;
    }
    let alarm = async {
        loop {
            let mut alarms = 0;
            for address in &all {
                alarms += get_json(*address, "/status").await["alarms"]
                    .as_u64()
                    .unwrap_or(0);
            }
            if alarms > 0 {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_secs(60), alarm)
        .await
        .expect("an alarm");
    for address in operator_addresses(&fleet) {
        let status = get_json(address, "/status").await;
        assert_eq!((&status["version"], &status["chain"]), (&json!(3), &chain));
    }
}

/// Watchers are the agents that read the platform's log for all processes; others must take over.
#[tokio::test(flavor = "multi_thread")]
async fn watchers_killed() {
    let topology = Topology {
        engines: 6,
        services: 4,
        ..Topology::default()
    };
    let mut fleet = Fleet::start(topology).await.unwrap();
    wait_status(&operator_addresses(&fleet), "version", 1).await;
    sleep(Duration::from_secs(5)).await;
    let before = count_platform_reads(&fleet).await;
    sleep(Duration::from_secs(4)).await;
    let after = count_platform_reads(&fleet).await;
    let watchers: Vec<_> = after
        .iter()
        .filter(|(name, reads)| !before.contains(&((*name).clone(), *reads)))
        .map(|(name, _)| name.clone())
        .collect();
    println!("watchers: {watchers:?}");
    assert!((1..=4).contains(&watchers.len()), "{watchers:?}");
    for name in &watchers {
        fleet.agents.remove(name.as_str());
    }
    publish_patch(&fleet, 1, weight_patch(2)).await;
    let took = wait_status(&operator_addresses(&fleet), "version", 2).await;
    println!("in force {took:?} after all watchers were killed");
    assert!(took < PROPAGATION_TIME, "{took:?}");
}

/// Returns how often each agent has read the platform's log, by name.
async fn count_platform_reads(fleet: &Fleet) -> Vec<(String, u64)> {
    let mut counts = Vec::new();
    for (name, agent) in &fleet.agents {
        let address = serde_json::from_str::<Addresses>(agent.ready_line())
            .unwrap()
            .operators;
        let client = Client::new(TEAM_KEY, false);
        let text = client
            .send("GET", address, "/metrics", &[], "")
            .await
            .unwrap()
            .text();
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("apricot_platform_reads_total "));
        counts.push((name.to_string(), line.unwrap().parse().unwrap()));
    }
    counts
}
