use std::process::Command;

use fake::{Client, Fleet, Signal, TEAM_KEY, Topology, expected_draft, program_path};

/// Runs `apricot-ctl timeline` over a whole fleet and returns what it prints.
fn timeline(fleet: &Fleet, arguments: &[&str]) -> String {
    let all = fleet.entries.values().chain(fleet.agents.values());
    let addresses = all.map(|process| {
        let ready: serde_json::Value = serde_json::from_str(process.ready_line()).unwrap();
        ready["operators"].as_str().unwrap().to_owned()
    });
    let mut command = Command::new(program_path("apricot-ctl").unwrap());
    command.arg("timeline").args(addresses).args(arguments);
    String::from_utf8(command.output().unwrap().stdout).unwrap()
}

/// Returns the names of the events of a request, in order.
fn names(fleet: &Fleet, request: &str) -> Vec<String> {
    let text = timeline(fleet, &["--request", request, "--format", "json"]);
    let lines = text
        .lines()
        .map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap());
    lines
        .filter_map(|line| Some(line["kind"]["event"].as_str()?.to_owned()))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_story() {
    let plan = Topology {
        zones: vec!["a", "b"],
        ..Topology::default()
    };
    let fleet = Fleet::start(plan).await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let caller = Client::new(TEAM_KEY, false);
    let answer = caller.request_draft(entry, "p", 2).await.unwrap();
    assert_eq!(answer.text(), expected_draft("p", 2));
    let request = answer.headers["x-request-id"].to_str().unwrap();
    assert_eq!(
        names(&fleet, request),
        ["request", "offer", "run", "answer"]
    );
    let why = timeline(&fleet, &["--request", request, "--why"]);
    assert!(
        why.contains("Attempt 1 was started at drafts-a-0."),
        "{why}"
    );
    assert!(why.contains("whole answer: status 200"), "{why}");

    let agent = &fleet.agents["drafts-a-0"];
    agent.signal(Signal::Kill).unwrap();
    let why = timeline(&fleet, &["--request", request, "--why"]);
    assert!(
        why.contains("What its agent did with it is not known."),
        "{why}"
    );
    assert!(why.contains("Missing: all events"), "{why}");
}
