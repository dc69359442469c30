use std::{fs, process::Command};

use fake::program_path;

/// Runs a program; returns its exit code, standard output and standard error.
fn run_program(name: &str, arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(program_path(name).unwrap())
        .args(arguments)
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

/// Runs an entry with `--check` on these settings; returns its exit code and standard error, with the
/// directory of the settings replaced by `DIR`.
fn check_settings(settings: &str) -> (Option<i32>, String) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("s.json");
    fs::write(&path, settings).unwrap();
    let (code, _, error) = run_program(
        "apricot-entry",
        &["--settings", path.to_str().unwrap(), "--check"],
    );
    (
        code,
        error.replace(directory.path().to_str().unwrap(), "DIR"),
    )
}

/// Valid settings of an entry.
const VALID_SETTINGS: &str = r#"{
  "name": "entry-a-1", "zone": "a",
  "listen": { "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0" },
  "platform": [], // none yet
  "identity": { "authority": "ca.pem", "certificate": "n.pem", "key": "n.key" }
}"#;

#[test]
fn help_output() {
    for name in ["apricot-entry", "apricot-agent", "apricot-ctl"] {
        let (code, help, _) = run_program(name, &["--help"]);
        assert_eq!(code, Some(0));
        insta::assert_snapshot!(format!("{name}_help"), help);
    }
}

#[test]
fn version_printed() {
    let (code, version, _) = run_program("apricot-agent", &["--version"]);
    assert_eq!(
        (code, version.trim()),
        (
            Some(0),
            concat!("apricot-agent ", env!("CARGO_PKG_VERSION"))
        )
    );
}

#[test]
fn check_passes() {
    assert_eq!(check_settings(VALID_SETTINGS), (Some(0), String::new()));
}

#[test]
fn check_fails() {
    let (code, error) = check_settings(&VALID_SETTINGS.replace("\"zone\"", "\"zome\""));
    assert_eq!(code, Some(2));
    assert!(error.starts_with("error: DIR/s.json:2:"), "{error}");
}

#[test]
fn bad_certificate() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("s.json");
    fs::write(&path, VALID_SETTINGS).unwrap();
    fs::write(directory.path().join("ca.pem"), "no certificate").unwrap();
    let (code, output, error) =
        run_program("apricot-entry", &["--settings", path.to_str().unwrap()]);
    assert_eq!((code, output.as_str()), (Some(1), ""));
    assert!(error.contains("ca.pem: holds no certificate"), "{error}");
}

#[test]
fn unknown_level() {
    let (code, error) =
        check_settings(&VALID_SETTINGS.replacen('{', "{\n  \"log\": { \"level\": \"loud\" },", 1));
    assert_eq!(code, Some(2));
    assert!(
        error.starts_with("error: DIR/s.json:2:26: field `log.level`: unknown variant `loud`"),
        "{error}"
    );
}
