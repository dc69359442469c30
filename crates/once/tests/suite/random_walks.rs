use proptest::{
    collection::vec,
    prelude::any,
    sample::Index,
    test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner},
};

use crate::spec::{Defect, Spec};

/// Number of random walks, which go beyond the bounds of the exhaustive search.
const WALKS: u32 = 2000;
/// Limit on the number of steps in one walk.
const STEPS: usize = 60;
const SEED: [u8; 32] = [7; 32];

#[test]
fn long_walks() {
    println!("seed: {SEED:?}");
    let config = Config {
        cases: WALKS,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let choices = (any::<bool>(), vec(any::<Index>(), STEPS));
    let result = runner.run(&choices, |(supplied, choices)| walk(supplied, &choices));
    result.unwrap_or_else(|e| panic!("{e}"));
}

fn walk(supplied: bool, choices: &[Index]) -> Result<(), TestCaseError> {
    let mut spec = Spec::new(Defect::None, supplied);
    (spec.sends, spec.duplicates, spec.crashes) = (5, 8, 3);
    spec.horizons *= 2;
    let mut state = spec.start();
    for choice in choices {
        let steps = spec.steps(&state);
        if steps.is_empty() {
            break;
        }
        state = spec.apply(&state, *choice.get(&steps));
        if state.violates_invariant() {
            return Err(TestCaseError::fail(format!(
                "invariant violated after {} runs",
                state.runs()
            )));
        }
    }
    Ok(())
}
