//! Runs the barrier of a lock-step group; its argument is the number of engines.

use anyhow::Context as _;
use fake::Barrier;

#[tokio::main(worker_threads = 2)]
async fn main() -> anyhow::Result<()> {
    let members = std::env::args()
        .nth(1)
        .context("usage: fake-barrier ENGINES")?;
    Barrier::new(members.parse()?)
        .run(([127, 0, 0, 1], 0).into())
        .await
}
