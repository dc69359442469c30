use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use fake::{Client, Fleet, Process, TEAM_KEY, Topology};
use futures::{StreamExt as _, TryStreamExt as _, future::BoxFuture, stream};
use hdrhistogram::Histogram;
use tokio::time;

/// Numbers of concurrent streams.
const STREAM_COUNTS: [usize; 3] = [1, 16, 256];
/// Calls of each stream in a round.
const ROUND_CALLS_PER_STREAM: usize = 100;
/// Upper bound on the calls of all streams in a round.
const MAX_ROUND_CALLS: usize = 3000;
/// Pairs of rounds for each number of streams: one direct, one through entry and agent.
const ROUNDS: usize = 3;
/// Length of each draft, in tokens.
const DRAFT_TOKENS: u32 = 4;
/// Time over which the processor use of idle processes is measured.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Longest latency that the histograms resolve, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Target of the added median latency with one stream.
const MAX_ADDED_P50: Duration = Duration::from_millis(1);

/// Measures the latency that entry and agent add to a direct call of the engine.
pub(crate) fn run(_seed: u64) -> BoxFuture<'static, anyhow::Result<()>> {
    Box::pin(measure())
}

async fn measure() -> anyhow::Result<()> {
    let limit = conf::Limit {
        cold: 1024,
        full: 1024,
    };
    let fleet = Fleet::start(Topology {
        limit,
        services: 0,
        ..Topology::default()
    })
    .await?;
    let entry = fleet.client_address("entry-a-0")?;
    let engine = engine_address(&fleet)?;
    report_idle_cpu(&fleet).await?;
    remove_step_time(engine).await?;
    println!("| streams | direct p50 | p99 | path p50 | p99 | added p50 | added p99 |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for streams in STREAM_COUNTS {
        let (mut direct, mut proxied) = (new_histogram()?, new_histogram()?);
        for _ in 0..ROUNDS {
            run_round(engine, streams, &mut direct).await?;
            run_round(entry, streams, &mut proxied).await?;
        }
        report(streams, &direct, &proxied);
    }
    report_memory(&fleet)
}

/// Sets the step time of the engine to zero: its timer has a resolution of 1 ms, which would hide
/// smaller latencies.
async fn remove_step_time(engine: SocketAddr) -> anyhow::Result<()> {
    let behaviour = r#"{ "step_ms": 0, "load_ms": 0 }"#;
    let client = Client::new(TEAM_KEY, false);
    let response = client.send("POST", engine, "/control", &[], behaviour);
    let succeeded = response.await?.status.is_success();
    anyhow::ensure!(succeeded, "the engine rejected the step time of zero");
    Ok(())
}

fn new_histogram() -> anyhow::Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?)
}

fn engine_address(fleet: &Fleet) -> anyhow::Result<SocketAddr> {
    let engine = fleet
        .backends
        .values()
        .next()
        .ok_or_else(|| anyhow::anyhow!("the fleet has no engine"))?;
    Ok(engine.ready_line().parse()?)
}

/// Sends the calls of a round and records the time from each call to the end of its response.
async fn run_round(
    address: SocketAddr,
    streams: usize,
    times: &mut Histogram<u64>,
) -> anyhow::Result<()> {
    let client = Client::new(TEAM_KEY, false);
    let calls = (ROUND_CALLS_PER_STREAM * streams).min(MAX_ROUND_CALLS);
    let calls = stream::iter(0..calls).map(|i| {
        let client = client.clone();
        async move {
            let start = Instant::now();
            let response = client
                .request_draft(address, &format!("prompt {i}"), DRAFT_TOKENS)
                .await?;
            anyhow::ensure!(
                response.status.is_success() && response.body.is_some(),
                "{response:?}"
            );
            Ok(u64::try_from(start.elapsed().as_micros())?)
        }
    });
    let latencies: Vec<u64> = calls.buffer_unordered(streams).try_collect().await?;
    latencies
        .into_iter()
        .for_each(|micros| times.saturating_record(micros));
    Ok(())
}

fn report(streams: usize, direct: &Histogram<u64>, proxied: &Histogram<u64>) {
    let at =
        |times: &Histogram<u64>, quantile| Duration::from_micros(times.value_at_quantile(quantile));
    let added = |quantile| at(proxied, quantile).saturating_sub(at(direct, quantile));
    println!(
        "| {streams} | {:?} | {:?} | {:?} | {:?} | {:?} | {:?} |",
        at(direct, 0.5),
        at(direct, 0.99),
        at(proxied, 0.5),
        at(proxied, 0.99),
        added(0.5),
        added(0.99),
    );
    if streams == 1 {
        let verdict = if added(0.5) < MAX_ADDED_P50 {
            "met"
        } else {
            "MISSED"
        };
        println!("target, added p50 under {MAX_ADDED_P50:?} with one stream: {verdict}");
    }
}

/// Prints the processor use of entries and agents without requests.
async fn report_idle_cpu(fleet: &Fleet) -> anyhow::Result<()> {
    let before: Vec<_> = processes(fleet)
        .map(|(_, process)| process.usage())
        .collect();
    time::sleep(IDLE_TIME).await;
    for ((name, process), before) in processes(fleet).zip(before) {
        let used = process.usage()?.cpu_time.saturating_sub(before?.cpu_time);
        println!(
            "{name} idle: {:.2}% of a core",
            100.0 * used.as_secs_f64() / IDLE_TIME.as_secs_f64()
        );
    }
    Ok(())
}

fn report_memory(fleet: &Fleet) -> anyhow::Result<()> {
    for (name, process) in processes(fleet) {
        println!(
            "{name} resident after the calls: {:.1} MB",
            megabytes(process.usage()?.resident_bytes)
        );
    }
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "shown with one digit")]
fn megabytes(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}

fn processes(fleet: &Fleet) -> impl Iterator<Item = (&str, &Process)> {
    fleet
        .entries
        .iter()
        .chain(&fleet.agents)
        .map(|(name, process)| (name.as_str(), process))
}
