use std::time::Duration;

use expert::Balancer;
use steer::{Instructions, Lead, Order, Sample, Status, Tuning};
use tokio::time::{self, Instant};

const RANKS: usize = 4;
const EXPERTS: usize = 16;
const EPOCH: u64 = 3;

fn tuning() -> Tuning {
    Tuning {
        least_mass: 100.0,
        ..Tuning::default()
    }
}

fn status(rank: usize, fresh: Vec<u32>) -> Status {
    let lists = Balancer::initial(1, EXPERTS, RANKS);
    Status {
        epoch: EPOCH,
        ranks: RANKS,
        open: true,
        pass: 10,
        map: 0,
        prepared: None,
        digest: None,
        armed: None,
        held: None,
        busy: false,
        refused: None,
        fresh: Sample::new(&fresh),
        list: Some(vec![lists[0][rank].clone()]),
    }
}

/// Lets every rank report a few times and returns what the ranks were told last.
async fn meet(lead: &mut Lead, fresh: &[u32]) -> Vec<Instructions> {
    let mut told = Vec::new();
    for _ in 0..4 {
        time::advance(Duration::from_millis(120)).await;
        told = (0..RANKS)
            .map(|rank| lead.meet(rank, status(rank, fresh.to_vec()), Instant::now()))
            .collect();
    }
    told
}

fn lead() -> Lead {
    let mut lead = Lead::new(tuning(), Instant::now());
    lead.allow(6, 2, Duration::from_millis(100));
    lead
}

#[tokio::test(start_paused = true)]
async fn uneven_load_is_spread() {
    let mut fresh = vec![10; EXPERTS];
    fresh[0] = 400;
    let told = meet(&mut lead(), &fresh).await;
    let prepares = told
        .iter()
        .filter(|i| matches!(i.order, Some(Order::Prepare { .. })));
    assert_eq!(prepares.count(), RANKS, "{told:?}");
}

#[tokio::test(start_paused = true)]
async fn even_load_stays() {
    let told = meet(&mut lead(), &[10; EXPERTS]).await;
    assert!(told.iter().all(|i| i.order.is_none()), "{told:?}");
}

#[tokio::test(start_paused = true)]
async fn unknown_sizes_stay() {
    let mut lead = Lead::new(tuning(), Instant::now());
    let mut fresh = vec![10; EXPERTS];
    fresh[0] = 400;
    let told = meet(&mut lead, &fresh).await;
    assert!(
        told.iter().all(|i| i.order.is_none()),
        "no configuration names the sizes yet"
    );
}

#[tokio::test(start_paused = true)]
async fn silent_rank_stops_plans() {
    let mut lead = lead();
    let mut fresh = vec![10; EXPERTS];
    fresh[0] = 400;
    for _ in 0..20 {
        time::advance(Duration::from_millis(120)).await;
        for rank in 0..RANKS - 1 {
            let told = lead.meet(rank, status(rank, fresh.clone()), Instant::now());
            assert_eq!(told.order, None, "rank {rank}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn older_epoch_gets_nothing() {
    let mut lead = lead();
    let mut fresh = vec![10; EXPERTS];
    fresh[0] = 400;
    meet(&mut lead, &fresh).await;
    let mut old = status(1, fresh);
    old.epoch = EPOCH - 1;
    assert_eq!(lead.meet(1, old, Instant::now()).order, None);
}
