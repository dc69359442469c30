//! Command line of the entry.

use std::process::ExitCode;

use conf::Role;
use node::Action;

fn main() -> ExitCode {
    let command = node::command(
        "apricot-entry",
        "Accepts clients' requests and routes each of them to an endpoint",
    );
    match node::read_settings(command, Role::Entry) {
        Ok(Action::Checked) => ExitCode::SUCCESS,
        Ok(Action::Run(settings)) => node::run(&settings, entry::run),
        Err(e) => node::report_error(&e),
    }
}
