use std::time::Duration;

use smol_str::SmolStr;
use winnow::{
    Parser, Result,
    ascii::{dec_uint, space1},
    combinator::{alt, opt, preceded, separated, terminated},
    error::ContextError,
    token::take_while,
};

use crate::{Assertion, Batch, Step, Window};

/// Team of the clients in a `send` step without `by`.
pub(crate) const DEFAULT_TEAM: &str = "team";

pub(crate) fn step(input: &mut &str) -> Result<Step> {
    alt((
        batch.map(Step::Send),
        (
            keyword("key", name),
            clause("of", name),
            clause("via", name),
        )
            .map(|(name, service, entry)| Step::IssueKey {
                name,
                service,
                entry,
            }),
        alt((
            keyword("kill", name).map(Step::Kill),
            keyword("start", name).map(Step::Start),
            keyword("stop", name).map(Step::Stop),
            keyword("continue", name).map(Step::Continue),
            keyword("terminate", name).map(Step::Terminate),
            keyword("leave", name).map(Step::Leave),
        )),
        preceded(("engine", space1), engine_step),
        alt((
            side_pair("cut").map(|(a, b)| Step::Cut(a, b)),
            side_pair("silence").map(|(a, b)| Step::Silence(a, b)),
            (side_pair("late"), preceded(space1, duration))
                .map(|((a, b), time)| Step::Delay(a, b, time)),
            side_pair("heal").map(|(a, b)| Step::Heal(a, b)),
        )),
        (
            keyword("zone", name),
            space1,
            alt(("out".value(true), "in".value(false))),
        )
            .map(|(zone, _, out)| Step::Zone(zone, out)),
        "publish".value(Step::Publish),
        preceded(
            ("platform", space1),
            alt((
                "down".value(Step::PlatformDown),
                "stale".value(Step::PlatformStale),
                "up".value(Step::PlatformUp),
            )),
        ),
    ))
    .parse_next(input)
}

pub(crate) fn engine_step(input: &mut &str) -> Result<Step> {
    let endpoint = terminated(name, space1).parse_next(input)?;
    let at_endpoint = |variant: fn(SmolStr) -> Step| variant(endpoint.clone());
    alt((
        "down".value(at_endpoint(Step::EngineDown)),
        "up".value(at_endpoint(Step::EngineUp)),
        "restart".value(at_endpoint(Step::EngineRestart)),
        "stall".value(at_endpoint(Step::EngineStall)),
        "cross".value(at_endpoint(Step::EngineCross)),
        keyword("takes", duration).map(|time| Step::EngineRunTime(endpoint.clone(), time)),
    ))
    .parse_next(input)
}

pub(crate) fn batch(input: &mut &str) -> Result<Batch> {
    let (count, service, entries) = (
        preceded(("send", space1), opt(terminated(dec_uint, space1))),
        name,
        clause("via", separated(1.., name, ",")),
    )
        .parse_next(input)?;
    let (team, key, interval, poison) = (
        opt(clause("by", name)),
        opt(clause("key", name)),
        opt(clause("every", duration)),
        flag("poison"),
    )
        .parse_next(input)?;
    Ok(Batch {
        count: count.unwrap_or(1),
        service,
        entries,
        team: team.unwrap_or_else(|| DEFAULT_TEAM.into()),
        key,
        interval: interval.unwrap_or_default(),
        poison,
    })
}

pub(crate) fn assertion(input: &mut &str) -> Result<Assertion> {
    alt((
        (
            keyword("answered", percent),
            opt(clause("of", name)),
            window,
        )
            .map(|(percent, service, window)| Assertion::Answered(percent, service, window)),
        (keyword("refused", percent), opt(clause("of", name)), window)
            .map(|(percent, service, window)| Assertion::Refused(percent, service, window)),
        (keyword("no-runs", name), window).map(|(place, window)| Assertion::NoRuns(place, window)),
        (keyword("some-runs", name), window)
            .map(|(place, window)| Assertion::SomeRuns(place, window)),
        (keyword("load", name), preceded(space1, dec_uint), window)
            .map(|(endpoint, bound, window)| Assertion::Load(endpoint, bound, window)),
        other_assertion,
    ))
    .parse_next(input)
}

pub(crate) fn other_assertion(input: &mut &str) -> Result<Assertion> {
    alt((
        "bearable".value(Assertion::NoOverload),
        (keyword("runs", name), preceded(space1, dec_uint))
            .map(|(key, bound)| Assertion::Runs(key, bound)),
        (
            keyword("last", name),
            preceded(space1, alt(("answered", "not-run", "unknown"))),
        )
            .map(|(key, outcome): (_, &str)| Assertion::Last(key, outcome.into())),
        (keyword("version", dec_uint), clause("by", duration))
            .map(|(number, by)| Assertion::Version(number, by)),
        preceded("settled", clause("within", duration)).map(Assertion::Settled),
        preceded("prompt", clause("within", duration)).map(Assertion::Prompt),
        "no-cuts".value(Assertion::NoCuts),
        keyword("crashes", dec_uint).map(Assertion::Crashes),
    ))
    .parse_next(input)
}

pub(crate) fn window(input: &mut &str) -> Result<Window> {
    let pair = opt((clause("from", duration), clause("to", duration))).parse_next(input)?;
    let (from, to) = pair.unwrap_or((Duration::ZERO, Duration::MAX));
    Ok(Window { from, to })
}

/// Parses a word, spaces and a value.
pub(crate) fn keyword<'a, T>(
    word: &'static str,
    value: impl Parser<&'a str, T, ContextError>,
) -> impl Parser<&'a str, T, ContextError> {
    preceded((word, space1), value)
}

/// Parses spaces, then a word, spaces and a value.
pub(crate) fn clause<'a, T>(
    word: &'static str,
    value: impl Parser<&'a str, T, ContextError>,
) -> impl Parser<&'a str, T, ContextError> {
    preceded((space1, word, space1), value)
}

pub(crate) fn flag<'a>(word: &'static str) -> impl Parser<&'a str, bool, ContextError> {
    opt((space1, word)).map(|found| found.is_some())
}

pub(crate) fn side_pair<'a>(
    word: &'static str,
) -> impl Parser<&'a str, (SmolStr, SmolStr), ContextError> {
    (keyword(word, name), preceded(space1, name))
}

pub(crate) fn name(input: &mut &str) -> Result<SmolStr> {
    take_while(1.., ('a'..='z', '0'..='9', '-'))
        .map(SmolStr::new)
        .parse_next(input)
}

pub(crate) fn remainder<'a>(input: &mut &'a str) -> Result<&'a str> {
    take_while(1.., |_| true).parse_next(input)
}

pub(crate) fn percent(input: &mut &str) -> Result<u64> {
    terminated(dec_uint, "%").parse_next(input)
}

pub(crate) fn duration(input: &mut &str) -> Result<Duration> {
    take_while(1.., |c: char| c.is_ascii_alphanumeric())
        .try_map(|text: &str| humantime::parse_duration(text))
        .parse_next(input)
}
