use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use anyhow::Context as _;
use event::{Event, Kind};
use fake::{Client, Fleet, Process, TEAM_KEY, Topology, publish_value};
use futures::future::BoxFuture;
use hdrhistogram::Histogram;
use node::Addresses;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::sleep;

/// Agents in each of three availability zones; one entry stands beside them.
const SIZES: [usize; 4] = [2, 6, 11, 16];
/// Time before the first sample.
const SETTLE: Duration = Duration::from_secs(5);
/// Time between two samples.
const SAMPLE: Duration = Duration::from_secs(5);
/// Single changes that are timed.
const CHANGES: u64 = 20;
/// Changes published at once.
const BURST: u64 = 100;
/// Unit of processor times in `/proc`, in seconds.
const CLOCK_TICK: f64 = 0.01;
/// Unit of memory in `/proc`, in bytes.
const PAGE: f64 = 4096.0;
/// Fractions of a second in an event's stamp.
const FRACTIONS: f64 = 4_294_967_296.0;
/// Processes at full size.
const FULL: f64 = 6590.0;

/// Costs of one size.
struct Row {
    nodes: f64,
    /// Bytes a second that a node sends, over all nodes.
    sent: f64,
    /// Bytes a second, both ways, on the links that an agent dials.
    agent_links: f64,
    /// Bytes a second, both ways, on the links that an entry dials.
    entry_links: f64,
    /// Share of a core that a node uses.
    cpu: f64,
    /// Resident memory of a node in MB.
    memory: f64,
    /// Reads a second at the platform, by all.
    reads: f64,
}

/// State of all nodes at one time.
struct Sample {
    at: Instant,
    agents: u64,
    entries: u64,
    cpu: f64,
    memory: f64,
    reads: u64,
}

/// Measures what control costs and how long a change takes, at several sizes.
///
/// # Errors
///
/// Returns an error if a fleet does not start or a node does not answer.
pub(crate) fn run(seed: u64) -> BoxFuture<'static, anyhow::Result<()>> {
    Box::pin(measure(seed))
}

async fn measure(seed: u64) -> anyhow::Result<()> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    println!("seed {seed}; targets at full size: 16 KB/s, 2.1 % of a core, 32 MB, 4 s");
    println!(
        "nodes  sent B/s  agent links B/s  entry links B/s  CPU %  MB   reads/s  in force ms: p50  p99  max  burst"
    );
    let mut rows = Vec::new();
    for size in SIZES {
        let plan = Topology {
            zones: vec!["a", "b", "c"],
            engines: size,
            services: 0,
            ..Topology::default()
        };
        let fleet = Fleet::start(plan).await?;
        let row = cost(&fleet).await?;
        let (times, burst) = changes(&fleet, &mut random).await?;
        println!(
            "{:5}  {:8.0}  {:15.0}  {:15.0}  {:5.2}  {:4.1}  {:6.1}  {:17}  {:3}  {:3}  {:5}",
            row.nodes,
            row.sent,
            row.agent_links,
            row.entry_links,
            row.cpu * 100.0,
            row.memory,
            row.reads,
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
            times.max(),
            burst,
        );
        rows.push(row);
    }
    fits(&rows);
    Ok(())
}

/// Picks a figure of a size.
type Column = fn(&Row) -> f64;

fn fits(rows: &[Row]) {
    let columns: [(&str, Column); 6] = [
        ("sent B/s", |r| r.sent),
        ("agent links B/s", |r| r.agent_links),
        ("entry links B/s", |r| r.entry_links),
        ("CPU %", |r| r.cpu * 100.0),
        ("MB", |r| r.memory),
        ("platform reads/s", |r| r.reads),
    ];
    for (name, value) in columns {
        let points: Vec<_> = rows.iter().map(|r| (r.nodes, value(r))).collect();
        let (base, slope, fit) = line(&points);
        let full = base + slope * FULL;
        println!(
            "{name}: {base:.3} + {slope:.5} a node (R² {fit:.3}); on that line {full:.1} at {FULL} nodes"
        );
    }
}

/// Fits a line by least squares: its value at 0, slope and coefficient of determination.
#[allow(clippy::cast_precision_loss)]
fn line(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let yy: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
    let slope = xy / xx;
    let fit = if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) };
    (mean_y - slope * mean_x, slope, fit)
}

#[allow(clippy::cast_precision_loss)]
async fn cost(fleet: &Fleet) -> anyhow::Result<Row> {
    sleep(SETTLE).await;
    let before = sample(fleet).await?;
    sleep(SAMPLE).await;
    let after = sample(fleet).await?;
    let seconds = (after.at - before.at).as_secs_f64();
    let (agents, entries) = (fleet.agents.len() as f64, fleet.entries.len() as f64);
    let nodes = agents + entries;
    let agent_links = (after.agents - before.agents) as f64 / seconds;
    let entry_links = (after.entries - before.entries) as f64 / seconds;
    Ok(Row {
        nodes,
        sent: (agent_links + entry_links) / nodes,
        agent_links: agent_links / agents,
        entry_links: entry_links / entries,
        cpu: (after.cpu - before.cpu) / seconds / nodes,
        memory: after.memory / nodes,
        reads: (after.reads - before.reads) as f64 / seconds,
    })
}

async fn sample(fleet: &Fleet) -> anyhow::Result<Sample> {
    let mut sample = Sample {
        at: Instant::now(),
        agents: 0,
        entries: 0,
        cpu: 0.0,
        memory: 0.0,
        reads: 0,
    };
    for agent in fleet.agents.values() {
        sample.agents += traffic(agent).await?;
        add(&mut sample, agent)?;
    }
    for entry in fleet.entries.values() {
        sample.entries += traffic(entry).await?;
        add(&mut sample, entry)?;
    }
    let stats = get(fleet.platform_address()?, "/stats").await?;
    let stats: serde_json::Value = serde_json::from_str(&stats)?;
    sample.reads = stats["reads"].as_u64().context("no count of reads")?;
    Ok(sample)
}

async fn traffic(process: &Process) -> anyhow::Result<u64> {
    let text = get(operators(process)?, "/metrics").await?;
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix("apricot_link_bytes_total "));
    Ok(value.context("no count of bytes")?.parse()?)
}

/// Adds the processor time and memory of a process.
fn add(sample: &mut Sample, process: &Process) -> anyhow::Result<()> {
    let id = process.id();
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let (_, rest) = stat.rsplit_once(") ").context("no processor times")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    for field in fields.get(11..13).context("no processor times")? {
        sample.cpu += field.parse::<f64>()? * CLOCK_TICK;
    }
    let memory = fs::read_to_string(format!("/proc/{id}/statm"))?;
    let resident = memory.split(' ').nth(1).context("no memory")?;
    sample.memory += resident.parse::<f64>()? * PAGE / 1e6;
    Ok(())
}

/// Times single changes on each node, then a burst; in milliseconds.
async fn changes(fleet: &Fleet, random: &mut ChaCha8Rng) -> anyhow::Result<(Histogram<u64>, u64)> {
    let mut published = BTreeMap::new();
    for base in 1..=CHANGES {
        published.insert(base + 1, change(fleet, base, random).await?);
        sleep(Duration::from_millis(random.random_range(100..400))).await;
    }
    let last = CHANGES + BURST + 1;
    let start = now();
    for base in CHANGES + 1..last {
        change(fleet, base, random).await?;
    }
    sleep(SAMPLE).await;
    let mut times = Histogram::new(3)?;
    let mut burst = 0;
    for process in fleet.agents.values().chain(fleet.entries.values()) {
        let seen = seen(process).await?;
        anyhow::ensure!(seen.contains_key(&last), "a node lacks the last version");
        burst = burst.max(millis(seen[&last] - start));
        // A node that took several versions at once recorded only the newest of them.
        for (number, at) in &published {
            let reached = seen.range(number..).next();
            let (_, in_force) = reached.context("a node lacks a version")?;
            times.record(millis(in_force - at))?;
        }
    }
    Ok((times, burst))
}

async fn change(fleet: &Fleet, base: u64, random: &mut ChaCha8Rng) -> anyhow::Result<f64> {
    let weight = random.random_range(1..100);
    let patch = json!({ "teams": { "team-1": { "weight": weight } } });
    let at = now();
    let text = json!({ "base": base, "patch": patch }).to_string();
    publish_value(fleet.platform_address()?, text).await?;
    Ok(at)
}

/// Returns when each version came into force on a node, in seconds since 1970.
#[allow(clippy::cast_precision_loss)]
async fn seen(process: &Process) -> anyhow::Result<BTreeMap<u64, f64>> {
    let events: Vec<Event> = serde_json::from_str(&get(operators(process)?, "/events").await?)?;
    let versions = events.into_iter().filter_map(|event| match event.kind {
        Kind::Version { number } => Some((number, event.stamp as f64 / FRACTIONS)),
        _ => None,
    });
    Ok(versions.collect())
}

fn now() -> f64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs_f64()
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn millis(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1000.0) as u64
}

fn operators(process: &Process) -> anyhow::Result<SocketAddr> {
    Ok(serde_json::from_str::<Addresses>(process.ready_line())?.operators)
}

async fn get(address: SocketAddr, path: &str) -> anyhow::Result<String> {
    let caller = Client::new(TEAM_KEY, false);
    Ok(caller.send("GET", address, path, &[], "").await?.text())
}
