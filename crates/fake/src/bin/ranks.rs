//! Runs a stand-in engine of a lock-step group; its one argument is its settings as JSON.

use anyhow::Context as _;
use fake::Ranks;

#[tokio::main(worker_threads = 2)]
async fn main() -> anyhow::Result<()> {
    let text = std::env::args().nth(1).context("no settings")?;
    Ranks::new(serde_json::from_str(&text)?).run().await
}
