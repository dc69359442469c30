use std::time::Duration;

use direct::{Blame, Outcome, Part, Verdict};
use fault::{ErrorKind, Run};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::{self, Instant};

use crate::support::{attempt, balancer, view};

/// Time between two crashes of a group that forms again after each.
const CRASH_INTERVAL: Duration = Duration::from_secs(4);

fn parts(ids: &[&str]) -> Vec<Part> {
    ids.iter().map(Part::new).collect()
}

fn is_refused(blame: &Blame<Part>, part: &str) -> bool {
    let refused = parts(&[part]);
    blame.find_refused(&refused, Instant::now()).is_some()
}

/// Lets endpoint `number` end under a request with these parts.
fn crash(blame: &mut Blame<Part>, number: u64, ids: &[&str]) {
    let endpoint = format!("e{number}").into();
    blame.record_break(&endpoint, number, &parts(ids), false, Instant::now());
    blame.record_end(&endpoint, number, Instant::now());
}

#[tokio::test(start_paused = true)]
async fn third_crash_refuses() {
    let mut blame = Blame::default();
    for number in 0..3 {
        assert!(!is_refused(&blame, "bad"), "{number}");
        crash(&mut blame, number, &["bad"]);
        time::advance(CRASH_INTERVAL).await;
        blame.expire(Instant::now());
    }
    assert!(is_refused(&blame, "bad"));
    assert!(!is_refused(&blame, "other"));
    assert_eq!(blame.take_verdicts(), [Verdict::Refused("bad".into())]);
    time::advance(Duration::from_secs(601)).await;
    assert!(!is_refused(&blame, "bad"), "it gets another try");
}

/// Guards against refusing what sound requests share with those that crash endpoints (LOST).
#[tokio::test(start_paused = true)]
async fn shared_part_stays_in_use() {
    let mut blame = Blame::default();
    for number in 0..5 {
        blame.record_sound(&parts(&["system", "session"]), Instant::now());
        time::advance(CRASH_INTERVAL).await;
        crash(&mut blame, number, &["system", "session", "bad"]);
    }
    assert!(is_refused(&blame, "bad"));
    assert!(!is_refused(&blame, "system") && !is_refused(&blame, "session"));
}

/// Guards against refusing a part that only ran beside the one at fault.
#[tokio::test(start_paused = true)]
async fn answer_lifts_refusal() {
    let mut blame = Blame::default();
    for number in 0..3 {
        crash(&mut blame, number, &["rare", "bad"]);
        time::advance(CRASH_INTERVAL).await;
    }
    let both = parts(&["rare", "bad"]);
    assert!(blame.find_refused(&both, Instant::now()).is_some());
    assert!(!is_refused(&blame, "rare") && !is_refused(&blame, "bad"));
    blame.record_sound(&parts(&["rare"]), Instant::now());
    assert!(!is_refused(&blame, "rare") && is_refused(&blame, "bad"));
    let verdicts = blame.take_verdicts();
    assert_eq!(
        verdicts,
        [
            Verdict::RefusedTogether(parts(&["bad", "rare"])),
            Verdict::Sound("rare".into()),
            Verdict::Refused("bad".into()),
        ]
    );
}

/// A loss of power or a cut ends many endpoints together, under whatever they run.
#[tokio::test(start_paused = true)]
async fn common_end_counts_once() {
    let mut blame = Blame::default();
    for number in 0..12 {
        crash(&mut blame, number, &["hot"]);
        time::advance(Duration::from_millis(10)).await;
    }
    assert!(!is_refused(&blame, "hot"));
}

/// An endpoint that ends under a request which had been sent on after another crash has no common cause with it.
#[tokio::test(start_paused = true)]
async fn repeated_crash_counts() {
    let mut blame = Blame::default();
    for number in 0..3 {
        let endpoint = format!("e{number}").into();
        let (bad, now) = (parts(&["bad"]), Instant::now());
        blame.record_break(&endpoint, 1, &bad, number % 2 == 1, now);
        blame.record_end(&endpoint, 1, now);
        time::advance(Duration::from_millis(150)).await;
    }
    assert!(is_refused(&blame, "bad"));
}

#[tokio::test(start_paused = true)]
async fn broken_connection_not_blamed() {
    let mut blame = Blame::default();
    for number in 0..9 {
        let endpoint = format!("e{number}").into();
        blame.record_break(&endpoint, 1, &parts(&["hot"]), false, Instant::now());
        time::advance(Duration::from_secs(6)).await;
        blame.expire(Instant::now());
        blame.record_end(&endpoint, 1, Instant::now());
    }
    assert!(
        !is_refused(&blame, "hot"),
        "the endpoints ended for another reason"
    );
}

#[tokio::test(start_paused = true)]
async fn crash_known_to_several_counts_once() {
    let (mut one, mut other) = (Blame::default(), Blame::default());
    for number in 0..2 {
        crash(&mut one, number, &["bad"]);
        crash(&mut other, number, &["bad"]);
        time::advance(Duration::from_millis(300)).await;
        one.merge(&other.news(Instant::now()), Instant::now());
        other.merge(&one.news(Instant::now()), Instant::now());
    }
    assert!(!is_refused(&one, "bad") && !is_refused(&other, "bad"));
    crash(&mut one, 2, &["bad"]);
    other.merge(&one.news(Instant::now()), Instant::now());
    assert!(is_refused(&one, "bad") && is_refused(&other, "bad"));
}

/// An entry that has restarted learns what is refused, and for how long.
#[tokio::test(start_paused = true)]
async fn refusal_learned() {
    let mut known = Blame::default();
    for number in 0..3 {
        crash(&mut known, number, &["bad"]);
        time::advance(CRASH_INTERVAL).await;
    }
    time::advance(Duration::from_secs(300)).await;
    let mut restarted = Blame::default();
    restarted.merge(&known.news(Instant::now()), Instant::now());
    assert!(is_refused(&restarted, "bad"));
    time::advance(Duration::from_secs(300)).await;
    known.expire(Instant::now());
    known.merge(&restarted.news(Instant::now()), Instant::now());
    assert!(!is_refused(&known, "bad"), "it is not refused for ever");
}

#[tokio::test(start_paused = true)]
async fn sound_part_rebutted() {
    let (mut knowing, mut misled) = (Blame::default(), Blame::default());
    for number in 0..3 {
        crash(&mut misled, number, &["rare"]);
        time::advance(CRASH_INTERVAL).await;
    }
    knowing.record_sound(&parts(&["rare"]), Instant::now());
    knowing.merge(&misled.news(Instant::now()), Instant::now());
    assert!(!is_refused(&knowing, "rare"));
    misled.merge(&knowing.news(Instant::now()), Instant::now());
    assert!(!is_refused(&misled, "rare"));
}

/// Load pattern: one request in 20 has a part that crashes the engine which begins it, the group stands still for
/// seconds after each, and all requests share the first part and one of five sessions. Seven entries
/// exchange news each 300 ms.
#[tokio::test(start_paused = true)]
async fn crash_series_ends() {
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut entries = vec![Blame::default(); 7];
        let (mut crashes, mut refused, mut served) = (0, 0, 0);
        let mut group_down_until = Instant::now();
        for step in 0..2000_u64 {
            time::advance(Duration::from_millis(20)).await;
            let now = Instant::now();
            if step % 15 == 0 {
                let news: Vec<_> = entries.iter().map(|entry| entry.news(now)).collect();
                for entry in &mut entries {
                    news.iter().for_each(|news| entry.merge(news, now));
                    entry.expire(now);
                }
            }
            let entry = random.random_range(0..entries.len());
            let is_bad = random.random_bool(0.05);
            let session = format!("session{}", random.random_range(0..5));
            let mut request = parts(&["system", &session]);
            if is_bad {
                request.push("bad".into());
            }
            if now < group_down_until {
                continue;
            }
            if entries[entry].find_refused(&request, now).is_some() {
                refused += u32::from(!is_bad);
            } else if is_bad {
                let endpoint = format!("e{crashes}").into();
                entries[entry].record_break(&endpoint, 1, &request, false, now);
                entries[entry].record_end(&endpoint, 1, now);
                crashes += 1;
                group_down_until = now + CRASH_INTERVAL;
            } else {
                entries[entry].record_sound(&request, now);
                served += 1;
            }
        }
        assert!(crashes <= 4, "seed {seed}: {crashes} crashes");
        assert!(
            refused * 10 <= served,
            "seed {seed}: {refused} refused, {served} served"
        );
    }
}

/// Guards against blaming what ran on the sound engines of a group that has lost another one.
#[tokio::test(start_paused = true)]
async fn stalled_engines_not_ended() {
    let (mut balancer, view, service) = (balancer(), view(6), "drafts".into());
    let shared_parts = parts(&["rare"]);
    let mut request = attempt(&service);
    request.shared_parts = &shared_parts;
    for fingerprint in 0..4 {
        request.fingerprint = fingerprint;
        let now = Instant::now();
        let placement = balancer.choose(&view, &request, now).unwrap();
        balancer.record_break(&placement, fingerprint, &shared_parts, false, now);
        balancer.record_outcome(&placement, Outcome::Broke, now);
        let endpoint = &placement.endpoint;
        balancer.record_stall(&view, endpoint, endpoint, now);
        time::advance(CRASH_INTERVAL).await;
        balancer.retain_known(&view, Instant::now());
    }
    request.fingerprint = 9;
    let choice = balancer.choose(&view, &request, Instant::now());
    assert!(choice.is_ok(), "{choice:?}");
}

/// Load pattern: as before with several groups. A request that has crashed an engine goes to another group at once,
/// and that an engine has ended shows after a second only.
#[tokio::test(start_paused = true)]
async fn crashes_in_groups_end() {
    let cases = [
        (3, 0.05, 0),
        (2, 0.05, 5),
        (3, 0.01, 5),
        (4, 0.05, 5),
        (4, 0.005, 5),
        (6, 0.01, 5),
    ];
    for (groups, share, calm) in cases {
        for seed in 0..20 {
            let calm = Duration::from_secs(calm);
            let (crashes, late) = play_crashes(seed, groups, share, calm).await;
            let run = format!("{groups} groups, share {share}, seed {seed}");
            println!("{run}: {crashes} {late}");
            assert!(late <= 3, "{run}: {late} of {crashes} crashes are late");
        }
    }
}

/// Plays 40 s of 100 requests a second, a share of which has the part that crashes engines once the calm is over;
/// returns the number of crashes and of those that are later than 3 s after the fifth.
async fn play_crashes(seed: u64, groups: usize, share: f64, calm: Duration) -> (usize, usize) {
    const SIGN_DELAY: Duration = Duration::from_secs(1);
    let mut random = SmallRng::seed_from_u64(seed);
    let mut entries = vec![Blame::default(); 30];
    let calm_until = Instant::now() + calm;
    let mut groups_down_until = vec![Instant::now(); groups];
    // Crashes, and signs of an end that are still to come: when, at which entry, of which endpoint.
    let (mut crashes, mut signs) = (Vec::new(), Vec::new());
    for step in 0..4000_u64 {
        time::advance(Duration::from_millis(10)).await;
        let now = Instant::now();
        if step % 30 == 0 {
            let news: Vec<_> = entries.iter().map(|entry| entry.news(now)).collect();
            for entry in &mut entries {
                news.iter().for_each(|news| entry.merge(news, now));
                entry.expire(now);
            }
        }
        signs.retain(
            |(at, entry, endpoint): &(Instant, usize, conf::id::Endpoint)| {
                let is_due = *at <= now;
                if is_due {
                    entries[*entry].record_end(endpoint, 1, now);
                }
                !is_due
            },
        );
        let entry = random.random_range(0..entries.len());
        let session = format!("session{}", random.random_range(0..5));
        let mut request = parts(&["system", &session]);
        let is_bad = random.random_bool(share) && now >= calm_until;
        if is_bad {
            request.push("bad".into());
        }
        for is_repeat in [false, true] {
            let Some(group) = groups_down_until.iter_mut().find(|until| **until <= now) else {
                break;
            };
            if entries[entry].find_refused(&request, now).is_some() {
                assert!(is_bad, "seed {seed}: a sound request is refused");
                break;
            }
            if !is_bad {
                entries[entry].record_sound(&request, now);
                break;
            }
            let endpoint: conf::id::Endpoint = format!("e{}", crashes.len()).into();
            entries[entry].record_break(&endpoint, 1, &request, is_repeat, now);
            signs.push((now + SIGN_DELAY, entry, endpoint));
            crashes.push(now);
            *group = now + CRASH_INTERVAL;
        }
    }
    let fifth = crashes.get(4).copied();
    let late = crashes
        .iter()
        .filter(|at| fifth.is_some_and(|fifth| at.duration_since(fifth) > Duration::from_secs(3)));
    (crashes.len(), late.count())
}

#[tokio::test(start_paused = true)]
async fn refused_request_unsent() {
    let (mut balancer, view, service) = (balancer(), view(6), "drafts".into());
    let shared_parts = parts(&["system", "bad"]);
    let mut suspicious = attempt(&service);
    suspicious.shared_parts = &shared_parts;
    for request in 0..3 {
        suspicious.fingerprint = request;
        let placement = balancer.choose(&view, &suspicious, Instant::now()).unwrap();
        balancer.record_break(&placement, request, &shared_parts, false, Instant::now());
        balancer.record_outcome(&placement, Outcome::Broke, Instant::now());
        // The endpoint named as lost by another one of its group.
        let (lost, now) = (placement.endpoint.to_string(), Instant::now());
        balancer.record_stall(&view, &"e5".into(), &lost, now);
        time::advance(CRASH_INTERVAL).await;
        balancer.record_sound(8, &parts(&["system"]), Instant::now());
    }
    suspicious.fingerprint = 3;
    let fault = balancer
        .choose(&view, &suspicious, Instant::now())
        .unwrap_err();
    assert_eq!((fault.kind(), fault.run()), (ErrorKind::Suspect, Run::No));
    let mut sound = attempt(&service);
    let system = parts(&["system"]);
    sound.shared_parts = &system;
    assert!(balancer.choose(&view, &sound, Instant::now()).is_ok());
}
