use std::process::Command;

use fake::{Client, Fleet, Signal, TEAM_KEY, Topology, expected_draft, program_path};

/// Runs `apricot-ctl timeline` on all entries and agents; returns its standard output.
fn run_timeline(fleet: &Fleet, arguments: &[&str]) -> String {
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
fn event_names(fleet: &Fleet, request: &str) -> Vec<String> {
    let text = run_timeline(fleet, &["--request", request, "--format", "json"]);
    let lines = text
        .lines()
        .map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap());
    lines
        .filter_map(|line| Some(line["kind"]["event"].as_str()?.to_owned()))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn events_of_request() {
    let topology = Topology {
        zones: vec!["a", "b"],
        ..Topology::default()
    };
    let fleet = Fleet::start(topology).await.unwrap();
    let entry = fleet.client_address("entry-a-0").unwrap();
    let client = Client::new(TEAM_KEY, false);
    let response = client.request_draft(entry, "p", 2).await.unwrap();
    assert_eq!(response.text(), expected_draft("p", 2));
    let request = response.headers["x-request-id"].to_str().unwrap();
    assert_eq!(
        event_names(&fleet, request),
        ["request", "offer", "run", "answer"]
    );
    let explanation = run_timeline(&fleet, &["--request", request, "--why"]);
    assert!(
        explanation.contains("Attempt 1 was started at drafts-a-0."),
        "{explanation}"
    );
    assert!(
        explanation.contains("whole answer: status 200"),
        "{explanation}"
    );

    let agent = &fleet.agents["drafts-a-0"];
    agent.signal(Signal::Kill).unwrap();
    let explanation = run_timeline(&fleet, &["--request", request, "--why"]);
    assert!(
        explanation.contains("What its agent did with it is not known."),
        "{explanation}"
    );
    assert!(explanation.contains("Missing: all events"), "{explanation}");
}
