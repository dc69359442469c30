use std::time::Duration;

use smol_str::SmolStr;
use winnow::{
    Parser, Result,
    ascii::{dec_uint, space1},
    combinator::{alt, opt, preceded, separated, terminated},
    error::ContextError,
    token::take_while,
};

use crate::{Act, Claim, Send, Window};

/// Team of the callers, if the scenario does not say.
pub(crate) const TEAM: &str = "team";

pub(crate) fn act(input: &mut &str) -> Result<Act> {
    alt((
        send.map(Act::Send),
        (key("key", name), option("of", name), option("via", name)).map(|(key, service, entry)| {
            Act::Key {
                key,
                service,
                entry,
            }
        }),
        alt((
            key("kill", name).map(Act::Kill),
            key("start", name).map(Act::Start),
            key("stop", name).map(Act::Stop),
            key("continue", name).map(Act::Continue),
            key("terminate", name).map(Act::Terminate),
            key("leave", name).map(Act::Leave),
        )),
        preceded(("engine", space1), engine),
        alt((
            sides("cut").map(|(a, b)| Act::Cut(a, b)),
            sides("silence").map(|(a, b)| Act::Silence(a, b)),
            (sides("late"), preceded(space1, duration)).map(|((a, b), time)| Act::Late(a, b, time)),
            sides("heal").map(|(a, b)| Act::Heal(a, b)),
        )),
        (
            key("zone", name),
            space1,
            alt(("out".value(true), "in".value(false))),
        )
            .map(|(zone, _, out)| Act::Zone(zone, out)),
        "publish".value(Act::Publish),
        preceded(
            ("platform", space1),
            alt((
                "down".value(Act::PlatformDown),
                "stale".value(Act::PlatformStale),
                "up".value(Act::PlatformUp),
            )),
        ),
    ))
    .parse_next(input)
}

pub(crate) fn engine(input: &mut &str) -> Result<Act> {
    let endpoint = terminated(name, space1).parse_next(input)?;
    let of = |make: fn(SmolStr) -> Act| make(endpoint.clone());
    alt((
        "down".value(of(Act::EngineDown)),
        "up".value(of(Act::EngineUp)),
        "restart".value(of(Act::EngineRestart)),
        "stall".value(of(Act::EngineStall)),
        "cross".value(of(Act::EngineCross)),
        key("takes", duration).map(|time| Act::EngineTakes(endpoint.clone(), time)),
    ))
    .parse_next(input)
}

pub(crate) fn send(input: &mut &str) -> Result<Send> {
    let (count, service, entries) = (
        preceded(("send", space1), opt(terminated(dec_uint, space1))),
        name,
        option("via", separated(1.., name, ",")),
    )
        .parse_next(input)?;
    let (team, key, every, poison) = (
        opt(option("by", name)),
        opt(option("key", name)),
        opt(option("every", duration)),
        flag("poison"),
    )
        .parse_next(input)?;
    Ok(Send {
        count: count.unwrap_or(1),
        service,
        entries,
        team: team.unwrap_or_else(|| TEAM.into()),
        key,
        every: every.unwrap_or_default(),
        poison,
    })
}

pub(crate) fn claim(input: &mut &str) -> Result<Claim> {
    alt((
        (key("answered", percent), opt(option("of", name)), window)
            .map(|(share, service, window)| Claim::Answered(share, service, window)),
        (key("refused", percent), opt(option("of", name)), window)
            .map(|(share, service, window)| Claim::Refused(share, service, window)),
        (key("no-runs", name), window).map(|(place, window)| Claim::NoRuns(place, window)),
        (key("some-runs", name), window).map(|(place, window)| Claim::SomeRuns(place, window)),
        (key("load", name), preceded(space1, dec_uint), window)
            .map(|(endpoint, bound, window)| Claim::Load(endpoint, bound, window)),
        rare_claim,
    ))
    .parse_next(input)
}

pub(crate) fn rare_claim(input: &mut &str) -> Result<Claim> {
    alt((
        "bearable".value(Claim::Bearable),
        (key("runs", name), preceded(space1, dec_uint)).map(|(key, n)| Claim::Runs(key, n)),
        (
            key("last", name),
            preceded(space1, alt(("answered", "not-run", "unknown"))),
        )
            .map(|(key, outcome): (_, &str)| Claim::Last(key, outcome.into())),
        (key("version", dec_uint), option("by", duration)).map(|(n, by)| Claim::Version(n, by)),
        preceded("settled", option("within", duration)).map(Claim::Settled),
        preceded("prompt", option("within", duration)).map(Claim::Prompt),
        "no-cuts".value(Claim::NoCuts),
        key("crashes", dec_uint).map(Claim::Crashes),
    ))
    .parse_next(input)
}

pub(crate) fn window(input: &mut &str) -> Result<Window> {
    let pair = opt((option("from", duration), option("to", duration))).parse_next(input)?;
    let (from, to) = pair.unwrap_or((Duration::ZERO, Duration::MAX));
    Ok(Window { from, to })
}

/// Parses a word and the value after it.
pub(crate) fn key<'a, T>(
    word: &'static str,
    value: impl Parser<&'a str, T, ContextError>,
) -> impl Parser<&'a str, T, ContextError> {
    preceded((word, space1), value)
}

/// Parses a space, a word and the value after it.
pub(crate) fn option<'a, T>(
    word: &'static str,
    value: impl Parser<&'a str, T, ContextError>,
) -> impl Parser<&'a str, T, ContextError> {
    preceded((space1, word, space1), value)
}

pub(crate) fn flag<'a>(word: &'static str) -> impl Parser<&'a str, bool, ContextError> {
    opt((space1, word)).map(|found| found.is_some())
}

pub(crate) fn sides<'a>(
    word: &'static str,
) -> impl Parser<&'a str, (SmolStr, SmolStr), ContextError> {
    (key(word, name), preceded(space1, name))
}

pub(crate) fn name(input: &mut &str) -> Result<SmolStr> {
    take_while(1.., ('a'..='z', '0'..='9', '-'))
        .map(SmolStr::new)
        .parse_next(input)
}

pub(crate) fn tail<'a>(input: &mut &'a str) -> Result<&'a str> {
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
