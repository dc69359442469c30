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

/// Guards against a valid document whose entries have no effect being accepted without a word.
#[tokio::test]
async fn warnings_of_document() {
    let routes = r#"{ "path": "/v1", "repeatable": true }"#;
    let with_routes = |more: &str| DOCUMENT.replace(routes, &format!("{routes}{more}"));
    let with_policy = |policy: &str| DOCUMENT.replacen('{', &format!("{{\"policy\":{policy},"), 1);
    let group = r#""groups": { "g": { "service": "s", "ranks": 1, "layers": 1, "experts": 1, "slots": 1 } },"#;
    let cases = [
        (with_routes(r#", { "path": "/v1/", "repeatable": true }"#), vec!["services.s.routes[0]"]),
        (with_routes(r#", { "path": "/v2?a", "repeatable": true }"#), vec!["services.s.routes[1]"]),
        (with_routes(r#", { "path": "/v1/", "method": "GET", "repeatable": true }"#), vec![]),
        (DOCUMENT.replace(routes, ""), vec!["services.s.routes"]),
        (
            DOCUMENT.replace("\"services\": {", r#""services": { "r": { "kind": "group", "routes": [{ "path": "/r", "repeatable": true }] },"#),
            vec!["services.r"],
        ),
        (
            DOCUMENT.replace("\"plain\"", "\"group\"").replace("\"endpoints\"", &format!("{group} \"endpoints\"")),
            vec!["groups.g"],
        ),
        (with_policy(r#"{ "deadline": "2s", "queue_time": "2s" }"#), vec!["policy.queue_time"]),
        (with_policy(r#"{ "deadline": "2s", "stall": "3s" }"#), vec!["policy.stall"]),
        (with_policy(r#"{ "deadline": "2s", "retry_horizon": "1s" }"#), vec!["policy.retry_horizon"]),
    ];
    for (text, expected) in cases {
        let document = conf::parse("d", &text).unwrap();
        assert_eq!(conf::check(&document), [], "{text}");
        let found: Vec<_> = conf::warnings(&document)
            .into_iter()
            .map(|w| w.path)
            .collect();
        // The team of the document has no key.
        assert_eq!(
            found
                .iter()
                .filter(|path| *path != "teams.t.keys")
                .collect::<Vec<_>>(),
            expected,
            "{text}"
        );
        assert!(found.iter().any(|path| path == "teams.t.keys"), "{text}");
    }
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
