use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    ops::Range,
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

/// Agents in each of three availability zones, beside one entry in each.
const AGENTS_PER_ZONE: [usize; 4] = [2, 6, 11, 16];
/// Time before the first sample.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time between the two samples of a fleet, and from the last change to reading the events.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(5);
/// Number of changes published and timed one by one.
const SINGLE_CHANGES: u64 = 20;
/// Number of changes published without a pause.
const BURST_CHANGES: u64 = 100;
/// Unit of the processor times in `/proc/PID/stat`, in seconds.
const CLOCK_TICK_SECONDS: f64 = 0.01;
/// Indices of `utime` and `stime` among the fields after the command name in `/proc/PID/stat`.
const CPU_TIME_FIELDS: Range<usize> = 11..13;
/// Unit of the memory sizes in `/proc/PID/statm`, in bytes.
const PAGE_BYTES: f64 = 4096.0;
/// Units of an event's stamp in a second: 2^32.
const STAMP_UNITS_PER_SECOND: f64 = 4_294_967_296.0;
/// Number of nodes of a fleet of full size, to which the costs are extrapolated.
const FULL_SIZE_NODES: f64 = 6590.0;

/// Cost of the control plane in a fleet of one size.
struct Cost {
    nodes: f64,
    /// Bytes per second that a node sends, on average over all nodes.
    sent_per_second: f64,
    /// Bytes per second in both directions on the links that an agent dials.
    agent_link_rate: f64,
    /// Bytes per second in both directions on the links that an entry dials.
    entry_link_rate: f64,
    /// Share of a core that a node uses.
    cpu: f64,
    /// Resident memory of a node, in MB.
    memory_mb: f64,
    /// Reads per second at the platform, by all nodes.
    read_rate: f64,
}

/// Cumulative counters and memory of all nodes at one time.
struct Sample {
    at: Instant,
    agent_link_bytes: u64,
    entry_link_bytes: u64,
    cpu_seconds: f64,
    memory_mb: f64,
    reads: u64,
}

/// Measures the cost of the control plane and the time until a change is in force, for fleets of
/// several sizes.
///
/// # Errors
///
/// Returns an error if a fleet does not start or a node does not respond.
pub(crate) fn run(seed: u64) -> BoxFuture<'static, anyhow::Result<()>> {
    Box::pin(measure(seed))
}

async fn measure(seed: u64) -> anyhow::Result<()> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    println!("seed {seed}; targets at full size: 16 KB/s, 2.1 % of a core, 32 MB, 4 s");
    println!(
        "nodes  sent B/s  agent links B/s  entry links B/s  CPU %  MB   reads/s  in force ms: p50  p99  max  burst"
    );
    let mut costs = Vec::new();
    for size in AGENTS_PER_ZONE {
        let topology = Topology {
            zones: vec!["a", "b", "c"],
            engines: size,
            services: 0,
            ..Topology::default()
        };
        let fleet = Fleet::start(topology).await?;
        let cost = measure_cost(&fleet).await?;
        let (times, burst) = measure_changes(&fleet, &mut random).await?;
        println!(
            "{:5}  {:8.0}  {:15.0}  {:15.0}  {:5.2}  {:4.1}  {:6.1}  {:17}  {:3}  {:3}  {:5}",
            cost.nodes,
            cost.sent_per_second,
            cost.agent_link_rate,
            cost.entry_link_rate,
            cost.cpu * 100.0,
            cost.memory_mb,
            cost.read_rate,
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
            times.max(),
            burst,
        );
        costs.push(cost);
    }
    report_fits(&costs);
    Ok(())
}

/// Accessor of one figure of a cost.
type Column = fn(&Cost) -> f64;

fn report_fits(costs: &[Cost]) {
    let columns: [(&str, Column); 6] = [
        ("sent B/s", |cost| cost.sent_per_second),
        ("agent links B/s", |cost| cost.agent_link_rate),
        ("entry links B/s", |cost| cost.entry_link_rate),
        ("CPU %", |cost| cost.cpu * 100.0),
        ("MB", |cost| cost.memory_mb),
        ("platform reads/s", |cost| cost.read_rate),
    ];
    for (name, value) in columns {
        let points: Vec<_> = costs.iter().map(|cost| (cost.nodes, value(cost))).collect();
        let (intercept, slope, r_squared) = fit_line(&points);
        let at_full_size = intercept + slope * FULL_SIZE_NODES;
        println!(
            "{name}: {intercept:.3} + {slope:.5} a node (R² {r_squared:.3}); on that line {at_full_size:.1} at {FULL_SIZE_NODES} nodes"
        );
    }
}

/// Fits a line by least squares; returns its value at 0, slope and coefficient of determination.
#[allow(clippy::cast_precision_loss)]
fn fit_line(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let yy: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
    let slope = xy / xx;
    let r_squared = if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) };
    (mean_y - slope * mean_x, slope, r_squared)
}

#[allow(clippy::cast_precision_loss)]
async fn measure_cost(fleet: &Fleet) -> anyhow::Result<Cost> {
    sleep(SETTLE_TIME).await;
    let before = take_sample(fleet).await?;
    sleep(SAMPLE_INTERVAL).await;
    let after = take_sample(fleet).await?;
    let seconds = (after.at - before.at).as_secs_f64();
    let (agents, entries) = (fleet.agents.len() as f64, fleet.entries.len() as f64);
    let nodes = agents + entries;
    let agent_links = (after.agent_link_bytes - before.agent_link_bytes) as f64 / seconds;
    let entry_links = (after.entry_link_bytes - before.entry_link_bytes) as f64 / seconds;
    Ok(Cost {
        nodes,
        sent_per_second: (agent_links + entry_links) / nodes,
        agent_link_rate: agent_links / agents,
        entry_link_rate: entry_links / entries,
        cpu: (after.cpu_seconds - before.cpu_seconds) / seconds / nodes,
        memory_mb: after.memory_mb / nodes,
        read_rate: (after.reads - before.reads) as f64 / seconds,
    })
}

async fn take_sample(fleet: &Fleet) -> anyhow::Result<Sample> {
    let mut sample = Sample {
        at: Instant::now(),
        agent_link_bytes: 0,
        entry_link_bytes: 0,
        cpu_seconds: 0.0,
        memory_mb: 0.0,
        reads: 0,
    };
    for agent in fleet.agents.values() {
        sample.agent_link_bytes += read_link_bytes(agent).await?;
        add_process(&mut sample, agent)?;
    }
    for entry in fleet.entries.values() {
        sample.entry_link_bytes += read_link_bytes(entry).await?;
        add_process(&mut sample, entry)?;
    }
    let stats = get(fleet.platform_address()?, "/stats").await?;
    let stats: serde_json::Value = serde_json::from_str(&stats)?;
    sample.reads = stats["reads"]
        .as_u64()
        .context("the statistics of the platform lack the read count")?;
    Ok(sample)
}

async fn read_link_bytes(process: &Process) -> anyhow::Result<u64> {
    let text = get(operator_address(process)?, "/metrics").await?;
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix("apricot_link_bytes_total "));
    Ok(value
        .context("the metrics of a node lack the link byte count")?
        .parse()?)
}

/// Adds the processor time and resident memory of a process to a sample.
fn add_process(sample: &mut Sample, process: &Process) -> anyhow::Result<()> {
    let id = process.id();
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let (_, rest) = stat
        .rsplit_once(") ")
        .context("/proc/PID/stat lacks the processor times")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    for field in fields
        .get(CPU_TIME_FIELDS)
        .context("/proc/PID/stat lacks the processor times")?
    {
        sample.cpu_seconds += field.parse::<f64>()? * CLOCK_TICK_SECONDS;
    }
    let memory = fs::read_to_string(format!("/proc/{id}/statm"))?;
    let resident = memory
        .split(' ')
        .nth(1)
        .context("/proc/PID/statm lacks the resident memory")?;
    sample.memory_mb += resident.parse::<f64>()? * PAGE_BYTES / 1e6;
    Ok(())
}

/// Publishes single changes, then a burst.
///
/// Returns the times in milliseconds from a single change until it is in force on a node, and from
/// the start of the burst until its last change is in force on all nodes.
async fn measure_changes(
    fleet: &Fleet,
    random: &mut ChaCha8Rng,
) -> anyhow::Result<(Histogram<u64>, u64)> {
    let mut published = BTreeMap::new();
    for base in 1..=SINGLE_CHANGES {
        published.insert(base + 1, publish_change(fleet, base, random).await?);
        sleep(Duration::from_millis(random.random_range(100..400))).await;
    }
    let last = SINGLE_CHANGES + BURST_CHANGES + 1;
    let start = unix_seconds();
    for base in SINGLE_CHANGES + 1..last {
        publish_change(fleet, base, random).await?;
    }
    sleep(SAMPLE_INTERVAL).await;
    let mut times = Histogram::new(3)?;
    let mut burst = 0;
    for process in fleet.agents.values().chain(fleet.entries.values()) {
        let in_force_at = read_version_times(process).await?;
        anyhow::ensure!(
            in_force_at.contains_key(&last),
            "a node did not record the last version"
        );
        burst = burst.max(millis(in_force_at[&last] - start));
        // A node that received several versions at once recorded only the newest of them.
        for (number, at) in &published {
            let found = in_force_at.range(number..).next();
            let (_, reached_at) =
                found.context("a node recorded no version as new as a published one")?;
            times.record(millis(reached_at - at))?;
        }
    }
    Ok((times, burst))
}

async fn publish_change(fleet: &Fleet, base: u64, random: &mut ChaCha8Rng) -> anyhow::Result<f64> {
    let weight = random.random_range(1..100);
    let patch = json!({ "teams": { "team-1": { "weight": weight } } });
    let at = unix_seconds();
    let text = json!({ "base": base, "patch": patch }).to_string();
    publish_value(fleet.platform_address()?, text).await?;
    Ok(at)
}

/// Returns when each version came into force on a node, in seconds since the Unix epoch.
#[allow(clippy::cast_precision_loss)]
async fn read_version_times(process: &Process) -> anyhow::Result<BTreeMap<u64, f64>> {
    let events: Vec<Event> =
        serde_json::from_str(&get(operator_address(process)?, "/events").await?)?;
    let versions = events.into_iter().filter_map(|event| match event.kind {
        Kind::Version { number } => Some((number, event.stamp as f64 / STAMP_UNITS_PER_SECOND)),
        _ => None,
    });
    Ok(versions.collect())
}

fn unix_seconds() -> f64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs_f64()
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn millis(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1000.0) as u64
}

fn operator_address(process: &Process) -> anyhow::Result<SocketAddr> {
    Ok(serde_json::from_str::<Addresses>(process.ready_line())?.operators)
}

async fn get(address: SocketAddr, path: &str) -> anyhow::Result<String> {
    let client = Client::new(TEAM_KEY, false);
    Ok(client.send("GET", address, path, &[], "").await?.text())
}
