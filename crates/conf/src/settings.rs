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

/// Role of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Accepts requests from clients and routes them to endpoints.
    Entry,
    /// Runs beside one endpoint and admits requests to it.
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

/// Settings of one process, read from its settings file.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the process, unique in the fleet.
    pub name: id::Process,
    /// Availability zone of the VM that the process runs on.
    pub zone: id::Zone,
    /// Addresses that the process listens on.
    pub listen: Listen,
    /// Addresses of the platform's configuration service.
    pub platform: Vec<SocketAddr>,
    /// Certificate files for the connections between processes.
    pub identity: Identity,
    /// Addresses of processes to connect to first, besides those that the platform lists.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Address of the engine or plain service beside an agent.
    #[serde(default)]
    pub engine: Option<SocketAddr>,
    /// Endpoint that an agent serves.
    #[serde(default)]
    pub endpoint: Option<id::Endpoint>,
    /// Time between two heartbeats on a connection to another process.
    #[serde(default = "default_heartbeat")]
    #[serde_as(as = "unit::Span")]
    pub heartbeat: Duration,
    /// Memory and descriptors of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Number of worker threads; the number of cores decides if absent.
    #[serde(default)]
    pub workers: Option<usize>,
    /// Logging settings.
    #[serde(default)]
    pub log: Log,
}

const fn default_heartbeat() -> Duration {
    Duration::from_millis(500)
}

/// Memory of the smallest VM of an entry, in bytes.
const DEFAULT_MEMORY: u64 = 112_000_000;

/// Memory and descriptors that a process may use.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Memory in bytes; the process is killed if it uses more.
    #[serde_as(as = "unit::Size")]
    pub memory: u64,
    /// Number of descriptors; the limit of the operating system applies as well.
    pub descriptors: Option<u64>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory: DEFAULT_MEMORY,
            descriptors: None,
        }
    }
}

/// Addresses that a process listens on.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP address for clients; entries only.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// QUIC address for other processes.
    pub peers: SocketAddr,
    /// HTTP address for operators, with health, metrics and status.
    pub operators: SocketAddr,
}

/// Paths of the PEM files with the process's certificate and key.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Certificate of the operators' certificate authority.
    pub authority: PathBuf,
    /// Certificate of the process, signed by that authority.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
}

/// Logging settings.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Least severe level that is logged.
    pub level: Level,
    /// Levels by module path, such as `node::link`, which override `level`.
    pub modules: BTreeMap<SmolStr, Level>,
    /// Format of the lines.
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

/// Severity of a log line, the most severe first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// A failure that is not retried.
    Error,
    /// A failure that is retried.
    Warn,
    /// A change of state.
    Info,
    /// Details for debugging.
    Debug,
    /// All details.
    Trace,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

impl Settings {
    /// Reads the settings file of a process with the given role and validates it.
    ///
    /// Relative paths in the file are resolved against its folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or an [`Error`] that locates the first invalid
    /// field.
    pub fn load(path: &Path, role: Role) -> anyhow::Result<Self> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).with_context(|| format!("{file}: cannot be read"))?;
        let mut settings: Self = json::parse(&file, &text)?;
        settings.check(&file, &text)?;
        settings.check_role(role, &file, &text)?;
        settings.resolve_paths(path.parent().unwrap_or(Path::new(".")));
        Ok(settings)
    }

    /// Resolves relative paths against a folder.
    fn resolve_paths(&mut self, folder: &Path) {
        let identity = &mut self.identity;
        for path in [
            &mut identity.authority,
            &mut identity.certificate,
            &mut identity.key,
        ] {
            *path = folder.join(&path);
        }
    }

    /// Checks rules that the types do not express: no empty name, zero or duplicate address.
    fn check(&self, file: &str, text: &str) -> Result<(), Error> {
        if self.name.is_empty() {
            return Err(field_error(
                file,
                text,
                "name",
                "the name is empty; give a name that is unique in the fleet",
            ));
        }
        if self.heartbeat.is_zero() {
            return Err(field_error(
                file,
                text,
                "heartbeat",
                "the time is zero; give at least \"100ms\"",
            ));
        }
        if self.workers == Some(0) {
            return Err(field_error(
                file,
                text,
                "workers",
                "there are no workers; give at least 1, or leave the field out",
            ));
        }
        self.check_addresses(file, text)
    }

    /// Checks that the fields that the role requires are present.
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
        let (field, remedy) = missing;
        Err(field_error(
            file,
            text,
            field,
            &format!("the field is missing, and an {role} needs it; add {remedy}"),
        ))
    }

    fn check_addresses(&self, file: &str, text: &str) -> Result<(), Error> {
        let mut fields = BTreeMap::new();
        let callers = self.listen.callers.map(|address| ("callers", address));
        let operators = [("operators", self.listen.operators)];
        for (field, address) in callers.into_iter().chain(operators) {
            if address.port() == 0 {
                continue;
            }
            if let Some(other) = fields.insert(address, field) {
                let message = format!("{address} is taken by `listen.{other}`; give another port");
                return Err(field_error(
                    file,
                    text,
                    &format!("listen.{field}"),
                    &message,
                ));
            }
        }
        Ok(())
    }
}

/// Returns an error located at the first occurrence of `field` or, if absent, of its parent field.
fn field_error(file: &str, text: &str, field: &str, message: &str) -> Error {
    let location = field.rsplit('.').find_map(|part| find_key(text, part));
    let (line, column) = location.unwrap_or((1, 1));
    Error {
        file: file.to_owned(),
        line,
        column,
        field: field.to_owned(),
        message: message.to_owned(),
    }
}

/// Returns line and column of the first occurrence of a key, counted from 1.
fn find_key(text: &str, key: &str) -> Option<(usize, usize)> {
    let quoted = format!("\"{key}\"");
    let mut lines = text.lines().enumerate();
    lines.find_map(|(i, line)| line.find(&quoted).map(|column| (i + 1, column + 1)))
}
