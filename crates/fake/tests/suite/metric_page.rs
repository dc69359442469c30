use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use fake::{Client, Fleet, TEAM_KEY, Topology};

/// Page that lists the metrics.
const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/METRICS.md");
/// Endings that say what a metric counts or measures.
const ENDINGS: [&str; 4] = ["_total", "_seconds", "_bytes", "_ratio"];

/// Returns type and labels of each metric that the page lists, by name.
fn listed() -> BTreeMap<String, (String, String)> {
    let page = std::fs::read_to_string(PAGE).unwrap();
    let rows = page.lines().filter(|line| line.starts_with("| `apricot_"));
    let row = |line: &str| {
        let cells: Vec<_> = line
            .split('|')
            .map(|cell| cell.trim().trim_matches('`').to_owned())
            .collect();
        (cells[1].clone(), (cells[2].clone(), cells[3].clone()))
    };
    rows.map(row).collect()
}

/// Reads type and labels of each metric that a process gives, by name.
async fn given(address: SocketAddr) -> BTreeMap<String, (String, String)> {
    let answer = Client::new(TEAM_KEY, false)
        .send("GET", address, "/metrics", &[], "")
        .await
        .unwrap();
    let text = answer.text();
    let mut metrics = BTreeMap::new();
    for line in text.lines() {
        let words: Vec<_> = line.split(' ').collect();
        if let ["#", "TYPE", name, kind] = words[..] {
            let value = text
                .lines()
                .find(|line| line.starts_with(&format!("{name}{{")));
            let label = value
                .and_then(|line| line.split(['{', '=']).nth(1))
                .unwrap_or("none");
            metrics.insert(name.to_owned(), (kind.to_owned(), label.to_owned()));
        }
    }
    metrics
}

#[tokio::test(flavor = "multi_thread")]
async fn page_and_code() {
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.entry_addresses("entry-a-0").unwrap();
    let callers = entry.callers.unwrap();
    // One refusal by an entry and one by an agent, so that both counters show.
    let stranger = Client::new("not a key", false);
    stranger.request_draft(callers, "p", 1).await.unwrap();
    let caller = Client::new(TEAM_KEY, false);
    for body in ["order", "another order"] {
        let key = [("idempotency-key", "k")];
        caller
            .send("POST", callers, "/v1/orders", &key, body)
            .await
            .unwrap();
    }
    let mut metrics = given(entry.operators).await;
    for agent in fleet.agents.values() {
        let ready: serde_json::Value = serde_json::from_str(agent.ready_line()).unwrap();
        metrics.extend(given(ready["operators"].as_str().unwrap().parse().unwrap()).await);
    }
    assert_eq!(listed(), metrics);
    for (name, (kind, label)) in &metrics {
        let total = name.ends_with("_total");
        assert_eq!(
            kind == "counter",
            total,
            "{name}: counters end in _total, and no others"
        );
        let unit = ENDINGS.iter().any(|ending| name.ends_with(ending));
        assert!(
            kind != "histogram" || unit,
            "{name}: a histogram names its unit"
        );
        let bounded = BTreeSet::from(["kind", "le", "none"]);
        assert!(
            bounded.contains(label.as_str()),
            "{name}: label {label} has no bound"
        );
    }
}
