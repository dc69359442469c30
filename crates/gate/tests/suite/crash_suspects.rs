use std::time::Duration;

use conf::{Limit, Priority};
use fault::ErrorKind;
use gate::{Event, Outcome, Policy as _, Status};
use tokio::time::Instant;

use crate::support::{Bench, ask};

const LIMIT: Limit = Limit { cold: 4, full: 4 };

/// Crashes a bench that runs attempts 1 and 2, and brings its engine back.
async fn crash(bench: &mut Bench) {
    bench.offer();
    bench.offer();
    bench.finish(1, Outcome::Disconnected);
    bench.finish(2, Outcome::Disconnected);
    bench.tell(Event::Status(Status::Down));
    bench.pass(Duration::from_millis(500)).await;
    bench.load(0);
}

fn again(bench: &mut Bench, attempt: u32, fingerprint: u64) -> u32 {
    let number = 100 + attempt;
    let mut ask = ask(number, "small", Priority::Normal);
    ask.fingerprint = fingerprint;
    bench.tell(Event::Offer(ask));
    number
}

#[tokio::test(start_paused = true)]
async fn run_apart() {
    let mut bench = Bench::new(LIMIT, 0);
    crash(&mut bench).await;
    let (first, second) = (again(&mut bench, 1, 1), again(&mut bench, 2, 2));
    let innocent = again(&mut bench, 3, 9);
    assert!(bench.running.contains(&first) && bench.running.contains(&innocent));
    assert!(!bench.running.contains(&second), "two suspects run apart");
    bench.finish(first, Outcome::Done);
    assert!(bench.running.contains(&second));
    assert_eq!(bench.guard.suspects(Instant::now()).len(), 1, "cleared");
}

#[tokio::test(start_paused = true)]
async fn twice_implicated() {
    let (mut one, mut two) = (Bench::new(LIMIT, 0), Bench::new(LIMIT, 0));
    two.guard = gate::Controller::new("e".into(), 8, Instant::now());
    two.adopt(1, crate::support::document(LIMIT));
    two.load(0);
    crash(&mut one).await;
    crash(&mut two).await;
    let known = two.guard.suspects(Instant::now());
    one.tell(Event::Suspects(known.clone()));
    one.tell(Event::Suspects(known));
    assert_eq!(one.guard.suspects(Instant::now()).len(), 4);
    let refused = again(&mut one, 1, 1);
    assert_eq!(one.kind(refused), Some(ErrorKind::Suspect));
    one.pass(Duration::from_secs(61)).await;
    one.load(0);
    let later = again(&mut one, 2, 1);
    assert!(one.running.contains(&later), "for a time only");
}

#[tokio::test(start_paused = true)]
async fn lone_break() {
    let mut bench = Bench::new(LIMIT, 0);
    bench.offer();
    bench.finish(1, Outcome::Disconnected);
    bench.pass(Duration::from_millis(500)).await;
    bench.load(0);
    bench.tell(Event::Status(Status::Restarted));
    assert!(bench.guard.suspects(Instant::now()).is_empty());
}
