//! Runs a fake engine of a lock-step group; its argument is a [`fake::Member`] as JSON.

use anyhow::Context as _;
use fake::Ranks;

#[tokio::main(worker_threads = 2)]
async fn main() -> anyhow::Result<()> {
    let settings = std::env::args()
        .nth(1)
        .context("usage: fake-ranks SETTINGS")?;
    Ranks::new(serde_json::from_str(&settings)?).run().await
}
