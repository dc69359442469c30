use std::{collections::BTreeSet, fs};

use scene::{Components, Script, parse, run};

/// Folder of the scenario files.
const SCENES_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/scenes");

/// Reads and parses the scenario file that has the name of a test.
pub(crate) fn load(test: &str) -> Script {
    let file = format!("{}.scene", test.replace('_', "-"));
    let text = fs::read_to_string(format!("{SCENES_DIR}/{file}")).unwrap();
    parse(&file, &text).unwrap_or_else(|error| panic!("{error}"))
}

/// Runs a scenario twice, and asserts that it passes with the same timeline each time.
fn assert_passes(test: &str) {
    let script = load(test);
    let first = run(&script, Components::default());
    let second = run(&script, Components::default());
    assert_eq!(
        first.timeline(),
        second.timeline(),
        "{test}: two runs with the same seed have different timelines"
    );
    assert!(
        first.failures.is_empty(),
        "{test}:\n  {}",
        first.failures.join("\n  ")
    );
}

/// Defines a test for each scenario.
macro_rules! scenes {
    ($($name:ident,)*) => {
        const SCENES: &[&str] = &[$(stringify!($name)),*];
        $(
            #[test]
            fn $name() {
                assert_passes(stringify!($name));
            }
        )*
    };
}

scenes! {
    agent_paused,
    cold_by_itself,
    cold_return,
    cold_start,
    crossed_answers,
    engine_stalls,
    entry_paused,
    graceful_shutdown,
    honest_refusals,
    late_messages,
    leaving,
    order_agent_dies,
    order_entry_dies,
    order_once,
    order_own_key,
    order_owner_moves,
    order_zone_cut,
    pair_crash_and_pause,
    pair_cut_and_zone_out,
    pair_silent_and_cold,
    plain_path,
    poison,
    process_dies,
    refusal_when_broken,
    silent_links,
    stalled_and_platform_down,
    twice_restart,
    version_everywhere,
    version_platform_down,
    version_stale_restart,
    zone_out,
    zone_out_stale_entry,
    zone_out_stale_platform,
    zones_cut,
}

#[test]
fn tests_match_files() {
    let names = fs::read_dir(SCENES_DIR).unwrap().map(|entry| {
        let path = entry.unwrap().path();
        path.file_stem()
            .unwrap()
            .to_str()
            .unwrap()
            .replace('-', "_")
    });
    let tests: BTreeSet<_> = SCENES.iter().map(ToString::to_string).collect();
    assert_eq!(names.collect::<BTreeSet<_>>(), tests);
}

#[test]
fn plain_path_timeline() {
    insta::assert_snapshot!(run(&load("plain_path"), Components::default()).timeline());
}
