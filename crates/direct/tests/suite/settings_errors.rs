use std::io::Write as _;

use direct::Settings;

const VALID: &str = r#"{
  // An entry.
  "name": "entry-a", "zone": "a",
  "listen": {
    "callers": "127.0.0.1:1", "ready": "127.0.0.1:2", "peers": "127.0.0.1:3",
    "gossip": "127.0.0.1:4", "groups": "127.0.0.1:7", "operators": "127.0.0.1:5"
  },
  "store": "127.0.0.1:6",
  "bounds": {
    "retry_ratio": 0.2, "retry_extra": 90, "retry_window": "10s",
    "cold_overshoot": 1.5, "cold_slack": 5, "grace": "8s"
  }
}"#;

fn load(text: &str) -> Result<Settings, String> {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    let name = file.path().display().to_string();
    Settings::load(file.path()).map_err(|e| format!("{e:#}").replace(&name, "entry.json"))
}

#[test]
fn valid_file() {
    let settings = load(VALID).unwrap();
    assert_eq!(settings.bounds.entries, 8);
    assert!(settings.seeds.is_empty());
}

#[test]
fn errors_name_field() {
    let unit = load(&VALID.replace("\"10s\"", "\"10\"")).unwrap_err();
    assert!(
        unit.starts_with("entry.json:10:") && unit.contains("`bounds.retry_window`"),
        "{unit}"
    );
    let address = load(&VALID.replace("127.0.0.1:6", "nowhere")).unwrap_err();
    assert!(
        address.starts_with("entry.json:8:") && address.contains("`store`"),
        "{address}"
    );
    let missing = load(&VALID.replace("\"zone\": \"a\",", "")).unwrap_err();
    assert!(missing.contains("zone"), "{missing}");
    let unknown = load(&VALID.replace("\"zone\"", "\"zones\"")).unwrap_err();
    assert!(unknown.contains("zones"), "{unknown}");
    assert!(Settings::load(std::path::Path::new("/nowhere/entry.json")).is_err());
}
