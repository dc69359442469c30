mod fit;
mod links;
mod memory;
mod requests;
mod usage;

use futures::future::BoxFuture;

/// Measures what control costs by size, with a straight line through three sizes or more each.
pub(crate) fn run(seed: u64) -> BoxFuture<'static, anyhow::Result<()>> {
    Box::pin(async move {
        println!("seed {seed}; each line: slope, value at zero, worst distance from the line");
        memory::events()?;
        memory::documents()?;
        memory::changes()?;
        memory::records()?;
        memory::keys();
        links::outgoing().await?;
        links::incoming().await?;
        requests::rates(seed).await
    })
}
