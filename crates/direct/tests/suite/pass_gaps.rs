use std::{sync::Arc, time::Duration};

use direct::{Attempt, Balancer, Comfort, Load, Placement};
use fleet::View;
use tokio::time::{self, Instant};

use crate::support::{SLOTS, attempt, balancer, view};

/// Records gaps of a length, one after another; returns the notices.
async fn play(
    balancer: &mut Balancer,
    view: &View,
    placement: &Placement,
    gap: Duration,
    count: u32,
) -> Vec<Comfort> {
    let mut notices = Vec::new();
    for _ in 0..count {
        time::advance(gap).await;
        let now = Instant::now();
        // Reports of other entries expire, and are renewed several times a second.
        let loads = (0..8).map(|engine| (format!("e{engine}").into(), load(SLOTS - 1)));
        balancer.record_report(&"entry-b".into(), loads.collect(), now);
        notices.extend(balancer.record_gap(view, placement, gap, now).comfort);
    }
    notices
}

fn load(requests: u32) -> Load {
    Load {
        requests,
        pending_tokens: 0,
    }
}

fn status(name: &str, engines: std::ops::Range<u16>) -> group::Status {
    group::Status {
        service: "drafts".into(),
        group: name.into(),
        epoch: 1,
        open: true,
        engines: engines
            .map(|index| ([127, 0, 0, 1], 1000 + index).into())
            .collect(),
    }
}

/// Load pattern: passes of 130 ms at three to four requests on each engine. Failures: the load of another group
/// or a single engine counts, and a notice comes with each event.
#[tokio::test(start_paused = true)]
async fn group_load_measured() {
    let (mut balancer, view, service) = (balancer(), view(8), "drafts".into());
    balancer.record_group(&status("g1", 0..4), Instant::now());
    balancer.record_group(&status("g2", 4..8), Instant::now());
    let choice = balancer.choose(&view, &attempt(&service), Instant::now());
    let placement = choice.unwrap();
    let (gap, now) = (Duration::from_millis(130), Instant::now());
    assert_eq!(balancer.lowest_comfortable_load(&view, now), None);
    let notices = play(&mut balancer, &view, &placement, gap, 24).await;
    let now = Instant::now();
    // 13 requests at 4 engines with 4 slots; a pass without requests lasts 30 ms, and the gap target is 120 ms.
    // Half of the excess at full slots does not depend on the load.
    let excess = (130.0 - 30.0) / (0.5 + 0.5 * 3.25 / 4.0);
    let expected = 4.0 * ((0.95 * 120.0 - 30.0) / excess - 0.5) / 0.5;
    let lowest = balancer.lowest_comfortable_load(&view, now).unwrap();
    assert!((lowest - expected).abs() < 0.01, "{lowest}, not {expected}");
    let [notice] = notices.try_into().unwrap();
    let name = if placement.address.port() < 1004 {
        "g1"
    } else {
        "g2"
    };
    assert_eq!(notice.group.as_deref(), Some(name));
    assert!((notice.load - expected).abs() < 0.01, "{notice:?}");
    assert_eq!(notice.excess.as_micros() / 10, 11_034, "{notice:?}");
    assert_eq!(notice.pass.as_millis(), 130, "{notice:?}");
}

/// Load pattern: an entry whose requests stay in its own group while that of another zone is as loaded. Failure:
/// the group that it does not measure counts with all slots, so that the least urgent fill both.
#[tokio::test(start_paused = true)]
async fn unmeasured_group_alike() {
    let (mut balancer, view, service) = (balancer(), view(8), "drafts".into());
    balancer.record_group(&status("g1", 0..4), Instant::now());
    balancer.record_group(&status("g2", 4..8), Instant::now());
    let choice = balancer.choose(&view, &attempt(&service), Instant::now());
    let gap = Duration::from_millis(130);
    play(&mut balancer, &view, &choice.unwrap(), gap, 24).await;
    let low = Attempt {
        level: 1,
        levels: 2,
        ..attempt(&service)
    };
    let refusal = (0..8).find_map(|_| balancer.choose(&view, &low, Instant::now()).err());
    let detail = refusal.unwrap().to_string();
    // 0.47 of 32 slots; it would be 24 with all slots of the other group.
    assert!(detail.contains("bound 15"), "{detail}");
}

/// Failure: a limit by gaps where the configuration states no gap target.
#[tokio::test(start_paused = true)]
async fn no_target_no_limit() {
    let (mut balancer, mut view, service) = (balancer(), view(8), "drafts".into());
    let mut configuration = view.configuration.as_deref().unwrap().clone();
    for route in &mut configuration.routes {
        Arc::make_mut(route).gap_target = None;
    }
    view.configuration = Some(Arc::new(configuration));
    let choice = balancer.choose(&view, &attempt(&service), Instant::now());
    let gap = Duration::from_millis(130);
    let notices = play(&mut balancer, &view, &choice.unwrap(), gap, 24).await;
    assert_eq!(notices, []);
    let now = Instant::now();
    assert_eq!(balancer.lowest_comfortable_load(&view, now), None);
}
