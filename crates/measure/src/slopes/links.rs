use std::time::Duration;

use fake::{Client, Fleet, Process, TEAM_KEY, Topology};
use tokio::time;

use super::{
    fit::print_fit,
    usage::{self, Usage},
};

/// Time between the start of a fleet and the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time over which usage and bytes are measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);
/// Metric of the bytes, in both directions, on the links that a process dialled.
const LINK_BYTES_METRIC: &str = "apricot_link_bytes_total";

/// Measures the cost of an entry's links to agents; an entry has at most 32 for each service and
/// zone.
pub(crate) async fn measure_entry_links() -> anyhow::Result<()> {
    let (mut cpu, mut memory, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for engines in [4, 12, 22, 32] {
        let fleet = Fleet::start(topology(1, engines)).await?;
        time::sleep(SETTLE_TIME).await;
        let entry = &fleet.entries["entry-a-0"];
        let before = read_link_bytes(&fleet).await?;
        let (start, end) = measure_usage(entry).await?;
        let after = read_link_bytes(&fleet).await?;
        let links = engines as f64;
        cpu.push((links, cpu_micros_per_second(start, end)));
        memory.push((links, end.resident_bytes));
        if let (Some(before), Some(after)) = (before, after) {
            bytes.push((links, (after - before) / MEASUREMENT_TIME.as_secs_f64()));
        }
    }
    print_fit(
        "link of an entry to an agent, processor",
        "µs a second each",
        &cpu,
    );
    print_fit(
        "link of an entry to an agent, memory",
        "bytes each",
        &memory,
    );
    if bytes.is_empty() {
        println!(
            "link of an entry to an agent, bytes: not measured, no metric {LINK_BYTES_METRIC}"
        );
    } else {
        print_fit(
            "link of an entry to an agent, both ways",
            "bytes a second each",
            &bytes,
        );
    }
    Ok(())
}

/// Measures the cost of an agent's links from entries.
pub(crate) async fn measure_agent_links() -> anyhow::Result<()> {
    let (mut cpu, mut memory) = (Vec::new(), Vec::new());
    for entries in [1, 4, 12, 24] {
        let fleet = Fleet::start(topology(entries, 1)).await?;
        time::sleep(SETTLE_TIME).await;
        let (start, end) = measure_usage(&fleet.agents["drafts-a-0"]).await?;
        cpu.push((entries as f64, cpu_micros_per_second(start, end)));
        memory.push((entries as f64, end.resident_bytes));
    }
    print_fit(
        "link of an agent from an entry, processor",
        "µs a second each",
        &cpu,
    );
    print_fit(
        "link of an agent from an entry, memory",
        "bytes each",
        &memory,
    );
    Ok(())
}

fn topology(entries: usize, engines: usize) -> Topology {
    Topology {
        entries,
        engines,
        services: 0,
        ..Topology::default()
    }
}

async fn measure_usage(process: &Process) -> anyhow::Result<(Usage, Usage)> {
    let id = process.id().to_string();
    let start = usage::read(&id)?;
    time::sleep(MEASUREMENT_TIME).await;
    Ok((start, usage::read(&id)?))
}

/// Returns the processor use in microseconds per second.
pub(crate) fn cpu_micros_per_second(start: Usage, end: Usage) -> f64 {
    (end.cpu_micros - start.cpu_micros) / MEASUREMENT_TIME.as_secs_f64()
}

/// Reads the bytes on the entry's links; `None` if the entry has no such metric.
async fn read_link_bytes(fleet: &Fleet) -> anyhow::Result<Option<f64>> {
    let address = fleet.entry_addresses("entry-a-0")?.operators;
    let metrics = Client::new(TEAM_KEY, false)
        .send("GET", address, "/metrics", &[], "")
        .await?
        .text();
    let line = metrics
        .lines()
        .find_map(|line| line.strip_prefix(LINK_BYTES_METRIC));
    Ok(line.and_then(|value| value.trim().parse().ok()))
}
