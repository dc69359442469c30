//! Costs of the system by size: of components in this process and of fleets.

mod components;
mod fit;
mod links;
mod requests;
mod usage;

use futures::future::BoxFuture;

/// Measures each cost at three or more sizes and fits a straight line through the values.
pub(crate) fn run(seed: u64) -> BoxFuture<'static, anyhow::Result<()>> {
    Box::pin(async move {
        println!("seed {seed}; each line: slope, value at zero, worst distance from the line");
        components::measure_events()?;
        components::measure_documents()?;
        components::measure_changes()?;
        components::measure_records()?;
        components::measure_keys();
        links::measure_entry_links().await?;
        links::measure_agent_links().await?;
        requests::measure(seed).await
    })
}
