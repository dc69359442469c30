//! Runs the barrier of a lock-step group; its one argument is the number of engines.

use anyhow::Context as _;
use fake::Barrier;

#[tokio::main(worker_threads = 2)]
async fn main() -> anyhow::Result<()> {
    let members = std::env::args().nth(1).context("no number of engines")?;
    Barrier::new(members.parse()?)
        .run(([127, 0, 0, 1], 0).into())
        .await
}
