//! Runs a UDP relay to the address in its argument; each line on standard input is a
//! [`fake::Filter`] as JSON, such as `"silence"`, and applies at once.

use anyhow::Context as _;
use fake::Relay;
use tokio::io::{AsyncBufReadExt as _, BufReader};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let target = std::env::args()
        .nth(1)
        .context("usage: fake-relay TARGET")?
        .parse()?;
    let (relay, address) = Relay::start(target).await?;
    println!("{address}");
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        relay.set_filter(serde_json::from_str(&line)?);
    }
    Ok(())
}
