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

/// Mean number of calls of each kind for the latency comparison.
const LATENCY_CALLS: u32 = 2000;
/// Orders sent in each run, without and with a restart of one agent.
const ORDERS: u32 = 600;
/// Time between two orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(10);
/// Number of run records that are filled for the memory measurement.
const MEMORY_RECORDS: u32 = 5000;
/// Endpoints of the order service.
const ORDER_ENDPOINTS: usize = 3;

/// Measures the cost of at-most-once execution and the share of requests with unknown outcome.
pub(crate) async fn run(seed: u64) -> anyhow::Result<()> {
    println!("seed {seed}");
    let policy = Policy {
        records: 100_000,
        ..Policy::default()
    };
    let topology = Topology {
        entries: 2,
        engines: 0,
        services: ORDER_ENDPOINTS,
        limit: Limit { cold: 64, full: 64 },
        policy,
        ..Topology::default()
    };
    let mut fleet = Fleet::start(topology).await?;
    let client = Client::new(TEAM_KEY, false);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    compare_latency(&fleet, &client, &mut random).await?;
    compare_memory(&fleet, &client).await?;
    println!("orders without a failure:");
    run_orders(&mut fleet, &client, None).await?;
    let kill_at = random.random_range(ORDERS / 4..ORDERS / 2);
    println!(
        "orders while one of {ORDER_ENDPOINTS} agents is killed after order {kill_at} and started again:"
    );
    run_orders(&mut fleet, &client, Some(kill_at)).await
}

/// Compares the latency of look-ups (repeatable) and orders (at most once), sent one at a time in
/// random order.
async fn compare_latency(
    fleet: &Fleet,
    client: &Client,
    random: &mut ChaCha8Rng,
) -> anyhow::Result<()> {
    let entry = fleet.client_address("entry-a-0")?;
    let mut times = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for i in 0..2 * LATENCY_CALLS {
        let is_order = usize::from(random.random::<bool>());
        let start = Instant::now();
        let response = if is_order == 1 {
            let body = format!("cost {i}");
            client.send("POST", entry, "/v1/orders", &[], body).await?
        } else {
            client.send("GET", entry, "/v1/lookups/1", &[], "").await?
        };
        ensure!(response.status.is_success(), "{response:?}");
        times[is_order].record(u64::try_from(start.elapsed().as_micros())?)?;
    }
    for (name, times) in ["repeatable", "at most once"].iter().zip(&times) {
        let quantile = |q| times.value_at_quantile(q);
        let (p50, p99) = (quantile(0.5), quantile(0.99));
        println!("{name}: {} calls, p50 {p50} us, p99 {p99} us", times.len());
    }
    Ok(())
}

/// Compares the memory of the agents before and after they fill run records.
async fn compare_memory(fleet: &Fleet, client: &Client) -> anyhow::Result<()> {
    let entry = fleet.client_address("entry-a-1")?;
    let before = read_record_usage(fleet, client).await?;
    for i in 0..MEMORY_RECORDS {
        let body = format!("memory {i}");
        let response = client.send("POST", entry, "/v1/orders", &[], body).await?;
        ensure!(response.status.is_success(), "{response:?}");
    }
    let after = read_record_usage(fleet, client).await?;
    let records = after.0 - before.0;
    println!(
        "records held by {ORDER_ENDPOINTS} agents: {} with {} bytes of answers; resident memory grew by {} bytes for {records} records, {} each",
        after.0,
        after.1,
        after.2 - before.2,
        (after.2 - before.2) / records.max(1.0),
    );
    Ok(())
}

/// Returns the number of run records, the bytes of their answers and the resident memory in bytes,
/// summed over all agents.
async fn read_record_usage(fleet: &Fleet, client: &Client) -> anyhow::Result<(f64, f64, f64)> {
    let mut usage = (0.0, 0.0, 0.0);
    for agent in fleet.agents.values() {
        let ready: serde_json::Value = serde_json::from_str(agent.ready_line())?;
        let address: SocketAddr = ready["operators"].as_str().unwrap_or_default().parse()?;
        let metrics = client
            .send("GET", address, "/metrics", &[], "")
            .await?
            .text();
        let metric = |name: &str| -> f64 {
            let mut lines = metrics.lines();
            let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
            value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
        };
        usage.0 += metric("apricot_agent_records");
        usage.1 += metric("apricot_agent_record_bytes");
        usage.2 += resident_bytes(agent.id())?;
    }
    Ok(usage)
}

/// Returns the resident memory of a process, in bytes.
fn resident_bytes(id: u32) -> anyhow::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes: f64 = line
        .and_then(|line| line.trim().strip_suffix(" kB"))
        .unwrap_or("0")
        .parse()?;
    Ok(kilobytes * 1024.0)
}

/// Sends orders at a constant rate, each with an issued key and repeated until its outcome is
/// final; kills and restarts one agent after the order `kill_at`.
async fn run_orders(
    fleet: &mut Fleet,
    client: &Client,
    kill_at: Option<u32>,
) -> anyhow::Result<()> {
    let entries = [
        fleet.client_address("entry-a-0")?,
        fleet.client_address("entry-a-1")?,
    ];
    let mut tasks = Vec::new();
    for i in 0..ORDERS {
        let (client, entry) = (client.clone(), entries[i as usize % 2]);
        tasks.push(tokio::spawn(async move {
            let key = client.request_key(entry).await?;
            await_final_outcome(&client, entries, &key, &format!("order {i}")).await
        }));
        if kill_at == Some(i) {
            kill_and_restart(fleet).await?;
        }
        time::sleep(ORDER_INTERVAL).await;
    }
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for task in tasks {
        *counts.entry(task.await??).or_default() += 1;
    }
    for (outcome, count) in counts {
        let percent = 100.0 * f64::from(count) / f64::from(ORDERS);
        println!("  {outcome}: {count} of {ORDERS} ({percent:.2} %)");
    }
    Ok(())
}

async fn kill_and_restart(fleet: &mut Fleet) -> anyhow::Result<()> {
    let name = "orders-a-0";
    if let Some(agent) = fleet.agents.get_mut(name) {
        agent.signal(Signal::Kill)?;
        agent.wait(Duration::from_secs(10)).await?;
    }
    fleet.start_agent(name)
}

/// Sends an order through the entries in turn until the outcome is final, and returns the outcome.
async fn await_final_outcome(
    client: &Client,
    entries: [SocketAddr; 2],
    key: &str,
    body: &str,
) -> anyhow::Result<String> {
    for entry in entries.iter().cycle() {
        let response = client
            .send_order(*entry, key, "/v1/orders?pause_ms=20", body)
            .await?;
        if response.status.is_success() {
            return Ok("answered".to_owned());
        }
        let (kind, run) = problem_type_and_run(&response);
        if run == "unknown" && kind != "in-progress" {
            return Ok(format!("unknown: {kind}"));
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    anyhow::bail!("the list of entries is empty")
}

/// Returns the last part of the problem type, and whether the request was run.
fn problem_type_and_run(response: &Response) -> (String, String) {
    let json = response.json();
    let field = |name: &str| json[name].as_str().unwrap_or_default().to_owned();
    let kind = field("type");
    let kind = kind.rsplit(':').next().unwrap_or_default().to_owned();
    (kind, field("run"))
}
