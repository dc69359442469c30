//! Command line of the agent.

use std::process::ExitCode;

use conf::Role;
use node::Command;

fn main() -> ExitCode {
    let command = node::command(
        "apricot-agent",
        "Runs next to one endpoint; the only process that sends it requests and orders",
    );
    match node::settings(command, Role::Agent) {
        Ok(Command::Checked) => ExitCode::SUCCESS,
        Ok(Command::Run(settings)) => node::start(&settings, agent::run),
        Err(e) => node::fail(&e),
    }
}
