use std::{collections::BTreeMap, time::Duration};

use conf::{Document, id};
use smol_str::SmolStr;

/// Scenario: processes and configuration, timed steps, and expected results.
///
/// All times are counted from the start of the scenario.
#[derive(Clone, Debug)]
pub struct Script {
    /// Seed of the random generator for message delays, tick offsets and issued keys.
    pub seed: u64,
    /// First version of the configuration, published before the scenario starts.
    pub document: Document,
    /// Availability zone of each entry.
    pub entries: BTreeMap<id::Process, id::Zone>,
    /// Initial behaviour of the engine of each endpoint.
    pub engines: BTreeMap<id::Endpoint, Engine>,
    /// Steps and the times at which they occur, in the order of the file.
    pub steps: Vec<(Duration, Step)>,
    /// Conditions that are checked after the end, in the order of the file.
    pub expectations: Vec<Expectation>,
    /// Time at which the scenario ends.
    pub end: Duration,
}

/// Behaviour of an endpoint's engine.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Time that the engine needs for one request, whatever its load.
    pub run_time: Duration,
}

/// Action or fault that occurs at a given time.
///
/// A side of a link is a process, a zone with all its processes, or `platform`.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Clients send requests.
    Send(Batch),
    /// An entry issues an idempotency key, which later requests refer to by a name.
    IssueKey {
        /// Name of the key within the scenario.
        name: SmolStr,
        /// Service that the key is valid for.
        service: SmolStr,
        /// Entry that issues the key.
        entry: SmolStr,
    },
    /// A process is killed, without a shutdown.
    Kill(SmolStr),
    /// A process starts as a new incarnation, without any state of an earlier one.
    Start(SmolStr),
    /// A process is paused, as by SIGSTOP.
    Stop(SmolStr),
    /// A paused process resumes, as by SIGCONT.
    Continue(SmolStr),
    /// A process begins a graceful shutdown, as on SIGTERM.
    Terminate(SmolStr),
    /// The engine of an endpoint goes down, which interrupts its requests.
    EngineDown(SmolStr),
    /// The engine of an endpoint comes up, cold.
    EngineUp(SmolStr),
    /// The engine of an endpoint restarts at once, cold, which interrupts its requests.
    EngineRestart(SmolStr),
    /// The engine of an endpoint makes no progress until [`Step::EngineRunTime`].
    EngineStall(SmolStr),
    /// The engine of an endpoint is no longer stalled and needs this time for each new request.
    EngineRunTime(SmolStr, Duration),
    /// The engine of an endpoint also sends part of each answer to its agent's other requests.
    EngineCross(SmolStr),
    /// Messages sent between two sides are lost.
    Cut(SmolStr, SmolStr),
    /// Messages sent on the open connections between two sides are lost; new connections work.
    Silence(SmolStr, SmolStr),
    /// Messages sent between two sides take this much longer.
    Delay(SmolStr, SmolStr, Duration),
    /// [`Step::Cut`] and [`Step::Delay`] between the same two sides, in the same order, end.
    Heal(SmolStr, SmolStr),
    /// A new version of the configuration takes a zone out (`true`) or puts it back in (`false`).
    Zone(SmolStr, bool),
    /// A new version of the configuration marks an endpoint as leaving.
    Leave(SmolStr),
    /// The configuration is published again unchanged, as a new version.
    Publish,
    /// The platform stops answering.
    PlatformDown,
    /// The platform goes on answering, without any version that is published later.
    PlatformStale,
    /// The platform answers with all published versions.
    PlatformUp,
}

/// Requests that clients send at a constant interval.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Number of requests.
    pub count: u32,
    /// Service that the requests are for.
    pub service: SmolStr,
    /// Entries that receive the requests in turn.
    pub entries: Vec<SmolStr>,
    /// Team of the clients.
    pub team: SmolStr,
    /// Idempotency key: the name of an issued key, or else the text of a key chosen by the client.
    ///
    /// A service whose requests may be repeated ignores it.
    pub key: Option<SmolStr>,
    /// Time between two requests.
    pub interval: Duration,
    /// Whether the requests crash each engine that runs them.
    pub poison: bool,
}

/// Condition of a scenario and its place in the file.
#[derive(Clone, Debug)]
pub struct Expectation {
    /// Line in the file, from 1.
    pub line: usize,
    /// Line as written, without comment and outer spaces.
    pub text: String,
    /// Condition that the line states.
    pub assertion: Assertion,
}

/// Span of time that includes both of its ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// First time in the window.
    pub from: Duration,
    /// Last time in the window.
    pub to: Duration,
}

/// Condition on the trace of a scenario.
///
/// A place is the name of an endpoint or a zone.
#[derive(Clone, Debug, PartialEq)]
pub enum Assertion {
    /// At least this percentage of the requests in a window, of one service or of all, is answered.
    Answered(u64, Option<SmolStr>, Window),
    /// At least this percentage of the requests in a window, of one service or of all, is refused.
    Refused(u64, Option<SmolStr>, Window),
    /// No run starts at a place in a window.
    NoRuns(SmolStr, Window),
    /// At least one run starts at a place in a window.
    SomeRuns(SmolStr, Window),
    /// No run that starts at an endpoint in a window makes more than this many in flight there.
    Load(SmolStr, u64, Window),
    /// No engine gets more requests in flight than its capacity.
    NoOverload,
    /// Requests with a key are run at most this many times in total.
    Runs(SmolStr, u64),
    /// The last request with a key has this outcome: `answered`, `not-run` or `unknown`.
    Last(SmolStr, SmolStr),
    /// Each process that runs at the end has applied at least this version by a time.
    Version(u64, Duration),
    /// Each request has an outcome at most this long after it was sent.
    Settled(Duration),
    /// Each refusal comes at most this long after its request was sent.
    Prompt(Duration),
    /// No client's connection breaks before the answer is complete.
    NoCuts,
    /// At most this many crashes of engines are caused by requests.
    Crashes(u64),
}
