use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, value_parser};
use conf::{Role, Settings};
use serde::{Deserialize, Serialize};
use tokio::runtime::{self, Runtime};

/// Exit code for invalid arguments or settings.
const INVALID_SETTINGS: u8 = 2;

/// Addresses that a process listens on, printed as one line of JSON on standard output.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Addresses {
    /// HTTP for clients; entries only.
    pub callers: Option<SocketAddr>,
    /// QUIC for other processes.
    pub peers: SocketAddr,
    /// HTTP for operators.
    pub operators: SocketAddr,
}

/// Action that the command line requests.
pub enum Action {
    /// Runs the process with these settings.
    Run(Box<Settings>),
    /// Nothing is left to do: the settings were checked and are valid.
    Checked,
}

/// Returns the command line that entry and agent have in common.
#[must_use]
pub fn command(name: &'static str, about: &'static str) -> clap::Command {
    clap::Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .about(about)
        .after_help(
            "Exit codes:\n  0  shut down gracefully\n  1  failed while running\n  2  invalid arguments or settings\n  3  aborted by SIGINT during the shutdown",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("Settings of the process, in JSON with comments"),
        )
        .arg(Arg::new("check").long("check").action(ArgAction::SetTrue).help("Check the settings and exit"))
}

/// Parses the arguments of the process and loads the settings file that they name.
///
/// # Errors
///
/// Returns an error with file, line and field of the first mistake in the settings.
pub fn read_settings(command: clap::Command, role: Role) -> anyhow::Result<Action> {
    let matches = command.get_matches();
    let path = matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default();
    let settings = Settings::load(&path, role)?;
    if matches.get_flag("check") {
        return Ok(Action::Checked);
    }
    Ok(Action::Run(Box::new(settings)))
}

/// Prints an error to standard error and returns the exit code for invalid arguments or settings.
#[must_use]
pub fn report_error(error: &anyhow::Error) -> ExitCode {
    eprintln!("error: {error:#}");
    ExitCode::from(INVALID_SETTINGS)
}

/// Starts the log, runs a role to its end on a new runtime and returns the exit code.
#[must_use]
pub fn run<F>(settings: &Settings, role: fn(Settings) -> F) -> ExitCode
where
    F: Future<Output = anyhow::Result<()>>,
{
    let _logger = match event::start_log(&settings.log) {
        Ok(logger) => logger,
        Err(e) => return report_error(&e.into()),
    };
    match runtime(settings).and_then(|runtime| runtime.block_on(role(settings.clone()))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e:#}");
            ExitCode::FAILURE
        }
    }
}

fn runtime(settings: &Settings) -> anyhow::Result<Runtime> {
    let mut builder = runtime::Builder::new_multi_thread();
    if let Some(workers) = settings.workers {
        builder.worker_threads(workers);
    }
    Ok(builder.enable_all().build()?)
}

impl Addresses {
    /// Prints the addresses to standard output, which signals that the process accepts connections.
    pub fn print(&self) {
        if let Ok(line) = serde_json::to_string(self) {
            println!("{line}");
        }
    }
}
