use std::collections::BTreeMap;

use crate::support::{Harness, last_offer};

#[tokio::test(start_paused = true)]
async fn equal_prefixes() {
    let mut harness = Harness::new();
    let mut counts = BTreeMap::new();
    for round in 0..20_u64 {
        for conversation in 0..10 {
            let prefix = vec![1, 100 + conversation, 1000 + 100 * conversation + round];
            let offer = last_offer(&harness.begin(|d| d.prefixes = prefix));
            harness.admit(&offer);
            if round > 1 {
                *counts.entry((conversation, offer.endpoint)).or_insert(0) += 1;
            }
        }
    }
    assert_eq!(
        counts.len(),
        10,
        "one endpoint per conversation: {counts:?}"
    );
    let used = counts.keys().map(|(_, endpoint)| endpoint);
    assert!(used.collect::<std::collections::BTreeSet<_>>().len() > 1);
}

#[tokio::test(start_paused = true)]
async fn load_bound() {
    let mut harness = Harness::new();
    let preferred = last_offer(&harness.begin(|d| d.prefixes = vec![7])).endpoint;
    harness.report_load(&preferred, 7);
    let next = last_offer(&harness.begin(|d| d.prefixes = vec![7])).endpoint;
    assert_ne!(next, preferred);
    harness.report_load(&preferred, 0);
    let back = last_offer(&harness.begin(|d| d.prefixes = vec![7])).endpoint;
    assert_eq!(back, preferred);
}
