use std::{fs, path::PathBuf, process::ExitCode};

use anyhow::Context as _;
use clap::{Arg, ArgMatches, Command, value_parser};
use wire::Authority;

pub(crate) fn command() -> Command {
    Command::new("keys")
        .about("Generates a certificate authority and certificates for testing")
        .arg(
            Arg::new("folder")
                .long("folder")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("Folder for the files; created if it does not exist"),
        )
        .arg(
            Arg::new("process")
                .value_name("PROCESS")
                .num_args(1..)
                .required(true)
                .help("Names of the processes, as in their setting `name`"),
        )
}

/// Generates and writes `ca.pem`, and `NAME.pem` and `NAME.key` for each process.
///
/// # Errors
///
/// Returns an error if a key cannot be generated, or one that names the file that cannot be written.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let folder = matches
        .get_one::<PathBuf>("folder")
        .cloned()
        .unwrap_or_default();
    fs::create_dir_all(&folder).with_context(|| folder.display().to_string())?;
    let authority = Authority::new()?;
    let write = |name: String, text: &str| {
        let path = folder.join(name);
        fs::write(&path, text).with_context(|| path.display().to_string())
    };
    write("ca.pem".to_owned(), authority.certificate())?;
    for name in matches.get_many::<String>("process").into_iter().flatten() {
        let certificate = authority.issue(name)?;
        write(format!("{name}.pem"), &certificate.certificate)?;
        write(format!("{name}.key"), &certificate.key)?;
    }
    Ok(ExitCode::SUCCESS)
}
