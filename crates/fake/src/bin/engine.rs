//! Runs a stand-in engine; its one argument is the behaviour as JSON.

use fake::{Behaviour, Engine};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let behaviour = match std::env::args().nth(1) {
        Some(text) => serde_json::from_str(&text)?,
        None => Behaviour::default(),
    };
    Engine::new(behaviour).run(([127, 0, 0, 1], 0).into()).await
}
