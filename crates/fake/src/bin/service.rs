//! Runs a fake plain service.

use fake::Service;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    Service::new().run(([127, 0, 0, 1], 0).into()).await
}
