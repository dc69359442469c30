use std::{net::SocketAddr, time::Duration};

use group::{Directory, Status};
use tokio::time::{self, Instant};

fn engine(port: u16) -> SocketAddr {
    ([10, 0, 0, 1], port).into()
}

fn status(epoch: u64, open: bool, ports: &[u16]) -> Status {
    Status {
        service: "drafts".into(),
        group: "g1".into(),
        epoch,
        open,
        engines: ports.iter().copied().map(engine).collect(),
    }
}

fn record(directory: &mut Directory, epoch: u64, open: bool, ports: &[u16]) -> bool {
    directory.record(&status(epoch, open, ports), Instant::now())
}

fn broken(directory: &Directory, port: u16) -> bool {
    directory.is_broken(engine(port), Instant::now())
}

#[tokio::test(start_paused = true)]
async fn broken_group_covers_engines() {
    let mut directory = Directory::default();
    assert!(record(&mut directory, 1, true, &[1, 2, 3]));
    assert!(!broken(&directory, 1));
    assert!(
        record(&mut directory, 1, false, &[]),
        "the agent knows no other rank"
    );
    assert!(broken(&directory, 1) && broken(&directory, 3) && !broken(&directory, 4));
    assert!(record(&mut directory, 2, true, &[]));
    assert!(!broken(&directory, 1));
}

#[tokio::test(start_paused = true)]
async fn old_news_ignored() {
    let mut directory = Directory::default();
    record(&mut directory, 2, false, &[1, 2]);
    assert!(
        !record(&mut directory, 2, true, &[1, 2]),
        "a broken epoch does not open"
    );
    assert!(!record(&mut directory, 1, true, &[1, 2]));
    assert!(broken(&directory, 1));
    assert!(!record(&mut directory, 2, false, &[]), "known");
    record(&mut directory, 3, true, &[]);
    assert!(!record(&mut directory, 2, false, &[]));
    assert!(!broken(&directory, 1));
}

/// A group whose agents are all cut off from the entries is tried again.
#[tokio::test(start_paused = true)]
async fn silent_group_tried() {
    let mut directory = Directory::default();
    record(&mut directory, 1, false, &[1, 2]);
    time::advance(Duration::from_millis(2000)).await;
    record(&mut directory, 1, false, &[]);
    time::advance(Duration::from_millis(2000)).await;
    assert!(broken(&directory, 1));
    time::advance(Duration::from_millis(1000)).await;
    assert!(!broken(&directory, 1));
    time::advance(Duration::from_secs(10)).await;
    assert!(
        record(&mut directory, 0, true, &[]),
        "the servers know nothing of before"
    );
}

#[tokio::test(start_paused = true)]
async fn decline_covers_group() {
    let mut directory = Directory::default();
    assert!(
        !directory.record_declined(engine(1), Instant::now()),
        "unknown"
    );
    record(&mut directory, 1, true, &[1, 2]);
    assert!(directory.record_declined(engine(1), Instant::now()));
    assert!(broken(&directory, 2));
    record(&mut directory, 1, true, &[]);
    assert!(broken(&directory, 2), "the agent has not seen it yet");
    record(&mut directory, 2, true, &[]);
    assert!(!broken(&directory, 2));
    directory.record_declined(engine(2), Instant::now());
    time::advance(Duration::from_millis(300)).await;
    assert!(!broken(&directory, 2));
}

#[tokio::test(start_paused = true)]
async fn replaced_rank_moves() {
    let mut directory = Directory::default();
    record(&mut directory, 1, true, &[1, 2]);
    assert!(record(&mut directory, 2, true, &[1, 3]));
    assert!(directory.group(engine(2)).is_none() && directory.group(engine(3)).is_some());
    assert_eq!(directory.statuses(), [status(2, true, &[1, 3])]);
}
