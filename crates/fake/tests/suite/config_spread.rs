use std::{net::SocketAddr, time::Duration};

use fake::{Client, Fleet, Signal, TEAM_KEY, Topology, publish_value};
use node::Ready;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

/// Target: an accepted version is in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(4);

async fn get(address: SocketAddr, path: &str) -> Value {
    let answer = Client::new(TEAM_KEY, false)
        .send("GET", address, path, &[], "")
        .await;
    answer.map(|a| a.json()).unwrap_or_default()
}

async fn tell(fleet: &Fleet, path: &str, body: &str) {
    let platform = fleet.platform_address().unwrap();
    let caller = Client::new(TEAM_KEY, false);
    caller
        .send("POST", platform, path, &[], body.to_owned())
        .await
        .unwrap();
}

async fn patch(fleet: &Fleet, base: u64, patch: Value) {
    let text = json!({ "base": base, "patch": patch }).to_string();
    publish_value(fleet.platform_address().unwrap(), text)
        .await
        .unwrap();
}

fn weight(weight: u64) -> Value {
    json!({ "teams": { "team-1": { "weight": weight } } })
}

fn operators(fleet: &Fleet) -> Vec<SocketAddr> {
    let all = fleet.entries.values().chain(fleet.agents.values());
    all.map(|p| {
        serde_json::from_str::<Ready>(p.ready_line())
            .unwrap()
            .operators
    })
    .collect()
}

/// Waits until a field of the status has a value on every process; returns how long that took.
async fn reach(addresses: &[SocketAddr], field: &str, value: u64) -> Duration {
    let start = Instant::now();
    for address in addresses {
        let reached = async {
            while get(*address, "/status").await[field] != value {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(Duration::from_secs(60), reached)
            .await
            .unwrap_or_else(|_| panic!("{address} does not reach {field} {value}"));
    }
    start.elapsed()
}

async fn fleet() -> Fleet {
    let plan = Topology {
        zones: vec!["a", "b"],
        ..Topology::default()
    };
    let fleet = Fleet::start(plan).await.unwrap();
    reach(&operators(&fleet), "version", 1).await;
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_race() {
    let fleet = fleet().await;
    let all = operators(&fleet);
    tokio::join!(
        patch(&fleet, 1, weight(2)),
        patch(&fleet, 1, weight(3)),
        patch(&fleet, 1, json!({ "zones": { "b": { "state": "out" } } })),
    );
    patch(&fleet, 2, weight(0)).await;
    patch(&fleet, 2, json!({ "zones": { "a": null } })).await;
    reach(&all, "position", 6).await;
    let verdicts = get(all[0], "/verdicts").await;
    let accepted = verdicts.as_array().unwrap().iter();
    assert_eq!(
        accepted
            .filter(|v| v["outcome"]["accepted"].is_u64())
            .count(),
        2
    );
    let chain = get(all[0], "/status").await["chain"].clone();
    for address in all {
        assert_eq!(get(address, "/verdicts").await, verdicts);
        assert_eq!(get(address, "/status").await["chain"], chain);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn burst_hundred() {
    let fleet = fleet().await;
    let start = Instant::now();
    for base in 1..=100 {
        patch(&fleet, base, weight(base)).await;
    }
    let took = reach(&operators(&fleet), "version", 101).await;
    println!(
        "100 patches: in force {took:?} after the last, {:?} after the first",
        start.elapsed()
    );
    assert!(took < IN_FORCE, "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_down() {
    let mut fleet = fleet().await;
    tell(&fleet, "/mode", "\"down\"").await;
    fleet.start_entry("alone", "a").unwrap();
    let alone = fleet.entry_addresses("alone").unwrap().operators;
    fleet.peers = vec![fleet.entry_addresses("entry-b-0").unwrap().peers];
    fleet.start_entry("joined", "a").unwrap();
    reach(
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
    let lack = "no configuration yet: no peer answers, and the platform does not answer\n";
    let caller = Client::new(TEAM_KEY, false);
    let said = async {
        loop {
            let ready = caller.send("GET", alone, "/ready", &[], "").await.unwrap();
            assert_eq!(ready.status, 503);
            if ready.text() == lack {
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(60), said).await.expect(lack);
}

#[tokio::test(flavor = "multi_thread")]
async fn never_back() {
    let mut fleet = fleet().await;
    let all = operators(&fleet);
    let paused = &fleet.agents["drafts-a-0"];
    paused.signal(Signal::Stop).unwrap();
    patch(&fleet, 1, weight(2)).await;
    patch(&fleet, 2, weight(3)).await;
    let entries: Vec<_> = fleet.entries.keys().cloned().collect();
    let entries: Vec<_> = entries
        .iter()
        .map(|e| fleet.entry_addresses(e).unwrap().operators)
        .collect();
    reach(&entries, "version", 3).await;
    tell(&fleet, "/restore", "1").await;
    paused.signal(Signal::Continue).unwrap();
    reach(&all, "version", 3).await;
    fleet.peers = vec![fleet.entry_addresses("entry-b-0").unwrap().peers];
    fleet.start_entry("late", "a").unwrap();
    reach(
        &[fleet.entry_addresses("late").unwrap().operators],
        "version",
        3,
    )
    .await;
    let chain = get(all[0], "/status").await["chain"].clone();
    for base in 1..=4 {
        patch(&fleet, base, weight(90 + base)).await;
    }
    let alarm = async {
        loop {
            let mut alarms = 0;
            for address in &all {
                alarms += get(*address, "/status").await["alarms"]
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
    for address in operators(&fleet) {
        let status = get(address, "/status").await;
        assert_eq!((&status["version"], &status["chain"]), (&json!(3), &chain));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn watchers_killed() {
    let plan = Topology {
        engines: 6,
        services: 4,
        ..Topology::default()
    };
    let mut fleet = Fleet::start(plan).await.unwrap();
    reach(&operators(&fleet), "version", 1).await;
    sleep(Duration::from_secs(5)).await;
    let before = reads(&fleet).await;
    sleep(Duration::from_secs(4)).await;
    let after = reads(&fleet).await;
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
    patch(&fleet, 1, weight(2)).await;
    let took = reach(&operators(&fleet), "version", 2).await;
    println!("in force {took:?} after all watching agents were killed");
    assert!(took < IN_FORCE, "{took:?}");
}

/// Returns the reads of the platform by each agent.
async fn reads(fleet: &Fleet) -> Vec<(String, u64)> {
    let mut all = Vec::new();
    for (name, agent) in &fleet.agents {
        let address = serde_json::from_str::<Ready>(agent.ready_line())
            .unwrap()
            .operators;
        let caller = Client::new(TEAM_KEY, false);
        let text = caller
            .send("GET", address, "/metrics", &[], "")
            .await
            .unwrap()
            .text();
        let line = text
            .lines()
            .find_map(|l| l.strip_prefix("apricot_platform_reads_total "));
        all.push((name.to_string(), line.unwrap().parse().unwrap()));
    }
    all
}
