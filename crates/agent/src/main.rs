//! Command line of the agent.

use std::process::ExitCode;

use conf::Role;
use node::Action;

fn main() -> ExitCode {
    let command = node::command(
        "apricot-agent",
        "Runs next to one endpoint; the only process that sends it requests and orders",
    );
    match node::read_settings(command, Role::Agent) {
        Ok(Action::Checked) => ExitCode::SUCCESS,
        Ok(Action::Run(settings)) => node::run(&settings, agent::run),
        Err(e) => node::report_error(&e),
    }
}
