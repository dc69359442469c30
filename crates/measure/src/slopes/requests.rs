use std::time::Duration;

use fake::{Client, Fleet, TEAM_KEY, Topology};
use futures::{StreamExt as _, stream};
use tokio::time::{self, Instant};

use super::{fit::print_fit, usage};

/// Time for which requests are sent at each rate.
const RATE_DURATION: Duration = Duration::from_secs(8);
/// Length of each draft, in tokens.
const DRAFT_TOKENS: u32 = 8;

/// Measures the processor use of an entry and an agent by request rate.
pub(crate) async fn measure(seed: u64) -> anyhow::Result<()> {
    let topology = Topology {
        services: 0,
        ..Topology::default()
    };
    let fleet = Fleet::start(topology).await?;
    let ids = [
        fleet.entries["entry-a-0"].id(),
        fleet.agents["drafts-a-0"].id(),
    ];
    let mut points = [Vec::new(), Vec::new()];
    for rate in [0_u32, 20, 50, 100] {
        let before = ids.map(|id| usage::read(&id.to_string()));
        let answered = send_requests(&fleet, seed, rate).await?;
        let after = ids.map(|id| usage::read(&id.to_string()));
        println!("rate {rate}: {answered} answered");
        for ((points, before), after) in points.iter_mut().zip(before).zip(after) {
            let cpu_micros_per_second =
                (after?.cpu_micros - before?.cpu_micros) / RATE_DURATION.as_secs_f64();
            points.push((f64::from(rate), cpu_micros_per_second));
        }
    }
    print_fit("request at an entry, processor", "µs a request", &points[0]);
    print_fit("request at an agent, processor", "µs a request", &points[1]);
    Ok(())
}

/// Sends requests at a rate, per second, and returns how many got a complete response.
async fn send_requests(fleet: &Fleet, seed: u64, rate: u32) -> anyhow::Result<usize> {
    let entry = fleet.client_address("entry-a-0")?;
    let client = Client::new(TEAM_KEY, false);
    let start = Instant::now();
    let count = rate * u32::try_from(RATE_DURATION.as_secs())?;
    let calls = stream::iter(0..count).map(|number| {
        let client = &client;
        async move {
            time::sleep_until(start + RATE_DURATION / count * number).await;
            let prompt = format!("prompt {seed} {rate} {number}");
            let response = client.request_draft(entry, &prompt, DRAFT_TOKENS).await;
            response.is_ok_and(|response| response.status == 200 && response.body.is_some())
        }
    });
    let answered = calls
        .buffer_unordered(usize::MAX)
        .filter(|complete| std::future::ready(*complete));
    let answered = answered.count().await;
    time::sleep_until(start + RATE_DURATION).await;
    Ok(answered)
}
