//! Command line of the agent.

use std::process::ExitCode;

use conf::Role;
use node::Command;

fn main() -> ExitCode {
    let command = node::command(
        "apricot-agent",
        "Guards one endpoint: the only giver of work and orders to it",
    );
    match node::settings(command, Role::Agent) {
        Ok(Command::Checked) => ExitCode::SUCCESS,
        Ok(Command::Run(settings)) => node::start(&settings, agent::run),
        Err(e) => node::fail(&e),
    }
}
