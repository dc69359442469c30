use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use fake::{Client, Fleet, TEAM_KEY, Topology};

/// Path of the page that documents the metrics.
const PAGE_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/METRICS.md");
/// Suffixes that state the unit of a metric.
const UNIT_SUFFIXES: [&str; 4] = ["_total", "_seconds", "_bytes", "_ratio"];

/// Returns type and label of each metric on the page, by name.
fn documented_metrics() -> BTreeMap<String, (String, String)> {
    let page = std::fs::read_to_string(PAGE_PATH).unwrap();
    let rows = page.lines().filter(|line| line.starts_with("| `apricot_"));
    let parse_row = |line: &str| {
        let cells: Vec<_> = line
            .split('|')
            .map(|cell| cell.trim().trim_matches('`').to_owned())
            .collect();
        (cells[1].clone(), (cells[2].clone(), cells[3].clone()))
    };
    rows.map(parse_row).collect()
}

/// Reads type and label of each metric that a process exports, by name.
async fn read_metrics(address: SocketAddr) -> BTreeMap<String, (String, String)> {
    let response = Client::new(TEAM_KEY, false)
        .send("GET", address, "/metrics", &[], "")
        .await
        .unwrap();
    let text = response.text();
    let mut metrics = BTreeMap::new();
    for line in text.lines() {
        let fields: Vec<_> = line.split(' ').collect();
        if let ["#", "TYPE", name, kind] = fields[..] {
            let sample = text
                .lines()
                .find(|line| line.starts_with(&format!("{name}{{")));
            let label = sample
                .and_then(|line| line.split(['{', '=']).nth(1))
                .unwrap_or("none");
            metrics.insert(name.to_owned(), (kind.to_owned(), label.to_owned()));
        }
    }
    metrics
}

#[tokio::test(flavor = "multi_thread")]
async fn page_matches_programs() {
    let fleet = Fleet::start(Topology::default()).await.unwrap();
    let entry = fleet.entry_addresses("entry-a-0").unwrap();
    let client_address = entry.callers.unwrap();
    // Cause a refusal by an entry and one by an agent, so that the counters of both are exported.
    let unauthenticated = Client::new("not a key", false);
    unauthenticated
        .request_draft(client_address, "p", 1)
        .await
        .unwrap();
    let client = Client::new(TEAM_KEY, false);
    for body in ["order", "another order"] {
        let key = [("idempotency-key", "k")];
        client
            .send("POST", client_address, "/v1/orders", &key, body)
            .await
            .unwrap();
    }
    let mut metrics = read_metrics(entry.operators).await;
    for agent in fleet.agents.values() {
        let ready: serde_json::Value = serde_json::from_str(agent.ready_line()).unwrap();
        metrics.extend(read_metrics(ready["operators"].as_str().unwrap().parse().unwrap()).await);
    }
    assert_eq!(documented_metrics(), metrics);
    for (name, (kind, label)) in &metrics {
        let is_total = name.ends_with("_total");
        assert_eq!(
            kind == "counter",
            is_total,
            "{name}: counters, and only counters, end in _total"
        );
        let has_unit = UNIT_SUFFIXES.iter().any(|suffix| name.ends_with(suffix));
        assert!(
            kind != "histogram" || has_unit,
            "{name}: the name of a histogram ends in its unit"
        );
        let allowed_labels = BTreeSet::from(["kind", "le", "none"]);
        assert!(
            allowed_labels.contains(label.as_str()),
            "{name}: label {label} may have an unbounded set of values"
        );
    }
}
