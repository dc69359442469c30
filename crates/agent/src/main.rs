//! Runs an agent.

use std::process::ExitCode;

use conf::Role;
use node::Action;

fn main() -> ExitCode {
    let command = node::command(
        "apricot-agent",
        "Guards one endpoint: the only giver of work and orders to it",
    );
    match node::read_settings(command, Role::Agent) {
        Ok(Action::Checked) => ExitCode::SUCCESS,
        Ok(Action::Run(settings)) => node::run(&settings, agent::run),
        Err(e) => node::report_error(&e),
    }
}
