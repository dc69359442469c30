use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use anyhow::Context as _;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use smol_str::SmolStr;

use crate::{Error, diagnose, id, unit};

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
    /// Level, or a comma-separated list of `module=level`.
    pub level: SmolStr,
    /// Shape of a line.
    pub format: Format,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: SmolStr::new_static("info"),
            format: Format::Text,
        }
    }
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
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns file, line and field of the first mistake; relative paths in the file are taken
    /// from the file's own directory.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).with_context(|| format!("{file}: cannot be read"))?;
        let mut settings: Self = diagnose::parse(&file, &text)?;
        settings.check(&file, &text)?;
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

/// Makes an error that points at the line where the last part of `field` is first written.
fn mistake(file: &str, text: &str, field: &str, message: &str) -> Error {
    let last = field.rsplit('.').next().unwrap_or(field);
    let name = format!("\"{last}\"");
    let found = text
        .lines()
        .enumerate()
        .find_map(|(i, line)| line.find(&name).map(|c| (i + 1, c + 1)));
    let (line, column) = found.unwrap_or((1, 1));
    Error {
        file: file.to_owned(),
        line,
        column,
        field: field.to_owned(),
        message: message.to_owned(),
    }
}
