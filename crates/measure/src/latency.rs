use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use fake::{Client, Fleet, Process, TEAM_KEY, Topology};
use futures::{StreamExt as _, TryStreamExt as _, future::BoxFuture, stream};
use hdrhistogram::Histogram;
use tokio::time;

/// Streams at a time.
const STREAMS: [usize; 3] = [1, 16, 256];
/// Calls of each stream in a round, and of all together at most.
const CALLS: (usize, usize) = (100, 3000);
/// Rounds, which alternate between the direct way and the path.
const ROUNDS: usize = 3;
/// Tokens of an answer.
const TOKENS: u32 = 4;
/// Time for which the idle processes are watched.
const IDLE: Duration = Duration::from_secs(10);
/// Longest latency that is told apart, in microseconds.
const LONGEST: u64 = 60_000_000;
/// Added latency at the median with one stream, as the target states it.
const TARGET: Duration = Duration::from_millis(1);

/// Measures the latency that the path adds to calling the engine directly.
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
    let engine = stand(&fleet)?;
    idle(&fleet).await?;
    hasten(engine).await?;
    println!("| streams | direct p50 | p99 | path p50 | p99 | added p50 | added p99 |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for streams in STREAMS {
        let (mut direct, mut path) = (histogram()?, histogram()?);
        for _ in 0..ROUNDS {
            round(engine, streams, &mut direct).await?;
            round(entry, streams, &mut path).await?;
        }
        report(streams, &direct, &path);
    }
    memory(&fleet)
}

/// Takes the time of a step out of the engine: its timer ticks in milliseconds, which would hide
/// latencies of less.
async fn hasten(engine: SocketAddr) -> anyhow::Result<()> {
    let behaviour = r#"{ "step_ms": 0, "load_ms": 0 }"#;
    let caller = Client::new(TEAM_KEY, false);
    let answer = caller.send("POST", engine, "/control", &[], behaviour);
    let taken = answer.await?.status.is_success();
    anyhow::ensure!(taken, "the engine takes no behaviour");
    Ok(())
}

fn histogram() -> anyhow::Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(1, LONGEST, 3)?)
}

fn stand(fleet: &Fleet) -> anyhow::Result<SocketAddr> {
    let stand = fleet
        .backends
        .values()
        .next()
        .ok_or_else(|| anyhow::anyhow!("no engine"))?;
    Ok(stand.ready_line().parse()?)
}

/// Sends the calls of a round and records how long each took to its end.
async fn round(
    address: SocketAddr,
    streams: usize,
    times: &mut Histogram<u64>,
) -> anyhow::Result<()> {
    let caller = Client::new(TEAM_KEY, false);
    let calls = (CALLS.0 * streams).min(CALLS.1);
    let calls = stream::iter(0..calls).map(|i| {
        let caller = caller.clone();
        async move {
            let start = Instant::now();
            let answer = caller
                .request_draft(address, &format!("prompt {i}"), TOKENS)
                .await?;
            anyhow::ensure!(
                answer.status.is_success() && answer.body.is_some(),
                "{answer:?}"
            );
            Ok(u64::try_from(start.elapsed().as_micros())?)
        }
    });
    let taken: Vec<u64> = calls.buffer_unordered(streams).try_collect().await?;
    taken
        .into_iter()
        .for_each(|micros| times.saturating_record(micros));
    Ok(())
}

fn report(streams: usize, direct: &Histogram<u64>, path: &Histogram<u64>) {
    let at =
        |times: &Histogram<u64>, quantile| Duration::from_micros(times.value_at_quantile(quantile));
    let added = |quantile| at(path, quantile).saturating_sub(at(direct, quantile));
    println!(
        "| {streams} | {:?} | {:?} | {:?} | {:?} | {:?} | {:?} |",
        at(direct, 0.5),
        at(direct, 0.99),
        at(path, 0.5),
        at(path, 0.99),
        added(0.5),
        added(0.99),
    );
    if streams == 1 {
        let verdict = if added(0.5) < TARGET { "met" } else { "MISSED" };
        println!("target, added p50 under {TARGET:?} with one stream: {verdict}");
    }
}

/// Prints the processor time of processes that have nothing to do.
async fn idle(fleet: &Fleet) -> anyhow::Result<()> {
    let before: Vec<_> = processes(fleet)
        .map(|(_, process)| process.usage())
        .collect();
    time::sleep(IDLE).await;
    for ((name, process), before) in processes(fleet).zip(before) {
        let used = process.usage()?.cpu_time.saturating_sub(before?.cpu_time);
        println!(
            "{name} idle: {:.2}% of a core",
            100.0 * used.as_secs_f64() / IDLE.as_secs_f64()
        );
    }
    Ok(())
}

fn memory(fleet: &Fleet) -> anyhow::Result<()> {
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
