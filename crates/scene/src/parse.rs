use std::{collections::BTreeMap, error, fmt, time::Duration};

use conf::{
    Document, Endpoint, Limit, Policy, Priority, Route, SCHEMA, Service, ServiceKind, Team, Zone,
    ZoneState,
};
use smol_str::SmolStr;
use winnow::{
    Parser,
    ascii::{dec_uint, space0, space1},
    combinator::{eof, opt, preceded, terminated},
    error::ContextError,
};

use crate::{
    Assertion, Engine, Expectation, Script, Step,
    grammar::{DEFAULT_TEAM, assertion, clause, duration, flag, keyword, name, remainder, step},
};

/// Time from the last step to the end of a scenario without an `end` line.
const TRAILING_TIME: Duration = Duration::from_secs(10);
/// Time that an engine needs for a request if its `endpoint` line has no `takes`.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);

/// Syntax error or unknown name in a scenario file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// Name of the file, as passed to [`parse`].
    pub file: String,
    /// Line in the file, from 1.
    pub line: usize,
    /// Description of the error and of the valid input.
    pub message: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl error::Error for Error {}

/// Keyword that a statement begins with, and the syntax of the statement.
type Syntax = (&'static str, &'static str);

/// Syntax of lines.
const LINES: &[Syntax] = &[
    ("seed", "seed NUMBER"),
    ("zone", "zone NAME"),
    ("entry", "entry NAME in ZONE"),
    ("service", "service NAME [once]"),
    (
        "endpoint",
        "endpoint NAME in ZONE runs SERVICE [cold N] [full N] [takes TIME]",
    ),
    ("team", "team NAME [weight N] [rate N]"),
    (
        "policy",
        "policy deadline|queue-time|retry-horizon|stall|warm-up TIME, or policy records|retry-percent N",
    ),
    ("end", "end TIME"),
    ("at", "at TIME STEP"),
    ("expect", "expect ASSERTION"),
];

/// Syntax of the steps in `at` lines.
const STEPS: &[Syntax] = &[
    (
        "send",
        "send [N] SERVICE via ENTRY[,ENTRY..] [by TEAM] [key KEY] [every TIME] [poison]",
    ),
    ("key", "key KEY of SERVICE via ENTRY"),
    ("kill", "kill PROCESS"),
    ("start", "start PROCESS"),
    ("stop", "stop PROCESS"),
    ("continue", "continue PROCESS"),
    ("terminate", "terminate PROCESS"),
    (
        "engine",
        "engine ENDPOINT down|up|restart|stall|cross, or engine ENDPOINT takes TIME",
    ),
    ("cut", "cut SIDE SIDE"),
    ("silence", "silence SIDE SIDE"),
    ("late", "late SIDE SIDE TIME"),
    ("heal", "heal SIDE SIDE"),
    ("zone", "zone ZONE out|in"),
    ("leave", "leave ENDPOINT"),
    ("publish", "publish"),
    ("platform", "platform down|stale|up"),
];

/// Syntax of the assertions in `expect` lines.
const ASSERTIONS: &[Syntax] = &[
    ("answered", "answered N% [of SERVICE] [from TIME to TIME]"),
    ("refused", "refused N% [of SERVICE] [from TIME to TIME]"),
    ("no-runs", "no-runs PLACE [from TIME to TIME]"),
    ("some-runs", "some-runs PLACE [from TIME to TIME]"),
    ("load", "load ENDPOINT N [from TIME to TIME]"),
    ("bearable", "bearable"),
    ("runs", "runs KEY N"),
    ("last", "last KEY answered|not-run|unknown"),
    ("version", "version N by TIME"),
    ("settled", "settled within TIME"),
    ("prompt", "prompt within TIME"),
    ("no-cuts", "no-cuts"),
    ("crashes", "crashes N"),
];

/// Parses a scenario.
///
/// # Errors
///
/// Returns the line of the first syntax error or unknown name, with a description.
pub fn parse(file: &str, text: &str) -> Result<Script, Error> {
    let mut script = empty_script();
    for (index, raw_line) in text.lines().enumerate() {
        let line = raw_line.split('#').next().unwrap_or_default().trim();
        if line.is_empty() {
            continue;
        }
        parse_line(&mut script, index + 1, line).map_err(|message| Error {
            file: file.to_owned(),
            line: index + 1,
            message,
        })?;
    }
    if script.end.is_zero() {
        script.end = script
            .steps
            .iter()
            .map(|(at, _)| *at)
            .max()
            .unwrap_or_default()
            + TRAILING_TIME;
    }
    Ok(script)
}

fn empty_script() -> Script {
    let team = Team {
        keys: Vec::new(),
        weight: 1,
        rate: None,
    };
    Script {
        seed: 1,
        document: Document {
            schema: SCHEMA,
            zones: BTreeMap::new(),
            services: BTreeMap::new(),
            groups: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            teams: [(DEFAULT_TEAM.into(), team)].into(),
            policy: Policy::default(),
        },
        entries: BTreeMap::new(),
        engines: BTreeMap::new(),
        steps: Vec::new(),
        expectations: Vec::new(),
        end: Duration::ZERO,
    }
}

/// Returns the syntax of the statement that begins with the first word of a line.
fn find_usage(syntaxes: &[Syntax], line: &str) -> Result<&'static str, String> {
    let first = line.split_whitespace().next().unwrap_or_default();
    let known = syntaxes.iter().find(|(word, _)| *word == first);
    known.map(|(_, usage)| *usage).ok_or_else(|| {
        let words: Vec<_> = syntaxes.iter().map(|(word, _)| *word).collect();
        format!(
            "unknown keyword `{first}`; expected one of: {}",
            words.join(", ")
        )
    })
}

/// Parses a complete text; an error contains the unparsed rest and the expected syntax.
fn parse_all<'a, T>(
    usage: &str,
    line: &'a str,
    parser: impl Parser<&'a str, T, ContextError>,
) -> Result<T, String> {
    terminated(parser, (space0, eof))
        .parse(line)
        .map_err(|error| {
            let rest = &line[error.offset()..];
            format!("cannot parse `{rest}`; expected: {usage}")
        })
}

fn parse_line(script: &mut Script, number: usize, line: &str) -> Result<(), String> {
    let usage = find_usage(LINES, line)?;
    if let Some(rest) = line.strip_prefix("at ") {
        let (at, rest) = parse_all(usage, rest, (duration, preceded(space1, remainder)))?;
        let step = parse_all(find_usage(STEPS, rest)?, rest, step)?;
        check_step(script, &step)?;
        script.steps.push((at, step));
        return Ok(());
    }
    if let Some(rest) = line.strip_prefix("expect ") {
        let assertion = parse_all(find_usage(ASSERTIONS, rest)?, rest, assertion)?;
        check_assertion(script, &assertion)?;
        script.expectations.push(Expectation {
            line: number,
            text: line.to_owned(),
            assertion,
        });
        return Ok(());
    }
    parse_declaration(script, usage, line)
}

fn parse_declaration(script: &mut Script, usage: &str, line: &str) -> Result<(), String> {
    let word = line.split_whitespace().next().unwrap_or_default();
    match word {
        "seed" => script.seed = parse_all(usage, line, keyword("seed", dec_uint))?,
        "end" => script.end = parse_all(usage, line, keyword("end", duration))?,
        "zone" => {
            let name = parse_all(usage, line, keyword("zone", name))?;
            let zone = Zone {
                region: "r".into(),
                state: ZoneState::In,
            };
            script.document.zones.insert(name, zone);
        }
        "entry" => {
            let (name, zone) =
                parse_all(usage, line, (keyword("entry", name), clause("in", name)))?;
            check_declared(&script.document.zones, "zone", &zone)?;
            script.entries.insert(name, zone);
        }
        "service" => {
            let (name, at_most_once) =
                parse_all(usage, line, (keyword("service", name), flag("once")))?;
            let service = new_service(&name, at_most_once);
            script.document.services.insert(name, service);
        }
        "team" => {
            let parser = (
                keyword("team", name),
                opt(clause("weight", dec_uint)),
                opt(clause("rate", dec_uint)),
            );
            let (name, weight, rate) = parse_all(usage, line, parser)?;
            let team = Team {
                keys: Vec::new(),
                weight: weight.unwrap_or(1),
                rate,
            };
            script.document.teams.insert(name, team);
        }
        "policy" => parse_policy(&mut script.document.policy, usage, line)?,
        _ => parse_endpoint(script, usage, line)?,
    }
    Ok(())
}

fn new_service(name: &str, at_most_once: bool) -> Service {
    Service {
        kind: if at_most_once {
            ServiceKind::Plain
        } else {
            ServiceKind::Group
        },
        routes: vec![Route {
            method: None,
            path: format!("/{name}").into(),
            repeatable: !at_most_once,
            priority: if at_most_once {
                Priority::High
            } else {
                Priority::Normal
            },
        }],
    }
}

fn parse_endpoint(script: &mut Script, usage: &str, line: &str) -> Result<(), String> {
    let parser = (
        keyword("endpoint", name),
        clause("in", name),
        clause("runs", name),
        opt(clause("cold", dec_uint)),
        opt(clause("full", dec_uint)),
        opt(clause("takes", duration)),
    );
    let (name, zone, service, cold, full, run_time) = parse_all(usage, line, parser)?;
    check_declared(&script.document.zones, "zone", &zone)?;
    check_declared(&script.document.services, "service", &service)?;
    let port = u16::try_from(script.document.endpoints.len() + 1).unwrap_or(u16::MAX);
    let endpoint = Endpoint {
        zone,
        service,
        agent: ([127, 0, 0, 1], port).into(),
        group: None,
        ranks: Vec::new(),
        leaving: false,
        limit: Limit {
            cold: cold.unwrap_or(2),
            full: full.unwrap_or(8),
        },
    };
    script.document.endpoints.insert(name.clone(), endpoint);
    let run_time = run_time.unwrap_or(DEFAULT_RUN_TIME);
    script.engines.insert(name, Engine { run_time });
    Ok(())
}

fn parse_policy(policy: &mut Policy, usage: &str, line: &str) -> Result<(), String> {
    let (field, value) = parse_all(
        usage,
        line,
        (keyword("policy", name), preceded(space1, remainder)),
    )?;
    match field.as_str() {
        "deadline" => policy.deadline = parse_all(usage, value, duration)?,
        "queue-time" => policy.queue_time = parse_all(usage, value, duration)?,
        "retry-horizon" => policy.retry_horizon = parse_all(usage, value, duration)?,
        "stall" => policy.stall = parse_all(usage, value, duration)?,
        "warm-up" => policy.warm_up = parse_all(usage, value, duration)?,
        "records" => policy.records = parse_all(usage, value, dec_uint)?,
        "retry-percent" => policy.retry_percent = parse_all(usage, value, dec_uint)?,
        other => return Err(format!("unknown policy `{other}`; expected: {usage}")),
    }
    Ok(())
}

fn check_declared<T>(
    table: &BTreeMap<SmolStr, T>,
    kind: &str,
    name: &SmolStr,
) -> Result<(), String> {
    if table.contains_key(name) {
        return Ok(());
    }
    let names: Vec<_> = table.keys().map(SmolStr::as_str).collect();
    Err(format!(
        "unknown {kind} `{name}`; declare it on an earlier line or use one of: {}",
        names.join(", ")
    ))
}

/// Checks that a name is that of a declared process or zone, or `platform`.
fn check_side(script: &Script, name: &SmolStr) -> Result<(), String> {
    let is_platform = name == "platform";
    if is_platform || script.entries.contains_key(name) || script.document.zones.contains_key(name)
    {
        return Ok(());
    }
    check_declared(&script.engines, "entry, endpoint or zone", name)
}

fn check_step(script: &Script, step: &Step) -> Result<(), String> {
    match step {
        Step::Send(batch) => {
            check_declared(&script.document.services, "service", &batch.service)?;
            check_declared(&script.document.teams, "team", &batch.team)?;
            batch
                .entries
                .iter()
                .try_for_each(|entry| check_declared(&script.entries, "entry", entry))
        }
        Step::IssueKey { service, entry, .. } => {
            check_declared(&script.document.services, "service", service)?;
            check_declared(&script.entries, "entry", entry)
        }
        Step::Kill(name)
        | Step::Start(name)
        | Step::Stop(name)
        | Step::Continue(name)
        | Step::Terminate(name) => check_side(script, name),
        Step::EngineDown(name)
        | Step::EngineUp(name)
        | Step::EngineRestart(name)
        | Step::EngineStall(name)
        | Step::EngineRunTime(name, _)
        | Step::EngineCross(name)
        | Step::Leave(name) => check_declared(&script.engines, "endpoint", name),
        Step::Cut(a, b) | Step::Silence(a, b) | Step::Heal(a, b) | Step::Delay(a, b, _) => {
            check_side(script, a)?;
            check_side(script, b)
        }
        Step::Zone(zone, _) => check_declared(&script.document.zones, "zone", zone),
        Step::Publish | Step::PlatformDown | Step::PlatformStale | Step::PlatformUp => Ok(()),
    }
}

fn check_assertion(script: &Script, assertion: &Assertion) -> Result<(), String> {
    match assertion {
        Assertion::Answered(_, Some(service), _) | Assertion::Refused(_, Some(service), _) => {
            check_declared(&script.document.services, "service", service)
        }
        Assertion::NoRuns(place, _) | Assertion::SomeRuns(place, _) => check_side(script, place),
        Assertion::Load(endpoint, ..) => check_declared(&script.engines, "endpoint", endpoint),
        _ => Ok(()),
    }
}
