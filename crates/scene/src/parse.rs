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
    Act, Claim, Engine, Expect, Script,
    grammar::{TEAM, act, claim, duration, flag, key, name, option, tail},
};

/// Time after the last act at which a scenario ends, if it does not say.
const TAIL: Duration = Duration::from_secs(10);
/// Time that an engine takes, if the scenario does not say.
const TAKES: Duration = Duration::from_millis(100);

/// Locates a mistake in a scenario and says how to mend it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// Name of the file.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// What is wrong, and how to mend it.
    pub message: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl error::Error for Error {}

/// A form of line: its first words, and how it is written.
type Form = (&'static str, &'static str);

/// Forms of lines that declare.
const FORMS: &[Form] = &[
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
    ("at", "at TIME ACT"),
    ("expect", "expect CLAIM"),
];

/// Forms of acts.
const ACTS: &[Form] = &[
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

/// Forms of claims.
const CLAIMS: &[Form] = &[
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
/// Returns the place of the first mistake and how to mend it.
pub fn parse(file: &str, text: &str) -> Result<Script, Error> {
    let mut script = empty();
    for (index, raw) in text.lines().enumerate() {
        let line = raw.split('#').next().unwrap_or_default().trim();
        if line.is_empty() {
            continue;
        }
        read(&mut script, index + 1, line).map_err(|message| Error {
            file: file.to_owned(),
            line: index + 1,
            message,
        })?;
    }
    if script.end.is_zero() {
        script.end = script
            .acts
            .iter()
            .map(|(at, _)| *at)
            .max()
            .unwrap_or_default()
            + TAIL;
    }
    Ok(script)
}

fn empty() -> Script {
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
            teams: [(TEAM.into(), team)].into(),
            policy: Policy::default(),
        },
        entries: BTreeMap::new(),
        engines: BTreeMap::new(),
        acts: Vec::new(),
        expects: Vec::new(),
        end: Duration::ZERO,
    }
}

/// Finds the form of a line by its first word.
fn form(forms: &[Form], line: &str) -> Result<&'static str, String> {
    let first = line.split_whitespace().next().unwrap_or_default();
    let known = forms.iter().find(|(word, _)| *word == first);
    known.map(|(_, usage)| *usage).ok_or_else(|| {
        let words: Vec<_> = forms.iter().map(|(word, _)| *word).collect();
        format!(
            "`{first}` is not known here; write one of: {}",
            words.join(", ")
        )
    })
}

/// Parses a whole line, or says how it is written.
fn whole<'a, T>(
    usage: &str,
    line: &'a str,
    parser: impl Parser<&'a str, T, ContextError>,
) -> Result<T, String> {
    terminated(parser, (space0, eof)).parse(line).map_err(|e| {
        let rest = &line[e.offset()..];
        format!("cannot read `{rest}`; write: {usage}")
    })
}

fn read(script: &mut Script, number: usize, line: &str) -> Result<(), String> {
    let usage = form(FORMS, line)?;
    if let Some(rest) = line.strip_prefix("at ") {
        let (at, rest) = whole(usage, rest, (duration, preceded(space1, tail)))?;
        let act = whole(form(ACTS, rest)?, rest, act)?;
        check_act(script, &act)?;
        script.acts.push((at, act));
        return Ok(());
    }
    if let Some(rest) = line.strip_prefix("expect ") {
        let claim = whole(form(CLAIMS, rest)?, rest, claim)?;
        check_claim(script, &claim)?;
        script.expects.push(Expect {
            line: number,
            text: line.to_owned(),
            claim,
        });
        return Ok(());
    }
    declare(script, usage, line)
}

fn declare(script: &mut Script, usage: &str, line: &str) -> Result<(), String> {
    let word = line.split_whitespace().next().unwrap_or_default();
    match word {
        "seed" => script.seed = whole(usage, line, key("seed", dec_uint))?,
        "end" => script.end = whole(usage, line, key("end", duration))?,
        "zone" => {
            let name = whole(usage, line, key("zone", name))?;
            let zone = Zone {
                region: "r".into(),
                state: ZoneState::In,
            };
            script.document.zones.insert(name, zone);
        }
        "entry" => {
            let (name, zone) = whole(usage, line, (key("entry", name), option("in", name)))?;
            known(&script.document.zones, "zone", &zone)?;
            script.entries.insert(name, zone);
        }
        "service" => {
            let (name, once) = whole(usage, line, (key("service", name), flag("once")))?;
            let service = service(&name, once);
            script.document.services.insert(name, service);
        }
        "team" => {
            let parser = (
                key("team", name),
                opt(option("weight", dec_uint)),
                opt(option("rate", dec_uint)),
            );
            let (name, weight, rate) = whole(usage, line, parser)?;
            let team = Team {
                keys: Vec::new(),
                weight: weight.unwrap_or(1),
                rate,
            };
            script.document.teams.insert(name, team);
        }
        "policy" => policy(&mut script.document.policy, usage, line)?,
        _ => endpoint(script, usage, line)?,
    }
    Ok(())
}

fn service(name: &str, once: bool) -> Service {
    Service {
        kind: if once {
            ServiceKind::Plain
        } else {
            ServiceKind::Group
        },
        routes: vec![Route {
            method: None,
            path: format!("/{name}").into(),
            repeatable: !once,
            priority: if once {
                Priority::High
            } else {
                Priority::Normal
            },
        }],
    }
}

fn endpoint(script: &mut Script, usage: &str, line: &str) -> Result<(), String> {
    let parser = (
        key("endpoint", name),
        option("in", name),
        option("runs", name),
        opt(option("cold", dec_uint)),
        opt(option("full", dec_uint)),
        opt(option("takes", duration)),
    );
    let (name, zone, service, cold, full, takes) = whole(usage, line, parser)?;
    known(&script.document.zones, "zone", &zone)?;
    known(&script.document.services, "service", &service)?;
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
    let takes = takes.unwrap_or(TAKES);
    script.engines.insert(name, Engine { takes });
    Ok(())
}

fn policy(policy: &mut Policy, usage: &str, line: &str) -> Result<(), String> {
    let (field, value) = whole(usage, line, (key("policy", name), preceded(space1, tail)))?;
    match field.as_str() {
        "deadline" => policy.deadline = whole(usage, value, duration)?,
        "queue-time" => policy.queue_time = whole(usage, value, duration)?,
        "retry-horizon" => policy.retry_horizon = whole(usage, value, duration)?,
        "stall" => policy.stall = whole(usage, value, duration)?,
        "warm-up" => policy.warm_up = whole(usage, value, duration)?,
        "records" => policy.records = whole(usage, value, dec_uint)?,
        "retry-percent" => policy.retry_percent = whole(usage, value, dec_uint)?,
        other => return Err(format!("no policy `{other}`; write: {usage}")),
    }
    Ok(())
}

fn known<T>(table: &BTreeMap<SmolStr, T>, what: &str, name: &SmolStr) -> Result<(), String> {
    if table.contains_key(name) {
        return Ok(());
    }
    let names: Vec<_> = table.keys().map(SmolStr::as_str).collect();
    Err(format!(
        "no {what} `{name}` is declared above; declare it, or write one of: {}",
        names.join(", ")
    ))
}

/// Checks a name that may stand for a process, a zone, or the platform.
fn known_side(script: &Script, name: &SmolStr) -> Result<(), String> {
    let platform = name == "platform";
    if platform || script.entries.contains_key(name) || script.document.zones.contains_key(name) {
        return Ok(());
    }
    known(&script.engines, "entry, endpoint or zone", name)
}

fn check_act(script: &Script, act: &Act) -> Result<(), String> {
    match act {
        Act::Send(send) => {
            known(&script.document.services, "service", &send.service)?;
            known(&script.document.teams, "team", &send.team)?;
            send.entries
                .iter()
                .try_for_each(|entry| known(&script.entries, "entry", entry))
        }
        Act::Key { service, entry, .. } => {
            known(&script.document.services, "service", service)?;
            known(&script.entries, "entry", entry)
        }
        Act::Kill(name)
        | Act::Start(name)
        | Act::Stop(name)
        | Act::Continue(name)
        | Act::Terminate(name) => known_side(script, name),
        Act::EngineDown(name)
        | Act::EngineUp(name)
        | Act::EngineRestart(name)
        | Act::EngineStall(name)
        | Act::EngineTakes(name, _)
        | Act::EngineCross(name)
        | Act::Leave(name) => known(&script.engines, "endpoint", name),
        Act::Cut(a, b) | Act::Silence(a, b) | Act::Heal(a, b) | Act::Late(a, b, _) => {
            known_side(script, a)?;
            known_side(script, b)
        }
        Act::Zone(zone, _) => known(&script.document.zones, "zone", zone),
        Act::Publish | Act::PlatformDown | Act::PlatformStale | Act::PlatformUp => Ok(()),
    }
}

fn check_claim(script: &Script, claim: &Claim) -> Result<(), String> {
    match claim {
        Claim::Answered(_, Some(service), _) | Claim::Refused(_, Some(service), _) => {
            known(&script.document.services, "service", service)
        }
        Claim::NoRuns(place, _) | Claim::SomeRuns(place, _) => known_side(script, place),
        Claim::Load(endpoint, ..) => known(&script.engines, "endpoint", endpoint),
        _ => Ok(()),
    }
}
