use std::{fs, path::Path};

use conf::{Role, Settings};

const VALID: &str = r#"{
  // An entry.
  "name": "entry-a-1",
  "zone": "a",
  "listen": {
    "callers": "127.0.0.1:8080",
    "peers": "127.0.0.1:7000",
    "operators": "127.0.0.1:9000"
  },
  "platform": ["127.0.0.1:6000"],
  "identity": { "authority": "ca.pem", "certificate": "n.pem", "key": "n.key" },
  "heartbeat": "250ms"
}"#;

fn load_settings(text: &str) -> Result<Settings, String> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("s.json");
    fs::write(&path, text).unwrap();
    Settings::load(&path, Role::Entry)
        .map_err(|e| format!("{e:#}").replace(&folder.path().display().to_string(), "DIR"))
}

fn error(from: &str, to: &str) -> String {
    assert!(VALID.contains(from));
    load_settings(&VALID.replace(from, to)).expect_err("the settings are invalid")
}

#[test]
fn valid_settings() {
    let settings = load_settings(VALID).unwrap();
    assert_eq!(settings.heartbeat.as_millis(), 250);
    assert!(
        settings.identity.key.ends_with("n.key") && settings.identity.key != Path::new("n.key")
    );
}

#[test]
fn unknown_field() {
    insta::assert_snapshot!(error("\"zone\"", "\"zones\""));
}

#[test]
fn wrong_unit() {
    insta::assert_snapshot!(error("250ms", "250 parsecs"));
}

#[test]
fn missing_unit() {
    insta::assert_snapshot!(error("\"250ms\"", "250"));
}

#[test]
fn missing_key() {
    insta::assert_snapshot!(error(", \"key\": \"n.key\"", ""));
}

#[test]
fn address_clash() {
    insta::assert_snapshot!(error("127.0.0.1:9000", "127.0.0.1:8080"));
}

#[test]
fn missing_for_role() {
    insta::assert_snapshot!(error("\"callers\": \"127.0.0.1:8080\",", ""));
}

#[test]
fn broken_syntax() {
    insta::assert_snapshot!(error("\"zone\": \"a\",", "\"zone\": \"a\""));
}

#[test]
fn open_comment() {
    insta::assert_snapshot!(error("// An entry.", "/* An entry."));
}

#[test]
fn missing_file() {
    insta::assert_snapshot!(format!(
        "{:#}",
        Settings::load(Path::new("absent.json"), Role::Entry).unwrap_err()
    ));
}
