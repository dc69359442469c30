use std::{collections::BTreeSet, fs};

use scene::{Parts, Script, parse, run};

/// Folder of the scenarios.
const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/scenes");

/// Reads the scenario that a test is named after.
pub(crate) fn read(test: &str) -> Script {
    let file = format!("{}.scene", test.replace('_', "-"));
    let text = fs::read_to_string(format!("{FOLDER}/{file}")).unwrap();
    parse(&file, &text).unwrap_or_else(|e| panic!("{e}"))
}

/// Plays a scenario twice: it must hold, and give the same time line.
fn play(test: &str) {
    let script = read(test);
    let first = run(&script, Parts::default());
    let second = run(&script, Parts::default());
    assert_eq!(
        first.text(),
        second.text(),
        "{test}: two time lines from one seed"
    );
    assert!(
        first.failures.is_empty(),
        "{test}:\n  {}",
        first.failures.join("\n  ")
    );
}

/// Makes a test of each scenario.
macro_rules! scenes {
    ($($name:ident,)*) => {
        const SCENES: &[&str] = &[$(stringify!($name)),*];
        $(
            #[test]
            fn $name() {
                play(stringify!($name));
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
fn none_forgotten() {
    let names = fs::read_dir(FOLDER).unwrap().map(|entry| {
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
fn plain_line() {
    insta::assert_snapshot!(run(&read("plain_path"), Parts::default()).text());
}
