use std::{collections::BTreeMap, time::Duration};

use conf::{Document, id};
use smol_str::SmolStr;

/// Scenario: who exists, what happens when, and what must hold.
#[derive(Clone, Debug)]
pub struct Script {
    /// Seed of all random choices.
    pub seed: u64,
    /// Configuration that is published first.
    pub document: Document,
    /// Availability zone of each entry.
    pub entries: BTreeMap<id::Process, id::Zone>,
    /// Behaviour of the engine of each endpoint.
    pub engines: BTreeMap<id::Endpoint, Engine>,
    /// What happens, in the order of the file.
    pub acts: Vec<(Duration, Act)>,
    /// What must hold.
    pub expects: Vec<Expect>,
    /// Time at which the scenario ends.
    pub end: Duration,
}

/// Behaviour of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Time that one request takes.
    pub takes: Duration,
}

/// One thing that happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Callers send requests.
    Send(Send),
    /// An entry issues a key, for sends that name it.
    Key {
        /// Name of the key.
        key: SmolStr,
        /// Service that it is for.
        service: SmolStr,
        /// The entry.
        entry: SmolStr,
    },
    /// A process ends at once.
    Kill(SmolStr),
    /// A process starts with nothing but its settings.
    Start(SmolStr),
    /// A process is paused.
    Stop(SmolStr),
    /// A paused process wakes up.
    Continue(SmolStr),
    /// A process is asked to shut down.
    Terminate(SmolStr),
    /// An engine ends.
    EngineDown(SmolStr),
    /// An engine starts, cold.
    EngineUp(SmolStr),
    /// An engine ends and starts again at once, cold, without any notice.
    EngineRestart(SmolStr),
    /// An engine makes no progress until it is told how long it takes.
    EngineStall(SmolStr),
    /// An engine takes this long from now on.
    EngineTakes(SmolStr, Duration),
    /// An engine's next messages also go to every other caller that it serves.
    EngineCross(SmolStr),
    /// Nothing passes between two sides.
    Cut(SmolStr, SmolStr),
    /// Open connections between two sides go silent; new ones work.
    Silence(SmolStr, SmolStr),
    /// Messages between two sides take this much longer from now on.
    Late(SmolStr, SmolStr, Duration),
    /// Everything passes between two sides again.
    Heal(SmolStr, SmolStr),
    /// A zone is taken out or brought back, by a new version.
    Zone(SmolStr, bool),
    /// An endpoint is marked as leaving, by a new version.
    Leave(SmolStr),
    /// The document is published again, as a new version.
    Publish,
    /// The platform answers nobody.
    PlatformDown,
    /// The platform answers with what it knows at this moment, whatever comes later.
    PlatformStale,
    /// The platform answers with all that was published.
    PlatformUp,
}

/// Requests that callers send.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// Number of requests.
    pub count: u32,
    /// Service that is asked for.
    pub service: SmolStr,
    /// Entries that get the requests, one after the other.
    pub entries: Vec<SmolStr>,
    /// Team of the callers.
    pub team: SmolStr,
    /// Idempotency key: an issued one if an entry issued it before, else the caller's own.
    pub key: Option<SmolStr>,
    /// Time between two requests.
    pub every: Duration,
    /// Whether the requests crash the engine that runs them.
    pub poison: bool,
}

/// Something that must hold, and where the file says so.
#[derive(Clone, Debug)]
pub struct Expect {
    /// Line of the file.
    pub line: usize,
    /// Text of the line.
    pub text: String,
    /// What must hold.
    pub claim: Claim,
}

/// Stretch of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Start.
    pub from: Duration,
    /// End.
    pub to: Duration,
}

/// What must hold.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// Of the requests sent in a window, at least this share got its whole answer.
    Answered(u64, Option<SmolStr>, Window),
    /// Of the requests sent in a window, at least this share was refused.
    Refused(u64, Option<SmolStr>, Window),
    /// No run starts at an endpoint or in a zone.
    NoRuns(SmolStr, Window),
    /// Some run starts at an endpoint or in a zone.
    SomeRuns(SmolStr, Window),
    /// The requests in flight at an endpoint's engine stay within a bound.
    Load(SmolStr, u64, Window),
    /// No engine gets more than it can bear.
    Bearable,
    /// The runs under a key stay within a bound.
    Runs(SmolStr, u64),
    /// The last request with a key had this outcome: `answered`, `not-run` or `unknown`.
    Last(SmolStr, SmolStr),
    /// A version is in force at every running process by a time.
    Version(u64, Duration),
    /// Every request has its outcome at most this long after it was sent.
    Settled(Duration),
    /// Every refusal comes at most this long after the request was sent.
    Prompt(Duration),
    /// No answer was cut.
    NoCuts,
    /// Engine crashes stay within a bound.
    Crashes(u64),
}
