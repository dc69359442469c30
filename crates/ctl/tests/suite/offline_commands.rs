use std::fs;

use tempfile::TempDir;

const DOCUMENT: &str = r#"{
  "schema": 1, // comments are allowed
  "zones": { "a": { "region": "r" }, "b": { "region": "r" } },
  "services": { "s": { "kind": "plain", "routes": [{ "path": "/v1", "repeatable": true }] } },
  "endpoints": {
    "e": { "zone": "a", "service": "s", "agent": "127.0.0.1:1", "limit": { "cold": 1, "full": 4 } }
  },
  "teams": { "t": { "keys": [] } }
}"#;

/// Runs a command line on files in a temporary folder; returns the exit code, text and JSON of its report.
async fn run(files: &[(&str, &str)], line: &str) -> String {
    let folder = TempDir::new().unwrap();
    for (name, text) in files {
        fs::write(folder.path().join(name), text).unwrap();
    }
    let resolve = |word: &str| match files.iter().any(|(name, _)| *name == word) {
        true => folder.path().join(word).display().to_string(),
        false => word.to_owned(),
    };
    let words = line.split(' ').map(resolve);
    let matches = ctl::command().try_get_matches_from(words).unwrap();
    match ctl::report(&matches).await {
        Ok(report) => format!(
            "> {line}\n{:?}\n{}\n{}\n",
            report.code, report.text, report.json
        ),
        Err(e) => {
            let text = format!("{e:#}").replace(&folder.path().display().to_string(), ".");
            format!("> {line}\nerror: {text}\n")
        }
    }
}

#[tokio::test]
async fn checks_and_differences() {
    let out = DOCUMENT.replace(
        "\"b\": { \"region\": \"r\" }",
        "\"b\": { \"region\": \"r\", \"state\": \"out\" }",
    );
    let moved = out
        .replace("\"t\":", "\"u\":")
        .replace("\"full\": 4", "\"full\": 5");
    let files = [
        ("d.json", DOCUMENT),
        ("new.json", moved.as_str()),
        ("broken.json", "{ \"schema\": 1 }"),
        ("out.json", r#"{ "zones": { "b": { "state": "out" } } }"#),
        (
            "bad.json",
            r#"{ "endpoints": { "e": { "zone": "c", "limit": { "cold": 5 } } } }"#,
        ),
        ("late.json", r#"{ "base": 3, "patch": {} }"#),
    ];
    let mut all = Vec::new();
    for line in [
        "ctl check d.json",
        "ctl check broken.json",
        "ctl check missing.json",
        "ctl check d.json out.json",
        "ctl check d.json bad.json",
        "ctl check d.json late.json --version 3",
        "ctl check d.json late.json --version 4",
        "ctl diff d.json d.json",
        "ctl diff d.json new.json",
    ] {
        all.push(run(&files, line).await);
    }
    insta::assert_snapshot!(all.join("\n"));
}

#[tokio::test]
async fn verdicts_of_log() {
    let document: serde_json::Value = conf::parse("d", DOCUMENT).unwrap();
    let records = [
        serde_json::json!({ "number": 1, "document": document }),
        serde_json::json!({ "base": 1, "patch": { "teams": { "t": { "weight": 2 } } } }),
        serde_json::json!({ "base": 1, "patch": { "teams": { "t": { "weight": 3 } } } }),
        serde_json::json!({ "base": 2, "patch": { "zones": { "a": null } } }),
    ];
    let log: Vec<_> = records.iter().map(ToString::to_string).collect();
    let log = log.join("\n");
    let files = [("log", log.as_str())];
    let mut all = Vec::new();
    for line in [
        "ctl verdict --log log",
        "ctl verdict --log log --position 2",
        "ctl verdict --log log --position 3",
        "ctl verdict --log log --position 9",
    ] {
        all.push(run(&files, line).await);
    }
    insta::assert_snapshot!(all.join("\n"));
}
