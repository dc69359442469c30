use std::time::Duration;

use fault::ErrorKind;
use gate::Suspects;
use route::Event;
use tokio::time::Instant;

use crate::support::{Bench, document, given_up, offer};

#[tokio::test(start_paused = true)]
async fn one_home() {
    let mut bench = Bench::new();
    let mut suspects = Suspects::default();
    suspects.record_crash(&"a0".into(), 1, [5], Instant::now());
    bench.tell(Event::Suspects(suspects.list(Instant::now())));
    let home = suspects.quarantine_endpoint(5, &document()).unwrap();
    assert_ne!(home, "a0", "not where it crashed");
    for _ in 0..3 {
        let first = offer(&bench.begin(|ask| ask.fingerprint = 5));
        assert_eq!(first.endpoint, home);
        assert!(bench.refuse(&first, ErrorKind::Overloaded).is_empty());
        let again = offer(&bench.pass(Duration::from_secs(1)).await);
        assert_eq!(again.endpoint, home, "it waits for its turn there");
    }
    suspects.record_crash(&home, 1, [5], Instant::now());
    bench.tell(Event::Suspects(suspects.list(Instant::now())));
    let refused = bench.begin(|ask| ask.fingerprint = 5);
    assert_eq!(given_up(&refused), ErrorKind::Suspect);
}
