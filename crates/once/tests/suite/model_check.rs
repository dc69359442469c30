use std::cell::Cell;

use pathfinding::directed::bfs::bfs;

use crate::spec::{Defect, Spec, State, Step};

/// Explores the states breadth-first; returns the shortest trace to one that violates an invariant,
/// and the number of states explored.
fn explore(spec: &Spec) -> (Option<Vec<Step>>, usize) {
    let explored = Cell::new(0);
    let successors = |state: &State| {
        explored.set(explored.get() + 1);
        let steps = spec.steps(state);
        let next = steps.into_iter().map(|step| spec.apply(state, step));
        next.collect::<Vec<_>>()
    };
    let path = bfs(&spec.start(), successors, State::violates_invariant);
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
    let mut spec = Spec::new(Defect::None, false);
    spec.duplicates = 2;
    let (trace, states) = explore(&spec);
    println!("issued keys: {states} states");
    assert_eq!(trace, None);
    assert!(states > 1000, "{states}");
}

#[test]
fn supplied_keys() {
    let (trace, states) = explore(&Spec::new(Defect::None, true));
    println!("client-supplied keys: {states} states");
    assert_eq!(trace, None);
    assert!(states > 1000, "{states}");
}

#[test]
fn defects_detected() {
    let defects = [
        (Defect::NoTokenCheck, false),
        (Defect::ReusedIncarnation, false),
        (Defect::NoCancelOnRefusal, false),
        (Defect::NoSettlingTime, true),
    ];
    for (defect, supplied) in defects {
        let (trace, states) = explore(&Spec::new(defect, supplied));
        let trace = trace.unwrap_or_else(|| panic!("{defect:?} was not found in {states} states"));
        println!(
            "{defect:?}: {states} states, {} steps: {trace:?}",
            trace.len()
        );
    }
}
