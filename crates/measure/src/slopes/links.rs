use std::time::Duration;

use fake::{Client, Fleet, Process, TEAM_KEY, Topology};
use tokio::time;

use super::{
    fit::print,
    usage::{self, Usage},
};

/// Time after the start that is not measured.
const SETTLE: Duration = Duration::from_secs(3);
/// Time over which is measured.
const SPAN: Duration = Duration::from_secs(10);
/// Metric of the bytes on links that a process dialled, both ways.
const BYTES: &str = "apricot_link_bytes_total";

/// Cost of an entry's links to agents; it links to 32 of a service in a zone at most.
pub(crate) async fn outgoing() -> anyhow::Result<()> {
    let (mut cpu, mut memory, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for engines in [4, 12, 22, 32] {
        let fleet = Fleet::start(plan(1, engines)).await?;
        time::sleep(SETTLE).await;
        let entry = &fleet.entries["entry-a-0"];
        let before = link_bytes(&fleet).await?;
        let (start, end) = watch(entry).await?;
        let after = link_bytes(&fleet).await?;
        let links = engines as f64;
        cpu.push((links, per_second(start, end)));
        memory.push((links, end.memory));
        if let (Some(before), Some(after)) = (before, after) {
            bytes.push((links, (after - before) / SPAN.as_secs_f64()));
        }
    }
    print(
        "link of an entry to an agent, processor",
        "µs a second each",
        &cpu,
    );
    print(
        "link of an entry to an agent, memory",
        "bytes each",
        &memory,
    );
    if bytes.is_empty() {
        println!("link of an entry to an agent, bytes: not measured, no metric {BYTES}");
    } else {
        print(
            "link of an entry to an agent, both ways",
            "bytes a second each",
            &bytes,
        );
    }
    Ok(())
}

/// Cost of an agent's links from entries.
pub(crate) async fn incoming() -> anyhow::Result<()> {
    let (mut cpu, mut memory) = (Vec::new(), Vec::new());
    for entries in [1, 4, 12, 24] {
        let fleet = Fleet::start(plan(entries, 1)).await?;
        time::sleep(SETTLE).await;
        let (start, end) = watch(&fleet.agents["drafts-a-0"]).await?;
        cpu.push((entries as f64, per_second(start, end)));
        memory.push((entries as f64, end.memory));
    }
    print(
        "link of an agent from an entry, processor",
        "µs a second each",
        &cpu,
    );
    print(
        "link of an agent from an entry, memory",
        "bytes each",
        &memory,
    );
    Ok(())
}

fn plan(entries: usize, engines: usize) -> Topology {
    Topology {
        entries,
        engines,
        services: 0,
        ..Topology::default()
    }
}

async fn watch(process: &Process) -> anyhow::Result<(Usage, Usage)> {
    let id = process.id().to_string();
    let start = usage::of(&id)?;
    time::sleep(SPAN).await;
    Ok((start, usage::of(&id)?))
}

/// Returns the processor time in microseconds a second.
pub(crate) fn per_second(start: Usage, end: Usage) -> f64 {
    (end.cpu - start.cpu) / SPAN.as_secs_f64()
}

/// Reads the bytes on the entry's links, if the program counts them.
async fn link_bytes(fleet: &Fleet) -> anyhow::Result<Option<f64>> {
    let address = fleet.entry_addresses("entry-a-0")?.operators;
    let page = Client::new(TEAM_KEY, false)
        .send("GET", address, "/metrics", &[], "")
        .await?
        .text();
    let line = page.lines().find_map(|line| line.strip_prefix(BYTES));
    Ok(line.and_then(|value| value.trim().parse().ok()))
}
