use std::time::Duration;

use fake::{Client, Fleet, TEAM_KEY, Topology};
use futures::{StreamExt as _, stream};
use tokio::time::{self, Instant};

use super::{fit::print, usage};

/// Time for which each rate is held.
const SPAN: Duration = Duration::from_secs(8);
/// Tokens of each answer.
const TOKENS: u32 = 8;

/// Cost of requests at an entry and an agent, by rate.
pub(crate) async fn rates(seed: u64) -> anyhow::Result<()> {
    let plan = Topology {
        services: 0,
        ..Topology::default()
    };
    let fleet = Fleet::start(plan).await?;
    let ids = [
        fleet.entries["entry-a-0"].id(),
        fleet.agents["drafts-a-0"].id(),
    ];
    let mut points = [Vec::new(), Vec::new()];
    for rate in [0_u32, 20, 50, 100] {
        let before = ids.map(|id| usage::of(&id.to_string()));
        let answered = load(&fleet, seed, rate).await?;
        let after = ids.map(|id| usage::of(&id.to_string()));
        println!("rate {rate}: {answered} answered");
        for ((points, before), after) in points.iter_mut().zip(before).zip(after) {
            let cpu = (after?.cpu - before?.cpu) / SPAN.as_secs_f64();
            points.push((f64::from(rate), cpu));
        }
    }
    print("request at an entry, processor", "µs a request", &points[0]);
    print("request at an agent, processor", "µs a request", &points[1]);
    Ok(())
}

/// Sends requests at a rate and returns how many were answered whole.
async fn load(fleet: &Fleet, seed: u64, rate: u32) -> anyhow::Result<usize> {
    let entry = fleet.client_address("entry-a-0")?;
    let caller = Client::new(TEAM_KEY, false);
    let start = Instant::now();
    let count = rate * u32::try_from(SPAN.as_secs())?;
    let calls = stream::iter(0..count).map(|number| {
        let caller = &caller;
        async move {
            time::sleep_until(start + SPAN / count * number).await;
            let prompt = format!("prompt {seed} {rate} {number}");
            let answer = caller.request_draft(entry, &prompt, TOKENS).await;
            answer.is_ok_and(|answer| answer.status == 200 && answer.body.is_some())
        }
    });
    let answered = calls
        .buffer_unordered(usize::MAX)
        .filter(|whole| std::future::ready(*whole));
    let answered = answered.count().await;
    time::sleep_until(start + SPAN).await;
    Ok(answered)
}
