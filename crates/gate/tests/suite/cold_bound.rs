use std::time::Duration;

use conf::Limit;
use gate::{Event, Outcome, Status};

use crate::support::Bench;

const LIMIT: Limit = Limit { cold: 2, full: 24 };
/// Offers of a fleet that rushes at an endpoint, a round.
const RUSH: u32 = 200;
/// Time that an attempt takes.
const SERVICE: Duration = Duration::from_millis(500);

#[tokio::test(start_paused = true)]
async fn whole_rush() {
    let mut bench = Bench::new(LIMIT, 0);
    let mut limits = vec![bench.limit()];
    for _ in 0..40 {
        for _ in 0..RUSH {
            bench.offer();
            assert!(bench.running.len() <= bench.limit() as usize);
        }
        bench.pass(SERVICE).await;
        bench.finish_all();
        limits.push(bench.limit());
        assert!(bench.running.len() <= bench.limit() as usize);
    }
    assert_eq!(limits[..10], [2; 10], "the cold bound holds for 5 s");
    assert_eq!(bench.limit(), LIMIT.full);
    let rounds = limits.iter().position(|l| *l == LIMIT.full).unwrap();
    println!("full share after {:?}", SERVICE * rounds as u32);
    assert!(SERVICE * rounds as u32 <= Duration::from_secs(15));
}

#[tokio::test(start_paused = true)]
async fn idle_ends() {
    let mut bench = Bench::new(LIMIT, 0);
    for _ in 0..40 {
        bench.offer();
        bench.pass(SERVICE).await;
        bench.finish_all();
    }
    assert!(bench.limit() <= 3, "one at a time is no evidence for many");
}

#[tokio::test(start_paused = true)]
async fn restart_signs() {
    let signs = [
        Event::Status(Status::Restarted),
        Event::Status(Status::Down),
        Event::Finished {
            request: "1".into(),
            attempt: 1,
            outcome: Outcome::Disconnected,
        },
    ];
    for sign in signs {
        let mut bench = Bench::new(Limit { cold: 2, full: 2 }, 0);
        let warm = bench.offer();
        bench.adopt(1, crate::support::document(LIMIT));
        bench.tell(sign.clone());
        assert_eq!((warm, bench.limit()), (1, 2));
        bench.pass(Duration::from_millis(400)).await;
        bench.load(1);
        for _ in 0..RUSH {
            bench.offer();
        }
        assert_eq!(bench.running.len() - 1, 1, "{sign:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn work_before() {
    let mut bench = Bench::new(LIMIT, 2);
    bench.offer();
    assert!(bench.running.is_empty(), "the engine still runs two");
    bench.load(1);
    assert_eq!(bench.running.len(), 1);
    bench.load(9);
    bench.offer();
    assert_eq!(bench.running.len(), 1, "a late report is no new work");
}

#[tokio::test(start_paused = true)]
async fn late_tokens() {
    let mut bench = Bench::new(LIMIT, 0);
    let mut token = async |time| {
        for number in [bench.offer(), bench.offer()] {
            assert!(bench.running.contains(&number));
        }
        bench.pass(time).await;
        for number in bench.running.clone() {
            let request = number.to_string().into();
            let attempt = 1;
            bench.tell(Event::FirstChunk { request, attempt });
        }
        bench.finish_all();
        bench.limit()
    };
    let mut limit = 0;
    for _ in 0..80 {
        limit = token(Duration::from_millis(100)).await;
    }
    assert_eq!(limit, 6, "two at a time are half of four, not of six");
    for _ in 0..5 {
        token(Duration::from_millis(200)).await;
        limit = token(Duration::from_millis(50)).await;
    }
    assert_eq!(limit, 6, "a mix of cached and other prefixes is no jump");
    for _ in 0..6 {
        limit = token(Duration::from_millis(900)).await;
    }
    assert_eq!(limit, LIMIT.cold);
}
