//! Starts three zones of stand-ins, entries and agents, and shows that all answers come right.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use anyhow::{Context as _, ensure};
use event::Event;
use fake::{Client, Fleet, Process, Response, Signal, TEAM_KEY, Topology, expected_draft};
use tokio::time;

/// Drafts that are sent through each entry.
const DRAFTS: usize = 20;
/// Tokens of a draft.
const TOKENS: u32 = 20;
/// Tokens of the draft during which an agent is killed.
const LONG: u32 = 150;

#[tokio::main]
async fn main() -> ExitCode {
    match demo().await {
        Ok(()) => {
            println!("all answers came right");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}

async fn demo() -> anyhow::Result<()> {
    println!("building and starting three availability zones ...");
    let plan = Topology {
        zones: vec!["a", "b", "c"],
        engines: 2,
        ..Topology::default()
    };
    let mut fleet = Fleet::start(plan).await?;
    let caller = Client::new(TEAM_KEY, true);
    for name in fleet.entries.keys() {
        drafts(&caller, fleet.client_address(name)?)
            .await
            .with_context(|| name.to_string())?;
        look_up(&caller, fleet.client_address(name)?)
            .await
            .with_context(|| name.to_string())?;
    }
    order(&caller, fleet.client_address("entry-a-0")?).await?;
    kill(&caller, &mut fleet).await?;
    timeline(&fleet).await
}

async fn drafts(caller: &Client, entry: SocketAddr) -> anyhow::Result<()> {
    let calls = (0..DRAFTS).map(|i| async move {
        let prompt = format!("draft {i} through {entry}");
        let answer = caller.request_draft(entry, &prompt, TOKENS).await?;
        ensure!(
            answer.text() == expected_draft(&prompt, TOKENS),
            "not its own whole answer: {answer:?}"
        );
        anyhow::Ok(())
    });
    futures::future::try_join_all(calls).await?;
    println!("{DRAFTS} drafts through {entry}: each whole and its own");
    Ok(())
}

async fn look_up(caller: &Client, entry: SocketAddr) -> anyhow::Result<()> {
    let answer = caller.send("GET", entry, "/v1/lookups/7", &[], "").await?;
    ensure!(answer.status.is_success(), "{answer:?}");
    println!("a look-up through {entry}: {}", answer.text());
    Ok(())
}

/// Sends an order twice under one key.
async fn order(caller: &Client, entry: SocketAddr) -> anyhow::Result<()> {
    let key = caller.request_key(entry).await?;
    let headers = [("idempotency-key", key.as_str())];
    let send = || caller.send("POST", entry, "/v1/orders", &headers, "order 1");
    let (first, second) = (send().await?, send().await?);
    ensure!(first.status.is_success(), "{first:?}");
    ensure!(
        first.body == second.body,
        "the second answer differs: {first:?} {second:?}"
    );
    ensure!(
        first.json()["count"] == 1,
        "the order ran more than once: {first:?}"
    );
    println!(
        "an order sent twice under one key: ran once, {}",
        first.text()
    );
    Ok(())
}

/// Kills the agent that runs a long draft; the caller sees that its answer is cut and asks again.
async fn kill(caller: &Client, fleet: &mut Fleet) -> anyhow::Result<()> {
    let entry = fleet.client_address("entry-a-0")?;
    let call = {
        let caller = caller.clone();
        tokio::spawn(async move { caller.request_draft(entry, "long draft", LONG).await })
    };
    time::sleep(Duration::from_millis(300)).await;
    let name = busy(fleet).await?;
    let agent: Process = fleet
        .agents
        .remove(name.as_str())
        .context("no such agent")?;
    agent.signal(Signal::Kill)?;
    println!("killed the agent of {name} while it ran a draft");
    let answer: Response = call.await??;
    let whole = answer.text() == expected_draft("long draft", LONG);
    ensure!(
        whole || answer.body.is_none() || !answer.status.is_success(),
        "a cut answer looks whole: {answer:?}"
    );
    let again = caller.request_draft(entry, "long draft", LONG).await?;
    ensure!(
        again.text() == expected_draft("long draft", LONG),
        "the second answer is not whole: {again:?}"
    );
    println!(
        "its caller {} and has the whole draft",
        if whole {
            "noticed nothing"
        } else {
            "asked again"
        }
    );
    Ok(())
}

/// Returns the endpoint whose engine runs something.
async fn busy(fleet: &Fleet) -> anyhow::Result<String> {
    for (name, stand) in fleet
        .backends
        .iter()
        .filter(|(name, _)| name.starts_with("drafts"))
    {
        let health = Client::new(TEAM_KEY, false)
            .send("GET", stand.ready_line().parse()?, "/health", &[], "")
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

/// Prints the end of the merged time line.
async fn timeline(fleet: &Fleet) -> anyhow::Result<()> {
    let caller = Client::new(TEAM_KEY, false);
    let mut events: Vec<Event> = Vec::new();
    for process in fleet.entries.values().chain(fleet.agents.values()) {
        let ready: node::Ready = serde_json::from_str(process.ready_line())?;
        let answer = caller
            .send("GET", ready.operators, "/events", &[], "")
            .await?;
        events.extend(serde_json::from_slice::<Vec<Event>>(
            &answer.body.unwrap_or_default(),
        )?);
    }
    println!("the last events over all processes:");
    let events = ctl::merge(events);
    for event in events.iter().rev().take(12).rev() {
        println!("  {}", serde_json::to_string(event)?);
    }
    ensure!(!events.is_empty(), "the time line is empty");
    Ok(())
}
