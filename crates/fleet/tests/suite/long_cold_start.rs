use std::{sync::Arc, time::Duration};

use fleet::{Change, Content, Page, Replica};
use tokio::time::Instant;

use crate::support;

/// Guards against a registration whose cold start ends beyond the range of the clock.
#[test]
fn endless_cold_start_applied() {
    let now = Instant::now();
    for cold_time in [Duration::MAX, Duration::from_secs(u64::MAX / 2)] {
        let mut replica = Replica::default();
        let mut change = support::endpoint("a", fleet::Stage::Ready, 1);
        let Change::Put(item) = &mut change else {
            unreachable!("a registration is put");
        };
        let Content::Endpoint(_, endpoint) = &mut item.content else {
            unreachable!("the item is a registration");
        };
        Arc::make_mut(endpoint).cold_time = cold_time;
        let page = Page {
            changes: vec![change, support::endpoint("b", fleet::Stage::Ready, 2)],
            covered: 2.into(),
            ..Page::default()
        };
        replica.apply(page, now);
        let view = replica.view(now);
        assert_eq!(view.endpoints.len(), 2);
        assert!(view.endpoints["a"].cold_until > now);
    }
}
