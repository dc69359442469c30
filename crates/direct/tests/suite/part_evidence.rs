//! Tests of which of several prompt parts is blamed for crashes.

use std::time::Duration;

use direct::{Blame, News, Part};
use tokio::time::{self, Instant};

/// Time between two crashes that do not count as one.
const INTERVAL: Duration = Duration::from_millis(500);

fn parts(ids: &[&str]) -> Vec<Part> {
    ids.iter().map(Part::new).collect()
}

fn is_refused(blame: &Blame<Part>, ids: &[&str]) -> bool {
    blame.find_refused(&parts(ids), Instant::now()).is_some()
}

/// Lets endpoint `number` end under a request with these parts.
async fn crash(blame: &mut Blame<Part>, number: u64, ids: &[&str]) {
    let endpoint = format!("e{number}").into();
    blame.record_break(&endpoint, number, &parts(ids), false, Instant::now());
    blame.record_end(&endpoint, number, Instant::now());
    time::advance(INTERVAL).await;
    blame.expire(Instant::now());
}

/// Guards against refusing what all requests share, since nobody has had an answer to it for a while (LOST).
#[tokio::test(start_paused = true)]
async fn pause_keeps_shared() {
    for pause in [0, 15, 70, 1200] {
        let mut blame = Blame::default();
        blame.record_sound(&parts(&["first", "second"]), Instant::now());
        time::advance(Duration::from_secs(pause)).await;
        blame.expire(Instant::now());
        for number in 0..9 {
            crash(&mut blame, number, &["first", "second", "bad"]).await;
        }
        assert!(is_refused(&blame, &["first", "bad"]), "{pause} s");
        assert!(!is_refused(&blame, &["first", "second"]), "{pause} s");
    }
}

/// Guards against refusing what sound requests share while nothing is known of any part: only a request with all parts in
/// question is certain to crash an endpoint.
#[tokio::test(start_paused = true)]
async fn unknown_parts_tried() {
    let mut blame = Blame::default();
    for number in 0..3 {
        crash(&mut blame, number, &["first", "bad"]).await;
    }
    assert!(is_refused(&blame, &["first", "bad"]));
    assert!(!is_refused(&blame, &["first"]) && !is_refused(&blame, &["bad"]));
    let mut sound = blame.clone();
    sound.record_sound(&parts(&["first"]), Instant::now());
    assert!(is_refused(&sound, &["bad"]) && !is_refused(&sound, &["first"]));
    // The other one may be at fault as well.
    crash(&mut blame, 3, &["first"]).await;
    assert!(is_refused(&blame, &["first"]) && !is_refused(&blame, &["bad"]));
}

/// Guards against a part that is protected by earlier answers after it has begun to crash endpoints (BUDGET).
#[tokio::test(start_paused = true)]
async fn turned_part_refused() {
    let mut blame = Blame::default();
    for _ in 0..100 {
        blame.record_sound(&parts(&["first", "turned"]), Instant::now());
    }
    // Until 3 s after the fifth crash.
    for number in 0..11 {
        blame.record_sound(&parts(&["first", "other"]), Instant::now());
        crash(&mut blame, number, &["first", "turned"]).await;
    }
    assert!(is_refused(&blame, &["first", "turned"]));
    assert!(!is_refused(&blame, &["first", "other"]));
}

/// Guards against refusing what all requests share because endpoints end by themselves, one after the other.
#[tokio::test(start_paused = true)]
async fn ended_service_not_blamed() {
    let mut blame = Blame::default();
    blame.record_sound(&parts(&["first", "second"]), Instant::now());
    for number in 0..12 {
        crash(&mut blame, number, &["first", "second"]).await;
    }
    assert!(!is_refused(&blame, &["first", "second"]));
}

/// Returns `count` parts that no other request has.
fn own_parts(request: u64, count: usize) -> Vec<Part> {
    let ids = (0..count).map(|place| format!("{request:016x}{place:016x}"));
    ids.map(Part::from).collect()
}

/// Guards against crashes that are blamed on nothing while many other parts are blamed, or known to be sound (BUDGET, LOST).
#[tokio::test(start_paused = true)]
async fn many_parts_make_room() {
    let mut blame = Blame::default();
    for _ in 0..2 {
        blame.record_sound(&parts(&["first"]), Instant::now());
    }
    for number in 0..20 {
        blame.record_sound(&own_parts(number, 1000), Instant::now());
        let endpoint = format!("other{number}").into();
        let others = own_parts(1000 + number, 1000);
        blame.record_break(&endpoint, 1, &others, false, Instant::now());
        blame.record_end(&endpoint, 1, Instant::now());
        time::advance(INTERVAL).await;
    }
    for number in 0..3 {
        crash(&mut blame, number, &["first", "bad"]).await;
    }
    assert!(is_refused(&blame, &["bad"]) && !is_refused(&blame, &["first"]));
    let evicted = blame.evicted();
    assert!(evicted.answers > 0 && evicted.suspects > 0, "{evicted:?}");
}

/// Guards against evidence that is lost because it does not fit into a packet.
#[tokio::test(start_paused = true)]
async fn evidence_fits_packets() {
    let mut blame = Blame::default();
    let answered = own_parts(9, 20);
    blame.record_sound(&answered, Instant::now());
    for number in 0..4 {
        let endpoint = format!("e{number}").into();
        let mut request = answered.clone();
        request.extend(own_parts(number, 250));
        blame.record_break(&endpoint, 1, &request, false, Instant::now());
        blame.record_end(&endpoint, 1, Instant::now());
        time::advance(INTERVAL / 2).await;
    }
    let (verdicts, packets) = blame.news(Instant::now()).split();
    assert!(verdicts.crashes.is_empty() && packets.len() > 4);
    let told = packets.iter().flat_map(|packet| &packet.crashes);
    let told: usize = told.map(|crash| crash.subjects.len()).sum();
    // A message has up to 1,024 parts of whole crashes, of 270 each.
    assert_eq!(told, 3 * 270);
    for packet in packets {
        let bytes = rmp_serde::to_vec_named(&packet).unwrap();
        assert!(bytes.len() <= 4096, "{} bytes", bytes.len());
        assert_eq!(rmp_serde::from_slice::<News<Part>>(&bytes).unwrap(), packet);
    }
}
