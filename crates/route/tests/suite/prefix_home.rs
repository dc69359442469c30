use std::collections::BTreeMap;

use crate::support::{Bench, offer};

#[tokio::test(start_paused = true)]
async fn equal_prefixes() {
    let mut bench = Bench::new();
    let mut homes = BTreeMap::new();
    for round in 0..20_u64 {
        for talk in 0..10 {
            let prefix = vec![1, 100 + talk, 1000 + 100 * talk + round];
            let found = offer(&bench.begin(|ask| ask.prefixes = prefix));
            bench.admit(&found);
            if round > 1 {
                *homes.entry((talk, found.endpoint)).or_insert(0) += 1;
            }
        }
    }
    assert_eq!(homes.len(), 10, "each talk has one home: {homes:?}");
    let used = homes.keys().map(|(_, endpoint)| endpoint);
    assert!(used.collect::<std::collections::BTreeSet<_>>().len() > 1);
}

#[tokio::test(start_paused = true)]
async fn bounded_load() {
    let mut bench = Bench::new();
    let home = offer(&bench.begin(|ask| ask.prefixes = vec![7])).endpoint;
    bench.hint(&home, 7);
    let next = offer(&bench.begin(|ask| ask.prefixes = vec![7])).endpoint;
    assert_ne!(next, home);
    bench.hint(&home, 0);
    let back = offer(&bench.begin(|ask| ask.prefixes = vec![7])).endpoint;
    assert_eq!(back, home);
}
