use std::{collections::BTreeMap, time::Duration};

use conf::id;
use fault::Run as RunState;
use smol_str::SmolStr;

use crate::{
    Assertion, Window,
    agent::endpoint_zone,
    simulation::{Outcome, Run, Simulation, State, Submission},
};

/// Returns a description of each failed check: invariants of all scenarios, then expectations.
pub(crate) fn check(simulation: &Simulation) -> Vec<String> {
    let mut failures = Vec::new();
    failures.extend(check_answers(simulation));
    failures.extend(check_refusals(simulation));
    failures.extend(check_single_runs(simulation));
    failures.extend(check_version_order(simulation));
    for expectation in &simulation.script.expectations {
        if let Err(observed) = check_assertion(simulation, &expectation.assertion) {
            failures.push(format!(
                "line {}: `{}`: {observed}",
                expectation.line, expectation.text
            ));
        }
    }
    failures
}

/// Checks that each client got the complete answer to its own request.
fn check_answers(simulation: &Simulation) -> Vec<String> {
    let wrong = |submission: &Submission| match &submission.outcome {
        Some((_, Outcome::Answered { body })) if *body != submission.expected_answer() => {
            Some(format!(
                "{} got `{body}`, which is not its own complete answer",
                submission.request
            ))
        }
        _ => None,
    };
    simulation
        .trace
        .submissions
        .values()
        .filter_map(wrong)
        .collect()
}

/// Checks that requests refused as not run were never run, nor was their key before the refusal.
fn check_refusals(simulation: &Simulation) -> Vec<String> {
    let mut failures = Vec::new();
    for submission in simulation.trace.submissions.values() {
        let Some((at, Outcome::Refused(fault))) = &submission.outcome else {
            continue;
        };
        if fault.run() != RunState::No {
            continue;
        }
        let ran = simulation.trace.runs.iter().find(|run| {
            let other = &simulation.trace.submissions[&run.request];
            let same_key_before =
                submission.key.is_some() && key(submission) == key(other) && run.at <= *at;
            run.request == submission.request || same_key_before
        });
        if let Some(run) = ran {
            let Run { endpoint, at, .. } = run;
            failures.push(format!(
                "{} was refused as not run ({fault}), but ran at {endpoint} at {at:?}",
                submission.request
            ));
        }
    }
    failures
}

/// Checks that no key of a team runs more than once.
fn check_single_runs(simulation: &Simulation) -> Vec<String> {
    let mut counts = BTreeMap::new();
    for run in &simulation.trace.runs {
        let submission = &simulation.trace.submissions[&run.request];
        if submission.key.is_some() {
            *counts.entry(key(submission)).or_insert(0) += 1;
        }
    }
    let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
    repeated
        .map(|((team, key), count)| format!("key {:?} of {team} ran {count} times", key))
        .collect()
}

/// Checks that no incarnation of a process applies an older version after a newer one.
fn check_version_order(simulation: &Simulation) -> Vec<String> {
    let mut last = BTreeMap::new();
    let mut failures = Vec::new();
    for (at, process, incarnation, number) in &simulation.trace.versions {
        let before = last.insert((process, incarnation), *number).unwrap_or(0);
        if before > *number {
            failures.push(format!(
                "{process} went from version {before} to {number} at {at:?}"
            ));
        }
    }
    failures
}

fn key(submission: &Submission) -> (&id::Team, Option<&SmolStr>) {
    (&submission.team, submission.key.as_ref())
}

/// Checks an assertion; an error says what was observed instead.
fn check_assertion(simulation: &Simulation, assertion: &Assertion) -> Result<(), String> {
    match assertion {
        Assertion::Answered(percent, service, window) => {
            let answered = |outcome: &Outcome| matches!(outcome, Outcome::Answered { .. });
            check_share(simulation, *percent, service.as_ref(), *window, answered)
        }
        Assertion::Refused(percent, service, window) => {
            let refused = |outcome: &Outcome| matches!(outcome, Outcome::Refused(_));
            check_share(simulation, *percent, service.as_ref(), *window, refused)
        }
        Assertion::NoRuns(place, window) => match runs_at(simulation, place, *window).next() {
            None => Ok(()),
            Some(run) => Err(format!(
                "{} ran at {} at {:?}",
                run.request, run.endpoint, run.at
            )),
        },
        Assertion::SomeRuns(place, window) => match runs_at(simulation, place, *window).next() {
            None => Err("no run started".to_owned()),
            Some(_) => Ok(()),
        },
        Assertion::Load(endpoint, bound, window) => {
            let loads = runs_at(simulation, endpoint, *window).map(|run| run.load);
            check_bound(loads.max().unwrap_or(0), *bound, "requests in flight")
        }
        Assertion::NoOverload => match simulation.trace.overloads.first() {
            None => Ok(()),
            Some((at, endpoint)) => Err(format!(
                "{endpoint} got more requests than its capacity at {at:?}"
            )),
        },
        Assertion::Runs(key, bound) => {
            let has_key =
                |run: &&Run| simulation.trace.submissions[&run.request].key.as_ref() == Some(key);
            let count = simulation.trace.runs.iter().filter(has_key).count();
            check_bound(count as u64, *bound, "runs")
        }
        Assertion::Last(key, outcome) => check_last_outcome(simulation, key, outcome),
        Assertion::Version(number, by) => check_version(simulation, *number, *by),
        Assertion::Settled(limit) => check_settled(simulation, *limit),
        Assertion::Prompt(limit) => check_prompt(simulation, *limit),
        Assertion::NoCuts => {
            let disconnected = |submission: &&Submission| {
                matches!(submission.outcome, Some((_, Outcome::Disconnected)))
            };
            match simulation.trace.submissions.values().find(disconnected) {
                None => Ok(()),
                Some(submission) => Err(format!(
                    "the connection of {} broke before its answer was complete",
                    submission.request
                )),
            }
        }
        Assertion::Crashes(bound) => check_bound(simulation.trace.crashes, *bound, "crashes"),
    }
}

fn check_bound(count: u64, bound: u64, unit: &str) -> Result<(), String> {
    if count <= bound {
        return Ok(());
    }
    Err(format!("{count} {unit}"))
}

fn check_share(
    simulation: &Simulation,
    percent: u64,
    service: Option<&SmolStr>,
    window: Window,
    matches: impl Fn(&Outcome) -> bool,
) -> Result<(), String> {
    let selected = |submission: &&Submission| {
        service.is_none_or(|service| *service == submission.service)
            && contains(window, submission.sent_at)
    };
    let all: Vec<_> = simulation
        .trace
        .submissions
        .values()
        .filter(selected)
        .collect();
    let count = all
        .iter()
        .filter(|submission| {
            submission
                .outcome
                .as_ref()
                .is_some_and(|(_, outcome)| matches(outcome))
        })
        .count();
    if !all.is_empty() && count as u64 * 100 >= percent * all.len() as u64 {
        return Ok(());
    }
    Err(format!("{count} of {}", all.len()))
}

fn contains(window: Window, at: Duration) -> bool {
    window.from <= at && at <= window.to
}

/// Returns the runs that started at an endpoint or in a zone within a window.
fn runs_at<'a>(
    simulation: &'a Simulation,
    place: &'a SmolStr,
    window: Window,
) -> impl Iterator<Item = &'a Run> {
    simulation.trace.runs.iter().filter(move |run| {
        let at_place = run.endpoint == *place || endpoint_zone(simulation, &run.endpoint) == *place;
        at_place && contains(window, run.at)
    })
}

fn check_last_outcome(
    simulation: &Simulation,
    key: &SmolStr,
    expected: &str,
) -> Result<(), String> {
    let has_key = |submission: &&Submission| submission.key.as_ref() == Some(key);
    let last = simulation
        .trace
        .submissions
        .values()
        .filter(has_key)
        .max_by_key(|submission| submission.sent_at);
    let observed = match last.map(|submission| &submission.outcome) {
        Some(Some((_, Outcome::Answered { .. }))) => "answered",
        Some(Some((_, Outcome::Refused(fault)))) if fault.run() == RunState::No => "not-run",
        Some(Some((_, Outcome::Refused(_) | Outcome::Disconnected))) => "unknown",
        Some(None) => "no outcome",
        None => "never sent",
    };
    if observed == expected {
        return Ok(());
    }
    Err(observed.to_owned())
}

fn check_version(simulation: &Simulation, number: u64, by: Duration) -> Result<(), String> {
    for (name, process) in &simulation.processes {
        if process.state != State::Running {
            continue;
        }
        let applied =
            simulation
                .trace
                .versions
                .iter()
                .any(|(at, process_name, incarnation, version)| {
                    process_name == name
                        && *incarnation == process.incarnation
                        && *version >= number
                        && *at <= by
                });
        if !applied {
            let last = process.config.version().number;
            return Err(format!(
                "{name} did not apply version {number} in time; its last version is {last}"
            ));
        }
    }
    Ok(())
}

fn check_settled(simulation: &Simulation, limit: Duration) -> Result<(), String> {
    let late = |submission: &&Submission| {
        submission
            .outcome
            .as_ref()
            .is_none_or(|(at, _)| *at > submission.sent_at + limit)
    };
    match simulation.trace.submissions.values().find(late) {
        None => Ok(()),
        Some(submission) => Err(format!(
            "{}, sent at {:?}, had no outcome in time",
            submission.request, submission.sent_at
        )),
    }
}

fn check_prompt(simulation: &Simulation, limit: Duration) -> Result<(), String> {
    let late = |submission: &&Submission| {
        matches!(
            &submission.outcome,
            Some((at, Outcome::Refused(_))) if *at > submission.sent_at + limit
        )
    };
    match simulation.trace.submissions.values().find(late) {
        None => Ok(()),
        Some(submission) => Err(format!(
            "{} was refused after {:?}",
            submission.request,
            submission
                .outcome
                .as_ref()
                .map(|(at, _)| *at - submission.sent_at)
        )),
    }
}
