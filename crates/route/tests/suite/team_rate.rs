use std::time::Duration;

use fault::ErrorKind;
use route::{Action, Event};

use crate::support::Bench;

#[tokio::test(start_paused = true)]
async fn shared_rate() {
    for (entries, expected) in [(1, 110), (5, 22)] {
        let mut bench = Bench::new();
        bench.tell(Event::Entries(entries));
        let mut offered = 0;
        for _ in 0..100 {
            bench.pass(Duration::from_millis(100)).await;
            for _ in 0..10 {
                match &bench.begin(|ask| ask.team = "bound".into())[..] {
                    [Action::Offer { .. }] => offered += 1,
                    [Action::GiveUp { fault, .. }] => {
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
