use std::{collections::BTreeMap, time::Duration};

use conf::id;
use fault::Run as Ran;
use smol_str::SmolStr;

use crate::{
    Claim, Window,
    agent::zone_of,
    world::{End, Run, Sent, State, World},
};

/// Returns what did not hold: the invariants of every scenario, and what this one expects.
pub(crate) fn check(world: &World) -> Vec<String> {
    let mut failures = Vec::new();
    failures.extend(own_answers(world));
    failures.extend(honest_refusals(world));
    failures.extend(single_runs(world));
    failures.extend(rising_versions(world));
    for expect in &world.script.expects {
        if let Err(seen) = holds(world, &expect.claim) {
            failures.push(format!("line {}: `{}`: {seen}", expect.line, expect.text));
        }
    }
    failures
}

/// Every answer is whole and the caller's own.
fn own_answers(world: &World) -> Vec<String> {
    let wrong = |sent: &Sent| match &sent.end {
        Some((_, End::Answered { body })) if *body != sent.answer() => Some(format!(
            "{} got `{body}`, not its own whole answer",
            sent.request
        )),
        _ => None,
    };
    world.facts.sent.values().filter_map(wrong).collect()
}

/// What was said not to be run was not run, before or after, and nor was its key before.
fn honest_refusals(world: &World) -> Vec<String> {
    let mut failures = Vec::new();
    for sent in world.facts.sent.values() {
        let Some((at, End::Refused(fault))) = &sent.end else {
            continue;
        };
        if fault.run() != Ran::No {
            continue;
        }
        let ran = world.facts.runs.iter().find(|run| {
            let other = &world.facts.sent[&run.request];
            let same_key = sent.key.is_some() && key(sent) == key(other) && run.at <= *at;
            run.request == sent.request || same_key
        });
        if let Some(run) = ran {
            let Run { endpoint, at, .. } = run;
            failures.push(format!(
                "{} was told `not run` ({fault}), but ran at {endpoint} at {at:?}",
                sent.request
            ));
        }
    }
    failures
}

/// No key runs twice.
fn single_runs(world: &World) -> Vec<String> {
    let mut counts = BTreeMap::new();
    for run in &world.facts.runs {
        let sent = &world.facts.sent[&run.request];
        if sent.key.is_some() {
            *counts.entry(key(sent)).or_insert(0) += 1;
        }
    }
    let twice = counts.into_iter().filter(|(_, count)| *count > 1);
    twice
        .map(|((team, key), count)| format!("key {:?} of {team} ran {count} times", key))
        .collect()
}

/// No process goes back to an older version.
fn rising_versions(world: &World) -> Vec<String> {
    let mut last = BTreeMap::new();
    let mut failures = Vec::new();
    for (at, process, life, number) in &world.facts.versions {
        let before = last.insert((process, life), *number).unwrap_or(0);
        if before > *number {
            failures.push(format!(
                "{process} went from version {before} to {number} at {at:?}"
            ));
        }
    }
    failures
}

fn key(sent: &Sent) -> (&id::Team, Option<&SmolStr>) {
    (&sent.team, sent.key.as_ref())
}

/// Checks one claim; the error says what was seen.
fn holds(world: &World, claim: &Claim) -> Result<(), String> {
    match claim {
        Claim::Answered(share, service, window) => {
            let answered = |end: &End| matches!(end, End::Answered { .. });
            at_least(world, *share, service.as_ref(), *window, answered)
        }
        Claim::Refused(share, service, window) => {
            let refused = |end: &End| matches!(end, End::Refused(_));
            at_least(world, *share, service.as_ref(), *window, refused)
        }
        Claim::NoRuns(place, window) => match runs(world, place, *window).next() {
            None => Ok(()),
            Some(run) => Err(format!(
                "{} ran at {} at {:?}",
                run.request, run.endpoint, run.at
            )),
        },
        Claim::SomeRuns(place, window) => match runs(world, place, *window).next() {
            None => Err("nothing ran".to_owned()),
            Some(_) => Ok(()),
        },
        Claim::Load(endpoint, bound, window) => {
            let loads = runs(world, endpoint, *window).map(|run| run.load);
            within(loads.max().unwrap_or(0), *bound, "requests in flight")
        }
        Claim::Bearable => match world.facts.overloads.first() {
            None => Ok(()),
            Some((at, endpoint)) => Err(format!("{endpoint} got more than it bears at {at:?}")),
        },
        Claim::Runs(text, bound) => {
            let of_key = |run: &&Run| world.facts.sent[&run.request].key.as_ref() == Some(text);
            let count = world.facts.runs.iter().filter(of_key).count();
            within(count as u64, *bound, "runs")
        }
        Claim::Last(text, outcome) => last(world, text, outcome),
        Claim::Version(number, by) => version(world, *number, *by),
        Claim::Settled(time) => settled(world, *time),
        Claim::Prompt(time) => prompt(world, *time),
        Claim::NoCuts => {
            let cut = |sent: &&Sent| matches!(sent.end, Some((_, End::Cut)));
            match world.facts.sent.values().find(cut) {
                None => Ok(()),
                Some(sent) => Err(format!("the answer to {} was cut", sent.request)),
            }
        }
        Claim::Crashes(bound) => within(world.facts.crashes, *bound, "crashes"),
    }
}

fn within(seen: u64, bound: u64, what: &str) -> Result<(), String> {
    if seen <= bound {
        return Ok(());
    }
    Err(format!("{seen} {what}"))
}

fn at_least(
    world: &World,
    share: u64,
    service: Option<&SmolStr>,
    window: Window,
    good: impl Fn(&End) -> bool,
) -> Result<(), String> {
    let asked = |sent: &&Sent| {
        service.is_none_or(|service| *service == sent.service) && inside(sent.at, window)
    };
    let all: Vec<_> = world.facts.sent.values().filter(asked).collect();
    let count = all
        .iter()
        .filter(|sent| sent.end.as_ref().is_some_and(|(_, end)| good(end)))
        .count();
    if !all.is_empty() && count as u64 * 100 >= share * all.len() as u64 {
        return Ok(());
    }
    Err(format!("{count} of {}", all.len()))
}

fn inside(at: Duration, window: Window) -> bool {
    window.from <= at && at <= window.to
}

/// Runs at an endpoint or in a zone within a window.
fn runs<'a>(world: &'a World, place: &'a SmolStr, window: Window) -> impl Iterator<Item = &'a Run> {
    world.facts.runs.iter().filter(move |run| {
        let here = run.endpoint == *place || zone_of(world, &run.endpoint) == *place;
        here && inside(run.at, window)
    })
}

fn last(world: &World, text: &SmolStr, outcome: &str) -> Result<(), String> {
    let with_key = |sent: &&Sent| sent.key.as_ref() == Some(text);
    let last = world
        .facts
        .sent
        .values()
        .filter(with_key)
        .max_by_key(|sent| sent.at);
    let seen = match last.map(|sent| &sent.end) {
        Some(Some((_, End::Answered { .. }))) => "answered",
        Some(Some((_, End::Refused(fault)))) if fault.run() == Ran::No => "not-run",
        Some(Some((_, End::Refused(_) | End::Cut))) => "unknown",
        Some(None) => "no outcome",
        None => "never sent",
    };
    if seen == outcome {
        return Ok(());
    }
    Err(seen.to_owned())
}

fn version(world: &World, number: u64, by: Duration) -> Result<(), String> {
    for (name, process) in &world.processes {
        if process.state != State::Running {
            continue;
        }
        let adopted = world.facts.versions.iter().any(|(at, who, life, seen)| {
            who == name && *life == process.life && *seen >= number && *at <= by
        });
        if !adopted {
            let own = process.fold.version().number;
            return Err(format!(
                "{name} was not there in time; it ends at version {own}"
            ));
        }
    }
    Ok(())
}

fn settled(world: &World, time: Duration) -> Result<(), String> {
    let late = |sent: &&Sent| sent.end.as_ref().is_none_or(|(at, _)| *at > sent.at + time);
    match world.facts.sent.values().find(late) {
        None => Ok(()),
        Some(sent) => Err(format!(
            "{}, sent at {:?}, was not settled",
            sent.request, sent.at
        )),
    }
}

fn prompt(world: &World, time: Duration) -> Result<(), String> {
    let late =
        |sent: &&Sent| matches!(&sent.end, Some((at, End::Refused(_))) if *at > sent.at + time);
    match world.facts.sent.values().find(late) {
        None => Ok(()),
        Some(sent) => Err(format!(
            "{} was refused at {:?}",
            sent.request,
            sent.end.as_ref().map(|(at, _)| *at - sent.at)
        )),
    }
}
