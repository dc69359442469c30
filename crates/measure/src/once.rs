use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::ensure;
use conf::{Limit, Policy};
use fake::{Client, Fleet, Response, Signal, TEAM_KEY, Topology};
use hdrhistogram::Histogram;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time;

/// Calls of each kind whose cost is measured.
const CALLS: u32 = 2000;
/// Orders around a restart of one agent.
const ORDERS: u32 = 600;
/// Time between two of them.
const GAP: Duration = Duration::from_millis(10);
/// Records of which the memory is measured.
const RECORDS: u32 = 5000;
/// Endpoints of the order service.
const SERVICES: usize = 3;

/// Measures what it costs to run a request at most once, and how often the outcome is unknown.
pub(crate) async fn run(seed: u64) -> anyhow::Result<()> {
    println!("seed {seed}");
    let policy = Policy {
        records: 100_000,
        ..Policy::default()
    };
    let plan = Topology {
        entries: 2,
        engines: 0,
        services: SERVICES,
        limit: Limit { cold: 64, full: 64 },
        policy,
        ..Topology::default()
    };
    let mut fleet = Fleet::start(plan).await?;
    let caller = Client::new(TEAM_KEY, false);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    cost(&fleet, &caller, &mut random).await?;
    memory(&fleet, &caller).await?;
    println!("orders without a failure:");
    orders(&mut fleet, &caller, None).await?;
    let hit = random.random_range(ORDERS / 4..ORDERS / 2);
    println!(
        "orders while one of {SERVICES} agents is killed after order {hit} and started again:"
    );
    orders(&mut fleet, &caller, Some(hit)).await
}

/// Compares a look-up with an order, one after the other in random order.
async fn cost(fleet: &Fleet, caller: &Client, random: &mut ChaCha8Rng) -> anyhow::Result<()> {
    let entry = fleet.client_address("entry-a-0")?;
    let mut times = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for i in 0..2 * CALLS {
        let order = usize::from(random.random::<bool>());
        let start = Instant::now();
        let answer = if order == 1 {
            let body = format!("cost {i}");
            caller.send("POST", entry, "/v1/orders", &[], body).await?
        } else {
            caller.send("GET", entry, "/v1/lookups/1", &[], "").await?
        };
        ensure!(answer.status.is_success(), "{answer:?}");
        times[order].record(u64::try_from(start.elapsed().as_micros())?)?;
    }
    for (name, times) in ["repeatable", "at most once"].iter().zip(&times) {
        let quantile = |q| times.value_at_quantile(q);
        let (p50, p99) = (quantile(0.5), quantile(0.99));
        println!("{name}: {} calls, p50 {p50} us, p99 {p99} us", times.len());
    }
    Ok(())
}

/// Fills records and compares the memory of an agent before and after.
async fn memory(fleet: &Fleet, caller: &Client) -> anyhow::Result<()> {
    let entry = fleet.client_address("entry-a-1")?;
    let before = footprint(fleet, caller).await?;
    for i in 0..RECORDS {
        let body = format!("memory {i}");
        let answer = caller.send("POST", entry, "/v1/orders", &[], body).await?;
        ensure!(answer.status.is_success(), "{answer:?}");
    }
    let after = footprint(fleet, caller).await?;
    let records = after.0 - before.0;
    println!(
        "records held by {SERVICES} agents: {} with {} bytes of answers; resident memory grew by {} bytes for {records} records, {} each",
        after.0,
        after.1,
        after.2 - before.2,
        (after.2 - before.2) / records.max(1.0),
    );
    Ok(())
}

/// Returns records, bytes of answers and resident bytes over all agents.
async fn footprint(fleet: &Fleet, caller: &Client) -> anyhow::Result<(f64, f64, f64)> {
    let mut sum = (0.0, 0.0, 0.0);
    for agent in fleet.agents.values() {
        let ready: serde_json::Value = serde_json::from_str(agent.ready_line())?;
        let address: SocketAddr = ready["operators"].as_str().unwrap_or_default().parse()?;
        let text = caller
            .send("GET", address, "/metrics", &[], "")
            .await?
            .text();
        let read = |name: &str| -> f64 {
            let mut lines = text.lines();
            let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
            value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
        };
        sum.0 += read("apricot_agent_records");
        sum.1 += read("apricot_agent_record_bytes");
        sum.2 += resident(agent.id())?;
    }
    Ok(sum)
}

/// Returns the resident memory of a process of the own fleet, in bytes.
fn resident(id: u32) -> anyhow::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes: f64 = line
        .and_then(|line| line.trim().strip_suffix(" kB"))
        .unwrap_or("0")
        .parse()?;
    Ok(kilobytes * 1024.0)
}

/// Sends orders at a steady rate, each under an issued key and again until its outcome is final.
async fn orders(fleet: &mut Fleet, caller: &Client, hit: Option<u32>) -> anyhow::Result<()> {
    let entries = [
        fleet.client_address("entry-a-0")?,
        fleet.client_address("entry-a-1")?,
    ];
    let mut sent = Vec::new();
    for i in 0..ORDERS {
        let (caller, entry) = (caller.clone(), entries[i as usize % 2]);
        sent.push(tokio::spawn(async move {
            let key = caller.request_key(entry).await?;
            settle(&caller, entries, &key, &format!("order {i}")).await
        }));
        if hit == Some(i) {
            restart(fleet).await?;
        }
        time::sleep(GAP).await;
    }
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for order in sent {
        *counts.entry(order.await??).or_default() += 1;
    }
    for (outcome, count) in counts {
        let percent = 100.0 * f64::from(count) / f64::from(ORDERS);
        println!("  {outcome}: {count} of {ORDERS} ({percent:.2} %)");
    }
    Ok(())
}

async fn restart(fleet: &mut Fleet) -> anyhow::Result<()> {
    let name = "orders-a-0";
    if let Some(agent) = fleet.agents.get_mut(name) {
        agent.signal(Signal::Kill)?;
        agent.wait(Duration::from_secs(10)).await?;
    }
    fleet.start_agent(name)
}

/// Asks through both entries in turn until the answer is final, and names it.
async fn settle(
    caller: &Client,
    entries: [SocketAddr; 2],
    key: &str,
    body: &str,
) -> anyhow::Result<String> {
    for entry in entries.iter().cycle() {
        let answer = caller
            .send_order(*entry, key, "/v1/orders?pause_ms=20", body)
            .await?;
        if answer.status.is_success() {
            return Ok("answered".to_owned());
        }
        let (kind, run) = problem(&answer);
        if run == "unknown" && kind != "in-progress" {
            return Ok(format!("unknown: {kind}"));
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    anyhow::bail!("there are no entries")
}

fn problem(answer: &Response) -> (String, String) {
    let json = answer.json();
    let member = |name: &str| json[name].as_str().unwrap_or_default().to_owned();
    let kind = member("type");
    let kind = kind.rsplit(':').next().unwrap_or_default().to_owned();
    (kind, member("run"))
}
