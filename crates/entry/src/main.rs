//! Command line of the entry.

use std::process::ExitCode;

use conf::Role;
use node::Command;

fn main() -> ExitCode {
    let command = node::command(
        "apricot-entry",
        "Accepts callers' requests and routes each of them to an endpoint",
    );
    match node::settings(command, Role::Entry) {
        Ok(Command::Checked) => ExitCode::SUCCESS,
        Ok(Command::Run(settings)) => node::start(&settings, entry::run),
        Err(e) => node::fail(&e),
    }
}
