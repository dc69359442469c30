use std::{fs, path::PathBuf};

use scene::{Parts, Played, Script, parse, run};

/// Folder of the scenarios.
const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/scenes");

/// Returns every scenario, by the name of its file.
fn scenes() -> Vec<(String, Script)> {
    let mut paths: Vec<PathBuf> = fs::read_dir(FOLDER)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    let read = |path: &PathBuf| {
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        let text = fs::read_to_string(path).unwrap();
        let script = parse(&format!("{name}.scene"), &text).unwrap_or_else(|e| panic!("{e}"));
        (name, script)
    };
    paths.iter().map(read).collect()
}

#[test]
fn all_hold() {
    let failing: Vec<_> = scenes()
        .iter()
        .map(|(name, script)| (name, run(script, Parts::default()).failures))
        .filter(|(_, failures)| !failures.is_empty())
        .map(|(name, failures)| format!("{name}.scene:\n  {}", failures.join("\n  ")))
        .collect();
    assert!(failing.is_empty(), "{}", failing.join("\n"));
}

#[test]
fn same_line() {
    for (name, script) in scenes() {
        let play = || -> Played { run(&script, Parts::default()) };
        assert_eq!(play().text(), play().text(), "{name}");
    }
}
