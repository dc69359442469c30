use std::{net::Ipv4Addr, time::Duration};

use expert::Balancer;
use steer::{Instructions, Lead, Order, Sample, Status, Tuning, digest};
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
        engine: (Ipv4Addr::LOCALHOST, 9000 + rank as u16).into(),
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
        decided: None,
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

/// Returns the skew that remains for the new topic when a plan is made just after the topic changed.
async fn skew_after_change(sudden: f64) -> f64 {
    let tuning = Tuning {
        sudden,
        // Nothing is planned before the change.
        least_skew: 1.45,
        ..tuning()
    };
    let mut lead = Lead::new(tuning, Instant::now());
    lead.allow(6, 2, Duration::from_millis(100));
    let topic = |hot: [usize; 2]| -> Vec<u32> {
        let weight = |expert| if hot.contains(&expert) { 130 } else { 30 };
        (0..EXPERTS).map(weight).collect()
    };
    for _ in 0..12 {
        let told = meet(&mut lead, &topic([0, 1])).await;
        assert!(told.iter().all(|told| told.order.is_none()));
    }
    let changed = topic([4, 8]);
    for _ in 0..6 {
        time::advance(Duration::from_millis(60)).await;
        for rank in 0..RANKS {
            let told = lead.meet(rank, status(rank, changed.clone()), Instant::now());
            if let Some(Order::Prepare { placement, .. }) = told.order {
                let popularity = changed.iter().map(|count| f64::from(*count)).collect();
                return Balancer::skew(&placement, &[popularity]);
            }
        }
    }
    panic!("nothing is planned");
}

#[tokio::test(start_paused = true)]
async fn sudden_change_alone_counts() {
    let (newest, blended) = (skew_after_change(0.2).await, skew_after_change(99.0).await);
    println!("skew for the new topic: {newest:.3}, with older choices as well {blended:.3}");
    assert!(newest < blended);
}

/// Goes with a leader through a change until every rank but the last, whose agent is silent, is armed.
#[tokio::test(start_paused = true)]
async fn silent_agent_is_overdue() {
    let mut lead = lead().first_version(1_000_000);
    let mut fresh = vec![10; EXPERTS];
    fresh[0] = 400;
    let told = meet(&mut lead, &fresh).await;
    let Some(Order::Prepare { version, placement }) = told[0].order.clone() else {
        panic!("{:?}", told[0]);
    };
    assert!(
        version > 1_000_000,
        "later lives use higher versions: {version}"
    );
    let mut pass_held = None;
    let mut known = [None; RANKS];
    let mut decision = None;
    for step in 0..12 {
        time::advance(Duration::from_millis(25)).await;
        let ranks = if step < 6 { RANKS } else { RANKS - 1 };
        for rank in 0..ranks {
            let armed = step >= 6;
            let report = Status {
                pass: 60,
                prepared: (!armed).then_some(version),
                digest: Some(digest(placement.iter().map(|set| &set[rank]))),
                armed: armed.then_some(version),
                held: pass_held.filter(|_| rank == 0),
                decided: known[rank],
                ..status(rank, Vec::new())
            };
            let told = lead.meet(rank, report, Instant::now());
            known[rank] = told.decision.as_ref().map(|decision| decision.version);
            if let Some(Order::Hold { pass }) = told.order {
                assert!(known[1] == Some(version) && known[2] == Some(version));
                pass_held = Some(pass);
            }
            decision = told.decision.or(decision);
        }
    }
    let decision = decision.expect("the deputies know the change");
    assert_eq!(decision.engines.len(), RANKS);
    assert_eq!(
        lead.overdue(Instant::now()),
        None,
        "a short silence is no reason yet"
    );
    time::advance(Duration::from_millis(500)).await;
    assert_eq!(lead.overdue(Instant::now()), Some(decision));
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
