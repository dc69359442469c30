use std::time::Duration;

use conf::{Limit, Priority};
use fault::ErrorKind;
use gate::{Event, Outcome, Policy as _, Status};
use tokio::time::Instant;

use crate::support::{Harness, descriptor};

const LIMIT: Limit = Limit { cold: 4, full: 4 };

/// Runs attempts 1 and 2, crashes the engine and restarts it.
async fn crash_engine(harness: &mut Harness) {
    harness.offer();
    harness.offer();
    harness.finish(1, Outcome::Disconnected);
    harness.finish(2, Outcome::Disconnected);
    harness.handle(Event::Status(Status::Down));
    harness.advance(Duration::from_millis(500)).await;
    harness.report_load(0);
}

/// Offers a request again and returns the number of the new offer.
fn offer_again(harness: &mut Harness, attempt: u32, fingerprint: u64) -> u32 {
    let number = 100 + attempt;
    let mut descriptor = descriptor(number, "small", Priority::Normal);
    descriptor.fingerprint = fingerprint;
    harness.handle(Event::Offer(descriptor));
    number
}

#[tokio::test(start_paused = true)]
async fn suspects_run_serially() {
    let mut harness = Harness::new(LIMIT, 0);
    crash_engine(&mut harness).await;
    let (first, second) = (
        offer_again(&mut harness, 1, 1),
        offer_again(&mut harness, 2, 2),
    );
    let unrelated = offer_again(&mut harness, 3, 9);
    assert!(harness.running.contains(&first) && harness.running.contains(&unrelated));
    assert!(
        !harness.running.contains(&second),
        "the second suspect waits for the first"
    );
    harness.finish(first, Outcome::Done);
    assert!(harness.running.contains(&second));
    assert_eq!(
        harness.controller.suspects(Instant::now()).len(),
        1,
        "the completed one is cleared"
    );
}

#[tokio::test(start_paused = true)]
async fn second_crash_blocks() {
    let (mut one, mut two) = (Harness::new(LIMIT, 0), Harness::new(LIMIT, 0));
    two.controller = gate::Controller::new("e".into(), 8, Instant::now());
    two.apply(1, crate::support::document(LIMIT));
    two.report_load(0);
    crash_engine(&mut one).await;
    crash_engine(&mut two).await;
    let known = two.controller.suspects(Instant::now());
    one.handle(Event::Suspects(known.clone()));
    one.handle(Event::Suspects(known));
    assert_eq!(one.controller.suspects(Instant::now()).len(), 4);
    let refused = offer_again(&mut one, 1, 1);
    assert_eq!(one.refusal_kind(refused), Some(ErrorKind::Suspect));
    one.advance(Duration::from_secs(61)).await;
    one.report_load(0);
    let later = offer_again(&mut one, 2, 1);
    assert!(one.running.contains(&later), "the block expires");
}

#[tokio::test(start_paused = true)]
async fn disconnect_without_crash() {
    let mut harness = Harness::new(LIMIT, 0);
    harness.offer();
    harness.finish(1, Outcome::Disconnected);
    harness.advance(Duration::from_millis(500)).await;
    harness.report_load(0);
    harness.handle(Event::Status(Status::Restarted));
    assert!(harness.controller.suspects(Instant::now()).is_empty());
}
