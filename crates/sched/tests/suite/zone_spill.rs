use std::{collections::VecDeque, f64::consts::TAU, time::Duration};

use sched::{Latency, Locality, Partition, latency};
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(100);
/// Engines of each zone, and slots of each.
const ENGINES: u32 = 20;
const SLOTS: u32 = 10;
/// Steps after which entries hear of each other's load.
const REPORT_AGE: usize = 5;

/// Builds the partitions of zones `z0`, `z1` and so on, with one group each, from their requests.
fn partitions(requests: &[u32]) -> Vec<Partition> {
    let zones = requests.iter().enumerate();
    zones
        .map(|(zone, &requests)| Partition {
            group: Some(("drafts".into(), format!("g{zone}").into())),
            zone: format!("z{zone}").into(),
            engines: ENGINES,
            slots: ENGINES * SLOTS,
            requests,
        })
        .collect()
}

/// Decides `count` requests at once, with evenly spread random numbers; returns the share that leaves and
/// the number of requests for each zone.
fn decide(
    locality: &mut Locality,
    partitions: &[Partition],
    comfortable: f64,
    count: usize,
    now: Instant,
) -> (f64, Vec<f64>) {
    let (mut share, mut sent) = (0.0, vec![0.0; 5]);
    for index in 0..count {
        let random = (index as f64 + 0.5) / count as f64;
        let service = "drafts".into();
        let decision = locality.choose(&service, partitions, |_| comfortable, random, now);
        share = decision.share;
        sent[decision.zone[1..].parse::<usize>().unwrap()] += 1.0;
    }
    (share, sent)
}

/// Decides for 3 s with the same load; returns what [`decide`] returns after each step.
fn settle(requests: &[u32], comfortable: f64) -> Vec<(f64, Vec<f64>)> {
    let (mut locality, start, all) = (
        Locality::new("z0".into()),
        Instant::now(),
        partitions(requests),
    );
    let mut decide = |step| decide(&mut locality, &all, comfortable, 100, start + step * STEP);
    (0..30).map(&mut decide).collect()
}

/// Requests in flight, as amounts, of ten entries in each of several zones that hear of each other late.
struct Fleet {
    entries: Vec<Locality>,
    /// Requests in flight of each entry in each zone, newest first.
    in_flight: VecDeque<Vec<Vec<f64>>>,
    /// Time that a request takes, in steps.
    duration: f64,
    now: Instant,
}

impl Fleet {
    fn new(zones: usize, duration: f64) -> Self {
        let entry = |index| Locality::new(format!("z{}", index % zones).into());
        Self {
            entries: (0..10 * zones).map(entry).collect(),
            in_flight: [vec![vec![0.0; zones]; 10 * zones]].into(),
            duration,
            now: Instant::now(),
        }
    }

    /// Advances by one step, with a demand of each zone that keeps the given number of requests in flight;
    /// returns the load of each zone and the highest share.
    fn step(&mut self, demand: &[f64]) -> (Vec<f64>, f64) {
        let zones = demand.len();
        let sum = |loads: &[Vec<f64>], zone: usize| loads.iter().map(|l| l[zone]).sum::<f64>();
        let (current, known) = (&self.in_flight[0], self.in_flight.back().unwrap());
        let (mut next, mut highest) = (current.clone(), 0.0);
        for (index, locality) in self.entries.iter_mut().enumerate() {
            let reported = |z: usize| sum(known, z) - known[index][z] + current[index][z];
            let requests: Vec<u32> = (0..zones).map(|z| reported(z).round() as u32).collect();
            let (share, sent) = decide(locality, &partitions(&requests), 10.0, 40, self.now);
            highest = f64::max(highest, share);
            let arriving = demand[index % zones] / 10.0 / self.duration;
            for (load, sent) in next[index].iter_mut().zip(sent) {
                *load += arriving * sent / 40.0 - *load / self.duration;
            }
        }
        let loads = (0..zones).map(|zone| sum(&next, zone)).collect();
        self.in_flight.push_front(next);
        self.in_flight.truncate(REPORT_AGE + 1);
        self.now += STEP;
        (loads, highest)
    }
}

/// Guards against traffic between zones that no one gains from, and against shares that jump or send more
/// than other zones can take.
#[test]
fn excess_leaves_in_steps() {
    // Load of the zones, comfortable load per engine, and the share that leaves after one step.
    let table: &[(&[u32], f64, f64)] = &[
        (&[190, 20, 20], 10.0, 0.0),
        (&[190, 190, 190], 10.0, 0.0),
        // No zone has spare capacity.
        (&[240, 200, 200], 10.0, 0.0),
        (&[240, 230, 210], 10.0, 0.0),
        // The own engines sustain half, with the same load.
        (&[190, 95, 95], 5.0, 0.05),
        (&[90, 20, 20], 5.0, 0.0),
        // Three times the usual work.
        (&[600, 100, 100], 10.0, 0.1),
        (&[600, 100], 10.0, 0.1),
        (&[600, 100, 100, 100, 100], 10.0, 0.1),
    ];
    for (requests, comfortable, share) in table {
        let steps = settle(requests, *comfortable);
        assert_eq!(steps[0].0, 0.0, "{requests:?}");
        assert!(
            (steps[1].0 - share).abs() < 0.02,
            "{requests:?}: {}",
            steps[1].0
        );
        let is_step = |w: &[(f64, _)]| (w[1].0 - w[0].0).abs() <= 0.1 + 1e-9;
        assert!(steps.windows(2).all(is_step), "{requests:?}");
        assert!(
            *share > 0.0 || steps.iter().all(|step| step.0 == 0.0),
            "{requests:?}"
        );
    }
}

#[test]
fn spread_by_spare_capacity() {
    let (_, sent) = &settle(&[400, 50, 150, 200], 10.0)[10];
    assert!(sent[1] > 2.0 * sent[2] && sent[2] > 0.0, "{sent:?}");
    assert_eq!(sent[3], 0.0, "that zone has no spare capacity");
}

/// Guards against a group that spans zones being taken for one of which a part has room.
#[test]
fn spanning_group_is_one() {
    let mut spanning = partitions(&[300, 10, 190]);
    for partition in &mut spanning {
        partition.group = Some(("drafts".into(), "g".into()));
    }
    let (mut locality, start) = (Locality::new("z0".into()), Instant::now());
    for step in 0..20 {
        let (share, _) = decide(&mut locality, &spanning, 10.0, 10, start + step * STEP);
        assert_eq!(share, 0.0);
    }
    // Another group has spare capacity.
    spanning[1].group = Some(("drafts".into(), "h".into()));
    spanning[2].requests = 300;
    let (share, sent) = decide(&mut locality, &spanning, 10.0, 100, start + 20 * STEP);
    assert!(share > 0.0 && sent[1] > 0.0 && sent[2] == 0.0, "{sent:?}");
}

/// Guards against waiting for steps while nothing can run in a zone, the own or another one, and against
/// overloading a zone that has just returned.
#[test]
fn lost_zone_leaves_at_once() {
    let (mut locality, start) = (Locality::new("z0".into()), Instant::now());
    let all = partitions(&[100, 50, 150]);
    decide(&mut locality, &all, 10.0, 1, start);
    let (share, sent) = decide(&mut locality, &all[1..], 10.0, 100, start);
    assert!((share - 1.0).abs() < 1e-9 && sent[0] == 0.0, "{share}");
    assert_eq!((sent[1], sent[2]), (75.0, 25.0), "by spare capacity");
    let (share, sent) = decide(&mut locality, &all[1..2], 10.0, 100, start);
    assert!((share - 1.0).abs() < 1e-9 && sent[2] == 0.0, "{sent:?}");
    let full = partitions(&[0, 200, 200]);
    let (share, _) = decide(&mut locality, &full[1..], 10.0, 1, start + STEP);
    assert!((share - 1.0).abs() < 1e-9, "{share}");
    let mut before = 1.0;
    for step in 0..10 {
        let now = start + (step + 2) * STEP;
        let (share, _) = decide(&mut locality, &all, 10.0, 100, now);
        assert!(share >= before - 0.1 - 1e-9, "{share} after {before}");
        before = share;
    }
    assert!(before < 0.05, "{before}");
}

/// Guards against overload and oscillation when ten entries act on the same late reports.
#[test]
fn late_reports_do_not_oscillate() {
    // Zones, demand of each in requests in flight, time of a request in steps.
    let table: &[(&[f64], f64)] = &[
        (&[600.0, 60.0, 60.0], 20.0),
        (&[600.0, 60.0, 60.0], 4.0),
        (&[600.0, 60.0], 20.0),
        (&[600.0, 600.0, 60.0], 20.0),
        (&[600.0, 600.0, 60.0], 4.0),
        (&[300.0, 40.0, 40.0, 40.0, 40.0], 20.0),
        (&[600.0, 600.0, 600.0, 600.0, 20.0], 20.0),
        (&[600.0, 600.0, 600.0, 600.0, 20.0], 4.0),
    ];
    let capacity = f64::from(ENGINES * SLOTS);
    let beyond = |(a, b): (&f64, &f64)| (a - b).max(0.0);
    for (demand, duration) in table {
        let case = format!("{demand:?} at {duration}");
        let (mut fleet, limits) = (Fleet::new(demand.len(), *duration), [capacity; 5]);
        let (mut min, mut max) = (1.0_f64, 0.0_f64);
        for step in 0..300 {
            let (loads, share) = fleet.step(demand);
            for (load, _) in loads.iter().zip(*demand).filter(|(_, d)| **d < capacity) {
                assert!(*load <= 1.12 * capacity, "{case}: load {load} at {step}");
            }
            if step >= 200 {
                (min, max) = (min.min(share), max.max(share));
                let left: f64 = demand.iter().zip(&loads).map(beyond).sum();
                let excess: f64 = demand.iter().zip(&limits).map(beyond).sum();
                let spare: f64 = limits.iter().zip(*demand).map(beyond).sum();
                let part = left / excess.min(spare);
                assert!(
                    (0.8..1.2).contains(&part),
                    "{case}: {part} of what can leave"
                );
            }
        }
        assert!(max - min < 0.06, "{case}: share {min} to {max}");
    }
}

/// Guards against traffic between zones at the crests of waves that the zones can serve themselves, and
/// against leaving spare capacity elsewhere unused at those that they cannot.
#[test]
fn waves_out_of_phase() {
    for (mean, max_left, max_load) in [(0.6, 0.0, 0.95), (0.85, 0.3, 1.15)] {
        let mut fleet = Fleet::new(3, 20.0);
        let (mut left, mut highest) = (0.0_f64, 0.0_f64);
        for step in 0..450 {
            let phase = f64::from(step) / 150.0;
            let wave = |zone: f64| 200.0 * mean * (1.0 + 0.55 * (TAU * (phase + zone / 3.0)).sin());
            let (loads, share) = fleet.step(&[wave(0.0), wave(1.0), wave(2.0)]);
            left = left.max(share);
            highest = loads.into_iter().fold(highest, f64::max);
        }
        assert!(left <= max_left, "{left} left at {mean}");
        assert!(mean < 0.7 || left > 0.1, "{left} left at {mean}");
        // Without any request that leaves, the crest is 1.55 x mean.
        assert!(highest <= 200.0 * max_load, "load {highest} at {mean}");
    }
}

/// Guards against sends to other zones on the scatter of response times, and against staying at an
/// overloaded endpoint.
#[test]
fn plain_service_predictions() {
    let (mut latency, now) = (Latency::default(), Instant::now());
    let ms = Duration::from_millis;
    for _ in 0..200 {
        latency.record(&"orders".into(), &"own".into(), ms(100), now);
        latency.record(&"orders".into(), &"far".into(), ms(50), now);
    }
    let predict = |endpoint, requests, now| latency.predict("orders", endpoint, requests, 4, now);
    assert_eq!(predict("own", 0, now).as_millis(), 100);
    assert_eq!(predict("own", 7, now).as_millis(), 200);
    let mean = predict("unmeasured", 0, now).as_millis();
    assert!((70..=80).contains(&mean), "{mean}");
    assert_eq!(predict("own", 0, now + ms(10_000)).as_millis(), mean);
    // Times in the own zone and elsewhere, round trip, and whether the request leaves.
    let table = [
        (100, 100, 2, false),
        (100, 89, 2, false),
        (100, 87, 2, true),
        (100, 60, 40, false),
        (200, 100, 2, true),
        (10, 8, 2, false),
    ];
    for (own, elsewhere, round_trip, leaves) in table {
        let is_gain = latency::is_gain(ms(own), ms(elsewhere), ms(round_trip));
        assert_eq!(is_gain, leaves, "{own} ms against {elsewhere} ms");
    }
}
