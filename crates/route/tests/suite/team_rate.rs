use std::time::Duration;

use fault::ErrorKind;
use route::{Action, Event};

use crate::support::Harness;

#[tokio::test(start_paused = true)]
async fn rate_per_entry() {
    for (entries, expected) in [(1, 110), (5, 22)] {
        let mut harness = Harness::new();
        harness.handle(Event::EntryCount(entries));
        let mut offered = 0;
        for _ in 0..100 {
            harness.advance(Duration::from_millis(100)).await;
            for _ in 0..10 {
                match &harness.begin(|d| d.team = "bound".into())[..] {
                    [Action::Offer { .. }] => offered += 1,
                    [Action::Reject { fault, .. }] => {
                        assert_eq!(fault.kind(), ErrorKind::TeamLimit);
                        assert!(fault.retry_delay().is_some());
                    }
                    other => panic!("{other:?}"),
                }
            }
        }
        assert!((expected - 3..=expected).contains(&offered), "{offered}");
    }
}
