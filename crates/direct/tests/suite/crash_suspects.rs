use std::time::Duration;

use direct::{Blame, Fingerprint, Outcome};
use fault::ErrorKind;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::{self, Instant};

use crate::support::{attempt, balancer, view};

/// Time between two crashes that have nothing to do with each other.
const INTERVAL: Duration = Duration::from_secs(1);

fn is_refused(suspects: &Blame<Fingerprint>, request: Fingerprint) -> bool {
    suspects.find_refused(&[request], Instant::now()).is_some()
}

/// Lets endpoint `number` crash under a request.
fn crash(suspects: &mut Blame<Fingerprint>, number: u64, request: Fingerprint, is_repeat: bool) {
    let endpoint = format!("e{number}").into();
    suspects.record_break(&endpoint, number, &[request], is_repeat, Instant::now());
}

#[tokio::test(start_paused = true)]
async fn second_crash_blocks() {
    let mut suspects = Blame::default();
    crash(&mut suspects, 1, 7, false);
    crash(&mut suspects, 1, 7, false);
    assert!(!is_refused(&suspects, 7), "the same crash, reported twice");
    crash(&mut suspects, 2, 7, true);
    assert!(is_refused(&suspects, 7));
    assert!(
        !is_refused(&suspects, 8),
        "another request that ran at the same time"
    );
}

#[tokio::test(start_paused = true)]
async fn shared_crashes_expire() {
    let (mut observer, mut other) = (Blame::default(), Blame::default());
    crash(&mut observer, 1, 7, false);
    crash(&mut observer, 2, 7, true);
    other.merge(&observer.news(Instant::now()), Instant::now());
    assert!(is_refused(&other, 7));
    time::advance(Duration::from_secs(599)).await;
    let mut restarted = Blame::default();
    restarted.merge(&other.news(Instant::now()), Instant::now());
    assert!(is_refused(&restarted, 7), "it learns what is refused");
    time::advance(Duration::from_secs(2)).await;
    assert!(!is_refused(&other, 7) && !is_refused(&restarted, 7));
    other.expire(Instant::now());
    assert!(other.news(Instant::now()).refused.is_empty());
}

/// Guards against a restarted entry that learns only of the newest refusals.
#[tokio::test(start_paused = true)]
async fn all_refusals_learned() {
    let (mut known, mut restarted) = (Blame::default(), Blame::default());
    for request in 0..60 {
        crash(&mut known, 2 * request, request, false);
        crash(&mut known, 2 * request + 1, request, true);
        time::advance(INTERVAL).await;
    }
    for _ in 0..60 {
        restarted.merge(&known.news(Instant::now()), Instant::now());
    }
    assert!((0..60).all(|request| is_refused(&restarted, request)));
}

/// Guards against refusing a request that was on several endpoints which ended at the same moment.
#[tokio::test(start_paused = true)]
async fn common_end_counts_once() {
    let mut suspects = Blame::default();
    for number in 0..4 {
        crash(&mut suspects, number, 7, false);
    }
    assert!(!is_refused(&suspects, 7));
}

/// Guards against refusing a request that many callers send because endpoints end by themselves under it.
#[tokio::test(start_paused = true)]
async fn answer_clears() {
    let (mut one, mut other) = (Blame::default(), Blame::default());
    for number in 0..9 {
        crash(&mut one, number, 7, false);
        crash(&mut other, number, 7, false);
        time::advance(INTERVAL).await;
        one.record_sound(&[7], Instant::now());
        other.merge(&one.news(Instant::now()), Instant::now());
        assert!(!is_refused(&one, 7) && !is_refused(&other, 7), "{number}");
    }
    crash(&mut other, 10, 7, false);
    time::advance(INTERVAL).await;
    crash(&mut other, 11, 7, false);
    assert!(!is_refused(&other, 7), "it was answered lately");
    crash(&mut other, 12, 7, true);
    crash(&mut other, 13, 7, true);
    assert!(is_refused(&other, 7), "it has turned into one that crashes");
}

/// Load pattern: a request that crashes each endpoint amid its answer arrives at entries in turn, which run at most two
/// attempts and have heard of the last second's news. One entry restarts each two seconds.
#[tokio::test(start_paused = true)]
async fn late_arrivals_bounded() {
    for (entries, seed) in [7, 7, 7, 300].into_iter().zip(0..) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut fleet = vec![Blame::<Fingerprint>::default(); entries];
        let mut crashes: Vec<Instant> = Vec::new();
        for step in 0..150_u64 {
            time::advance(Duration::from_millis(100)).await;
            let now = Instant::now();
            if step % 20 == 0 {
                fleet[random.random_range(0..entries)] = Blame::default();
            }
            for sender in 0..entries {
                let news = fleet[sender].news(now);
                for _ in 0..12 {
                    let receiver = random.random_range(0..entries);
                    fleet[receiver].merge(&news, now);
                }
                fleet[sender].record_sound(&[step], now);
            }
            let entry = random.random_range(0..entries);
            for is_repeat in [false, true] {
                if fleet[entry].find_refused(&[7], now).is_none() {
                    crash(&mut fleet[entry], 1000 + crashes.len() as u64, 7, is_repeat);
                    crashes.push(now);
                }
            }
        }
        let late = crashes
            .iter()
            .filter(|at| **at > crashes[2.min(crashes.len() - 1)] + Duration::from_secs(3));
        let late = late.count();
        assert!(
            late <= 3,
            "{entries} entries, seed {seed}: {late} of {}",
            crashes.len()
        );
    }
}

/// Guards against a refusal that does not say that the request has not run.
#[tokio::test(start_paused = true)]
async fn refused_request_unsent() {
    let (mut balancer, view, service) = (balancer(), view(6), "drafts".into());
    let mut request = attempt(&service);
    request.fingerprint = 7;
    for is_repeat in [false, true] {
        let now = Instant::now();
        let placement = balancer.choose(&view, &request, now).unwrap();
        balancer.record_break(&placement, 7, &[], is_repeat, now);
        balancer.record_outcome(&placement, Outcome::Broke, now);
        time::advance(INTERVAL).await;
    }
    let fault = balancer
        .choose(&view, &request, Instant::now())
        .unwrap_err();
    assert_eq!(
        (fault.kind(), fault.run()),
        (ErrorKind::Suspect, fault::Run::No)
    );
    balancer.record_sound(7, &[], Instant::now());
    assert!(balancer.choose(&view, &request, Instant::now()).is_ok());
}
