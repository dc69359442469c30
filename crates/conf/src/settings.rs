use std::{
    collections::BTreeMap,
    fmt, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use anyhow::Context as _;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use smol_str::SmolStr;

use crate::{Error, id, json, unit};

/// Says what a process does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Guards one endpoint.
    Agent,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Role::Entry => "entry",
            Role::Agent => "agent",
        })
    }
}

/// Holds the settings of one process: where it stands, listens and reads.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the process, unique in the fleet.
    pub name: id::Process,
    /// Availability zone of the VM.
    pub zone: id::Zone,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses of the platform's configuration service.
    pub platform: Vec<SocketAddr>,
    /// Certificates for the links between processes.
    pub identity: Identity,
    /// Addresses of processes to ask first, besides those that the platform lists.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Address of the engine or plain service beside an agent.
    #[serde(default)]
    pub engine: Option<SocketAddr>,
    /// Endpoint that an agent serves.
    #[serde(default)]
    pub endpoint: Option<id::Endpoint>,
    /// Time between two heartbeats on a link.
    #[serde(default = "default_heartbeat")]
    #[serde_as(as = "unit::Span")]
    pub heartbeat: Duration,
    /// Worker threads, chosen by the number of cores if absent.
    #[serde(default)]
    pub workers: Option<usize>,
    /// How to log.
    #[serde(default)]
    pub log: Log,
}

const fn default_heartbeat() -> Duration {
    Duration::from_millis(500)
}

/// Holds the addresses that a process listens on.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers; entries only.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// QUIC for other processes of the system.
    pub peers: SocketAddr,
    /// HTTP for operators: health, metrics and status.
    pub operators: SocketAddr,
}

/// Names the files with the process's certificate, in PEM.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Certificate of the operators' authority.
    pub authority: PathBuf,
    /// Certificate of the process.
    pub certificate: PathBuf,
    /// Private key of the process.
    pub key: PathBuf,
}

/// Says how to log.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Least important level that is logged.
    pub level: Level,
    /// Levels of single modules, such as `node::link`.
    pub modules: BTreeMap<SmolStr, Level>,
    /// Shape of a line.
    pub format: Format,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: Level::Info,
            modules: BTreeMap::new(),
            format: Format::Text,
        }
    }
}

/// Importance of a log line, the most important first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Something failed for good.
    Error,
    /// Something failed and is tried again.
    Warn,
    /// A change of state.
    Info,
    /// What a developer looks for.
    Debug,
    /// Everything.
    Trace,
}

/// Shape of a log line.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// One line for people.
    Text,
    /// One JSON object a line.
    Json,
}

impl Settings {
    /// Reads and checks a file for a role; relative paths in the file are taken from the file's own folder.
    ///
    /// # Errors
    ///
    /// Returns file, line and field of the first mistake.
    pub fn load(path: &Path, role: Role) -> anyhow::Result<Self> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).with_context(|| format!("{file}: cannot be read"))?;
        let mut settings: Self = json::parse(&file, &text)?;
        settings.check(&file, &text)?;
        settings.check_role(role, &file, &text)?;
        settings.resolve(path.parent().unwrap_or(Path::new(".")));
        Ok(settings)
    }

    /// Makes relative paths start at `base`.
    fn resolve(&mut self, base: &Path) {
        let identity = &mut self.identity;
        for path in [
            &mut identity.authority,
            &mut identity.certificate,
            &mut identity.key,
        ] {
            *path = base.join(&path);
        }
    }

    /// Checks what the types cannot: empty names and addresses that clash.
    fn check(&self, file: &str, text: &str) -> Result<(), Error> {
        if self.name.is_empty() {
            return Err(mistake(
                file,
                text,
                "name",
                "the name is empty; give a name that is unique in the fleet",
            ));
        }
        if self.heartbeat.is_zero() {
            return Err(mistake(
                file,
                text,
                "heartbeat",
                "the time is zero; give at least \"100ms\"",
            ));
        }
        if self.workers == Some(0) {
            return Err(mistake(
                file,
                text,
                "workers",
                "there are no workers; give at least 1, or leave the field out",
            ));
        }
        self.check_clash(file, text)
    }

    /// Checks that the fields are there that the role needs.
    fn check_role(&self, role: Role, file: &str, text: &str) -> Result<(), Error> {
        let missing = match role {
            Role::Entry if self.listen.callers.is_none() => {
                ("listen.callers", "an address such as \"127.0.0.1:8080\"")
            }
            Role::Agent if self.endpoint.is_none() => {
                ("endpoint", "the name of the endpoint that it serves")
            }
            Role::Agent if self.engine.is_none() => {
                ("engine", "the address of the engine or service beside it")
            }
            Role::Entry | Role::Agent => return Ok(()),
        };
        let (field, mend) = missing;
        Err(mistake(
            file,
            text,
            field,
            &format!("the field is missing, and an {role} needs it; add {mend}"),
        ))
    }

    fn check_clash(&self, file: &str, text: &str) -> Result<(), Error> {
        let mut seen = BTreeMap::new();
        let callers = self.listen.callers.map(|address| ("callers", address));
        let both = [("operators", self.listen.operators)];
        for (field, address) in callers.into_iter().chain(both) {
            if address.port() == 0 {
                continue;
            }
            if let Some(other) = seen.insert(address, field) {
                let message = format!("{address} is taken by `listen.{other}`; give another port");
                return Err(mistake(file, text, &format!("listen.{field}"), &message));
            }
        }
        Ok(())
    }
}

/// Makes an error that points at the line where `field` is first written, or else the field around it.
fn mistake(file: &str, text: &str, field: &str, message: &str) -> Error {
    let place = field.rsplit('.').find_map(|part| find(text, part));
    let (line, column) = place.unwrap_or((1, 1));
    Error {
        file: file.to_owned(),
        line,
        column,
        field: field.to_owned(),
        message: message.to_owned(),
    }
}

/// Returns line and column of a key, counted from 1.
fn find(text: &str, key: &str) -> Option<(usize, usize)> {
    let quoted = format!("\"{key}\"");
    let mut lines = text.lines().enumerate();
    lines.find_map(|(i, line)| line.find(&quoted).map(|column| (i + 1, column + 1)))
}
