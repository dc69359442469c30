//! Starts three availability zones with entries, agents and fake back ends, sends requests and checks
//! the responses, also after an agent is killed.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use anyhow::{Context as _, ensure};
use event::Event;
use fake::{Client, Fleet, Process, Response, Signal, TEAM_KEY, Topology, expected_draft};
use tokio::time;

/// Number of drafts requested through each entry.
const DRAFTS: usize = 20;
/// Number of tokens of a draft.
const TOKENS: u32 = 20;
/// Number of tokens of the draft during which an agent is killed.
const LONG_DRAFT_TOKENS: u32 = 150;

#[tokio::main]
async fn main() -> ExitCode {
    match run_demo().await {
        Ok(()) => {
            println!("all responses were correct");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run_demo() -> anyhow::Result<()> {
    println!("building and starting three availability zones ...");
    let topology = Topology {
        zones: vec!["a", "b", "c"],
        engines: 2,
        ..Topology::default()
    };
    let mut fleet = Fleet::start(topology).await?;
    let client = Client::new(TEAM_KEY, true);
    for name in fleet.entries.keys() {
        request_drafts(&client, fleet.client_address(name)?)
            .await
            .with_context(|| name.to_string())?;
        request_lookup(&client, fleet.client_address(name)?)
            .await
            .with_context(|| name.to_string())?;
    }
    repeat_order(&client, fleet.client_address("entry-a-0")?).await?;
    kill_agent(&client, &mut fleet).await?;
    print_timeline(&fleet).await
}

async fn request_drafts(client: &Client, entry: SocketAddr) -> anyhow::Result<()> {
    let requests = (0..DRAFTS).map(|i| async move {
        let prompt = format!("draft {i} through {entry}");
        let response = client.request_draft(entry, &prompt, TOKENS).await?;
        ensure!(
            response.text() == expected_draft(&prompt, TOKENS),
            "incomplete draft or draft of another request: {response:?}"
        );
        anyhow::Ok(())
    });
    futures::future::try_join_all(requests).await?;
    println!("{DRAFTS} drafts through {entry}: all complete and each for its own prompt");
    Ok(())
}

async fn request_lookup(client: &Client, entry: SocketAddr) -> anyhow::Result<()> {
    let response = client.send("GET", entry, "/v1/lookups/7", &[], "").await?;
    ensure!(response.status.is_success(), "{response:?}");
    println!("lookup through {entry}: {}", response.text());
    Ok(())
}

/// Sends an order twice with the same idempotency key and checks that it ran once.
async fn repeat_order(client: &Client, entry: SocketAddr) -> anyhow::Result<()> {
    let key = client.request_key(entry).await?;
    let headers = [("idempotency-key", key.as_str())];
    let send = || client.send("POST", entry, "/v1/orders", &headers, "order 1");
    let (first, second) = (send().await?, send().await?);
    ensure!(first.status.is_success(), "{first:?}");
    ensure!(
        first.body == second.body,
        "the second response differs: {first:?} {second:?}"
    );
    ensure!(
        first.json()["count"] == 1,
        "the order ran more than once: {first:?}"
    );
    println!(
        "order sent twice with the same idempotency key: ran once, {}",
        first.text()
    );
    Ok(())
}

/// Kills the agent that runs a long draft; the client must get the complete draft, or detect that the
/// response is incomplete and get the draft with a second request.
async fn kill_agent(client: &Client, fleet: &mut Fleet) -> anyhow::Result<()> {
    let entry = fleet.client_address("entry-a-0")?;
    let request = {
        let client = client.clone();
        tokio::spawn(async move {
            client
                .request_draft(entry, "long draft", LONG_DRAFT_TOKENS)
                .await
        })
    };
    time::sleep(Duration::from_millis(300)).await;
    let name = find_busy_endpoint(fleet).await?;
    let agent: Process = fleet
        .agents
        .remove(name.as_str())
        .context("fleet has no such agent")?;
    agent.signal(Signal::Kill)?;
    println!("killed the agent of {name} while it ran a draft");
    let response: Response = request.await??;
    let complete = response.text() == expected_draft("long draft", LONG_DRAFT_TOKENS);
    ensure!(
        complete || response.body.is_none() || !response.status.is_success(),
        "an incomplete response looks complete: {response:?}"
    );
    let second = client
        .request_draft(entry, "long draft", LONG_DRAFT_TOKENS)
        .await?;
    ensure!(
        second.text() == expected_draft("long draft", LONG_DRAFT_TOKENS),
        "the second response is incomplete: {second:?}"
    );
    println!(
        "the response to the {} request is the complete draft",
        if complete { "first" } else { "second" }
    );
    Ok(())
}

/// Returns the endpoint whose engine runs a request.
async fn find_busy_endpoint(fleet: &Fleet) -> anyhow::Result<String> {
    for (name, engine) in fleet
        .backends
        .iter()
        .filter(|(name, _)| name.starts_with("drafts"))
    {
        let health = Client::new(TEAM_KEY, false)
            .send("GET", engine.ready_line().parse()?, "/health", &[], "")
            .await?
            .json();
        if health["running"]
            .as_u64()
            .is_some_and(|running| running > 0)
        {
            return Ok(name.to_string());
        }
    }
    anyhow::bail!("no engine runs the draft")
}

/// Prints the last events of the merged timeline of all processes.
async fn print_timeline(fleet: &Fleet) -> anyhow::Result<()> {
    let client = Client::new(TEAM_KEY, false);
    let mut events: Vec<Event> = Vec::new();
    for process in fleet.entries.values().chain(fleet.agents.values()) {
        let ready: node::Addresses = serde_json::from_str(process.ready_line())?;
        let response = client
            .send("GET", ready.operators, "/events", &[], "")
            .await?;
        events.extend(serde_json::from_slice::<Vec<Event>>(
            &response.body.unwrap_or_default(),
        )?);
    }
    println!("last events of all processes:");
    let events = ctl::merge(events);
    for event in events.iter().rev().take(12).rev() {
        println!("  {}", serde_json::to_string(event)?);
    }
    ensure!(!events.is_empty(), "the timeline is empty");
    Ok(())
}
