//! Runs a fake engine; its optional argument is a [`Behaviour`] as JSON.

use fake::{Behaviour, Engine};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let behaviour = match std::env::args().nth(1) {
        Some(json) => serde_json::from_str(&json)?,
        None => Behaviour::default(),
    };
    Engine::new(behaviour).run(([127, 0, 0, 1], 0).into()).await
}
