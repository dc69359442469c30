use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use peer::{Candidate, Neighbours, choose};
use tokio::time::{Instant, advance};

fn candidates(zones: &[&str], per_zone: u16) -> Vec<Candidate> {
    let port = |zone: usize, i: u16| 1 + u16::try_from(zone).unwrap() * per_zone + i;
    let zones = zones.iter().enumerate();
    zones
        .flat_map(|(z, zone)| {
            (0..per_zone).map(move |i| Candidate {
                address: ([127, 0, 0, 1], port(z, i)).into(),
                zone: Some((*zone).into()),
            })
        })
        .collect()
}

/// Counts the processes in `subset` that its first one reaches over links within the subset, when
/// each chooses its links among `all`.
fn count_reached(all: &[Candidate], subset: &[Candidate]) -> usize {
    let mut links: HashMap<_, HashSet<_>> = HashMap::new();
    for c in subset {
        let zone = c.zone.clone().unwrap();
        let others: Vec<_> = all.iter().filter(|o| *o != c).cloned().collect();
        for other in choose(&c.address.to_string(), &zone, &others) {
            links.entry(c.address).or_default().insert(other);
            links.entry(other).or_default().insert(c.address);
        }
    }
    let allowed: HashSet<_> = subset.iter().map(|c| c.address).collect();
    let mut seen = HashSet::from([subset[0].address]);
    let mut pending = vec![subset[0].address];
    while let Some(address) = pending.pop() {
        for other in &links[&address] {
            if allowed.contains(other) && seen.insert(*other) {
                pending.push(*other);
            }
        }
    }
    seen.len()
}

#[test]
fn links_connect_all() {
    for per_zone in [2, 5, 50, 700] {
        let all = candidates(&["a", "b", "c"], per_zone);
        assert_eq!(count_reached(&all, &all), all.len());
        for zone in all.chunks(usize::from(per_zone)) {
            assert_eq!(
                count_reached(&all, zone),
                zone.len(),
                "links within one zone of {per_zone}"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn unreachable_neighbour_replaced() {
    let all = candidates(&["a", "b"], 5);
    let mut neighbours = Neighbours::new("p".into(), "a".into());
    let first = neighbours.tick(all.clone(), Instant::now());
    assert_eq!(first.len(), 3);
    for _ in 0..8 {
        advance(Duration::from_millis(500)).await;
        for address in &first[1..] {
            neighbours.record_heartbeat(*address, Instant::now());
        }
        let second = neighbours.tick(all.clone(), Instant::now());
        assert!(second.contains(&first[1]) && second.contains(&first[2]));
    }
    let second = neighbours.tick(all, Instant::now());
    assert!(second.len() == 3 && !second.contains(&first[0]));
}
