use std::cell::Cell;

use pathfinding::directed::bfs::bfs;

use crate::spec::{Seeded, Spec, State, Step};

/// Explores all states and returns the shortest trace to a broken one, and how many were explored.
fn explore(spec: &Spec) -> (Option<Vec<Step>>, usize) {
    let explored = Cell::new(0);
    let successors = |state: &State| {
        explored.set(explored.get() + 1);
        let steps = spec.steps(state);
        let next = steps.into_iter().map(|step| spec.apply(state, step));
        next.collect::<Vec<_>>()
    };
    let path = bfs(&spec.start(), successors, State::broken);
    (path.map(|path| trace(spec, &path)), explored.get())
}

fn trace(spec: &Spec, path: &[State]) -> Vec<Step> {
    let steps = path.windows(2).map(|pair| {
        let mut steps = spec.steps(&pair[0]).into_iter();
        steps.find(|step| spec.apply(&pair[0], *step) == pair[1])
    });
    steps.map(Option::unwrap).collect()
}

#[test]
fn issued_keys() {
    let mut spec = Spec::new(Seeded::Nothing, false);
    spec.duplicates = 2;
    let (trace, states) = explore(&spec);
    println!("issued keys: {states} states");
    assert_eq!(trace, None);
    assert!(states > 1000, "{states}");
}

#[test]
fn own_keys() {
    let (trace, states) = explore(&Spec::new(Seeded::Nothing, true));
    println!("own keys: {states} states");
    assert_eq!(trace, None);
    assert!(states > 1000, "{states}");
}

#[test]
fn seeded_faults() {
    let seeded = [
        (Seeded::NoTokenCheck, false),
        (Seeded::ForgetfulRestart, false),
        (Seeded::RefusalKeepsTokens, false),
        (Seeded::NoSettling, true),
    ];
    for (fault, own) in seeded {
        let (trace, states) = explore(&Spec::new(fault, own));
        let trace = trace.unwrap_or_else(|| panic!("{fault:?} was not found in {states} states"));
        println!(
            "{fault:?}: {states} states, {} steps: {trace:?}",
            trace.len()
        );
    }
}
