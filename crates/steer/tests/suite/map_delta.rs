use expert::{Balancer, Placement};
use steer::{Delta, normalized};

/// Shape of the largest groups: 12 sets of 256 experts on 64 ranks.
const SHAPE: (usize, usize, usize) = (12, 256, 64);

fn initial() -> Placement {
    let (sets, experts, ranks) = SHAPE;
    Balancer::initial(sets, experts, ranks)
}

/// Adds an expert of another rank to every fifth rank of each set.
fn changed(placement: &Placement) -> Placement {
    let mut next = placement.clone();
    for (set, ranks) in next.iter_mut().enumerate() {
        for rank in (0..ranks.len()).step_by(5) {
            let expert = ranks[(rank + 7 + set) % 64][0];
            ranks[rank].insert(0, expert);
        }
    }
    next
}

#[test]
fn differences_applied() {
    let first = normalized(&changed(&initial()));
    let second = normalized(&changed(&first));
    let delta = Delta::between(0, &initial(), &first).unwrap();
    assert_eq!(delta.apply(&delta.initial()), Some(first.clone()));
    let delta = Delta::between(17, &first, &second).unwrap();
    assert_eq!((delta.base, delta.apply(&first)), (17, Some(second)));
}

/// Ranks that are listed in another order hold the same experts.
#[test]
fn order_ignored() {
    let first = changed(&initial());
    let delta = Delta::between(5, &first, &first).unwrap();
    assert_eq!(delta.apply(&normalized(&first)), Some(normalized(&first)));
}

#[test]
fn other_base_refused() {
    let first = changed(&initial());
    let second = changed(&first);
    let delta = Delta::between(5, &first, &second).unwrap();
    let mut other = first.clone();
    other[3][1][0] += 1;
    assert!(delta.apply(&first).is_some());
    assert!(delta.apply(&other).is_none());
    assert!(delta.apply(&vec![vec![vec![0]]]).is_none());
    assert!(Delta::between(5, &vec![vec![vec![0]]], &first).is_none());
}

/// Guards against orders that fill the leader's link. In benchmark run `scale-1` of the largest site, a
/// map took 1.1 s to reach 64 ranks over 6 Mbit/s; the delay is to stay below 0.3 s.
#[test]
fn differences_are_short() {
    let first = normalized(&changed(&initial()));
    let delta = Delta::between(0, &initial(), &first).unwrap();
    let bytes = rmp_serde::to_vec(&delta).unwrap().len();
    let seconds = (bytes * 64 * 8) as f64 / 6e6;
    assert!(seconds < 0.3, "{bytes} bytes, {seconds:.2} s for all ranks");
    let whole = rmp_serde::to_vec(&first).unwrap().len();
    println!("{bytes} bytes, {whole} for the whole map");
}
