use std::time::Duration;

use group::{Memory, Refusal, Refusals, Subject};
use tokio::time::{self, Instant};

const SECOND: Duration = Duration::from_secs(1);
/// Time for which subjects are refused.
const REFUSAL_TIME: Duration = Duration::from_secs(600);

fn refusal(request: u64, age: Duration) -> Refusal {
    Refusal {
        subject: Subject::Request(request),
        age,
        crashes: 2,
    }
}

/// Builds what an entry tells that knows as far back as subjects are refused.
fn told(requests: impl IntoIterator<Item = u64>) -> Refusals {
    let refused = requests.into_iter().map(|request| refusal(request, SECOND));
    Refusals {
        memory: REFUSAL_TIME,
        refused: refused.collect(),
    }
}

#[tokio::test(start_paused = true)]
async fn silence_keeps() {
    let mut memory = Memory::new(Instant::now());
    memory.record(&told([7]), Instant::now());
    time::advance(8 * SECOND).await;
    memory.record_contact(Instant::now());
    // All entries end, for half a minute.
    time::advance(30 * SECOND).await;
    let known = memory.refusals(Instant::now());
    assert_eq!(known.refused, [refusal(7, 39 * SECOND)]);
    time::advance(REFUSAL_TIME).await;
    assert_eq!(memory.refusals(Instant::now()).refused, []);
}

/// Guards against a request that turned out to be sound and is refused again after all entries have ended.
#[tokio::test(start_paused = true)]
async fn dropped_by_entries() {
    let mut memory = Memory::new(Instant::now());
    memory.record(&told([7, 8]), Instant::now());
    for _ in 0..6 {
        time::advance(2 * SECOND).await;
        memory.record(&told([8]), Instant::now());
    }
    let known = memory.refusals(Instant::now());
    assert_eq!(known.refused, [refusal(8, SECOND)]);
    for _ in 0..6 {
        time::advance(2 * SECOND).await;
        memory.record_contact(Instant::now());
    }
    assert_eq!(memory.refusals(Instant::now()).refused, []);
}

/// Guards against an agent that vouches for a time in which it may have missed crashes.
#[tokio::test(start_paused = true)]
async fn memory_stated() {
    let stated = |memory: &Memory| memory.refusals(Instant::now()).memory;
    let mut memory = Memory::new(Instant::now());
    let first = Memory::new(Instant::now()).first_start();
    time::advance(5 * SECOND).await;
    assert_eq!(stated(&memory), 5 * SECOND);
    assert_eq!(stated(&first), REFUSAL_TIME);
    memory.record(&told([]), Instant::now());
    assert_eq!(stated(&memory), REFUSAL_TIME, "as an entry has told it all");
    time::advance(9 * SECOND).await;
    memory.record_contact(Instant::now());
    assert_eq!(stated(&memory), REFUSAL_TIME);
    time::advance(11 * SECOND).await;
    memory.record_contact(Instant::now());
    assert_eq!(stated(&memory), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn many_bounded() {
    let mut memory = Memory::new(Instant::now());
    memory.record(&told(0..100_000), Instant::now());
    assert_eq!(memory.refusals(Instant::now()).refused.len(), 64);
}
