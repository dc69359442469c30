//! Runs a fake platform.

use fake::Platform;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    Platform::new().run(([127, 0, 0, 1], 0).into()).await
}
