//! Tests of the first response to a sudden change of the experts in demand, on a simulated group whose
//! ranks report one after the other.

use std::{net::Ipv4Addr, time::Duration};

use expert::{Balancer, Placement};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use steer::{Leader, Order, Sample, Status, Tuning, digest};
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);
const COPY_TIME: Duration = Duration::from_millis(60);
const BASE_PASS_TIME: Duration = Duration::from_millis(40);
const GAP_TARGET: Option<Duration> = Some(Duration::from_millis(120));
/// Time of the shift of demand, after the first report.
const SHIFT: u32 = 2000;
/// Choices per set in a millisecond, over all ranks.
const CHOICES: f64 = 100.0;

/// Switch as it was ordered; times are in milliseconds after the shift.
#[derive(Clone, Debug, Default, PartialEq)]
struct Begun {
    version: u64,
    at: i64,
    /// Number of experts that ranks copy, in total and on the rank that copies most.
    copies: usize,
    most_copies: usize,
    /// Number of passes between the current one and the first one that was to be held.
    lead: u64,
    /// Time at which all ranks used the map.
    used_at: Option<i64>,
}

#[derive(Clone, Debug, Default)]
struct Rank {
    next_report: u32,
    /// Time of the last count; the first one yields no sample.
    counts_read: Option<u32>,
    /// Map that is being copied, and the time until which.
    copying: Option<(u64, u32)>,
    prepared: Option<u64>,
    armed: Option<(u64, u64)>,
    decided: Option<u64>,
    list_requested: bool,
}

struct Group {
    sets: usize,
    experts: usize,
    /// Minimum time between two counts of a rank, as agents keep it.
    count_interval: u32,
    started_at: Instant,
    time: u32,
    leader: Leader,
    ranks: Vec<Rank>,
    placement: Placement,
    map: u64,
    next_placement: Option<Placement>,
    pass: u64,
    pass_began: u32,
    held: Option<u64>,
    begun: Vec<Begun>,
    random: SmallRng,
}

/// Returns tuning with a first response for groups of any size.
fn tuning() -> Tuning {
    Tuning {
        first_max_counts: usize::MAX,
        ..Tuning::default()
    }
}

impl Group {
    /// Creates a group; reports are spread over the interval between two counts, unless `in_step`.
    fn new(ranks: usize, sets: usize, experts: usize, in_step: bool) -> Self {
        let count_interval = (130 * sets * experts / 1000).max(110) as u32;
        let rank = |index: usize| Rank {
            next_report: if in_step {
                0
            } else {
                index as u32 * count_interval.next_multiple_of(120) / ranks as u32
            },
            ..Rank::default()
        };
        let now = Instant::now();
        let mut group = Self {
            sets,
            experts,
            count_interval,
            started_at: now,
            time: 0,
            leader: Leader::new(tuning(), now),
            ranks: (0..ranks).map(rank).collect(),
            placement: Balancer::initial(sets, experts, ranks),
            map: 0,
            next_placement: None,
            pass: 10,
            pass_began: 0,
            held: None,
            begun: Vec::new(),
            random: SmallRng::seed_from_u64(1),
        };
        group.configure(GAP_TARGET);
        group
    }

    fn configure(&mut self, gap_target: Option<Duration>) {
        let slots = self.experts.div_ceil(self.ranks.len()) + 4;
        self.leader.set_limits(slots, 4, COPY_TIME);
        self.leader.set_gap_target(BASE_PASS_TIME, gap_target);
    }

    /// Replaces the leader by one that knows nothing.
    fn restart_leader(&mut self) {
        let version = 1_000_000 + self.map;
        self.leader = Leader::new(tuning(), self.now()).min_version(version);
        self.configure(GAP_TARGET);
    }

    fn now(&self) -> Instant {
        self.started_at + MS * self.time
    }

    /// Returns the share of each expert: uniform before the shift; after it, three experts of the first
    /// rank of the initial placement are in demand, such that the skew is 2.6.
    fn shares(&self, after: bool) -> Vec<f64> {
        let hot = |expert: usize| after && expert.is_multiple_of(self.ranks.len());
        let ranks = self.ranks.len() as f64;
        let mean = self.experts as f64 / ranks;
        let factor = 1.0 + 1.6 * mean / 3.0 / (1.0 - 2.6 / ranks);
        let mut weights: Vec<f64> = (0..self.experts)
            .map(|expert| {
                let among_first = expert / self.ranks.len() < 3;
                if hot(expert) && among_first {
                    factor
                } else {
                    1.0
                }
            })
            .collect();
        let total: f64 = weights.iter().sum();
        weights.iter_mut().for_each(|weight| *weight /= total);
        weights
    }

    fn skew(&self) -> f64 {
        let shares = self.shares(self.time > SHIFT);
        Balancer::skew(&self.placement, &vec![shares; self.sets]).unwrap()
    }

    /// Returns what a rank has counted since its last sample, with sampling noise.
    fn count(&mut self, rank: usize) -> Vec<u32> {
        let Some(since) = self.ranks[rank].counts_read.replace(self.time) else {
            return Vec::new();
        };
        let after = self.time.saturating_sub(SHIFT.max(since));
        let before = self.time - since - after;
        let (old, new) = (self.shares(false), self.shares(true));
        let rate = CHOICES / self.ranks.len() as f64;
        let mut counts = Vec::new();
        for _ in 0..self.sets {
            for (old, new) in old.iter().zip(&new) {
                let mean = rate * (old * f64::from(before) + new * f64::from(after));
                // A sum of twelve uniform numbers has nearly a normal distribution.
                let noise = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
                counts.push((mean + noise * mean.sqrt()).max(0.0).round() as u32);
            }
        }
        counts
    }

    fn report(&mut self, rank: usize) {
        let read_at = self.ranks[rank].counts_read;
        let due = read_at.is_none_or(|at| self.time - at >= self.count_interval);
        let counts = if due { self.count(rank) } else { Vec::new() };
        let digest = self.next_placement.as_ref().map(|p| list_digest(p, rank));
        let state = &self.ranks[rank];
        let list = self.placement.iter().map(|set| set[rank].clone()).collect();
        let status = Status {
            engine: (Ipv4Addr::LOCALHOST, 9000 + rank as u16).into(),
            epoch: 1,
            ranks: self.ranks.len(),
            open: true,
            pass: self.pass,
            map: self.map,
            prepared: state.prepared,
            digest: digest.filter(|_| state.prepared.is_some()),
            armed: state.armed.map(|(version, _)| version),
            held: self.held.filter(|_| rank == 0),
            busy: state.copying.is_some(),
            decided: state.decided,
            refused: None,
            counts: Sample::new(&counts),
            list: Some(list).filter(|_| state.list_requested),
        };
        let now = self.now();
        let instructions = self.leader.handle_report(rank, status, now);
        let decided = instructions.decision.map(|decision| decision.version);
        let state = &mut self.ranks[rank];
        state.list_requested = instructions.list;
        state.decided = decided.filter(|_| (1..=2).contains(&rank));
        let pause = if instructions.order.is_some() {
            3
        } else {
            instructions.pause.as_millis() as u32
        };
        state.next_report = self.time + pause;
        if let Some(order) = instructions.order {
            self.apply(rank, order);
        }
    }

    fn apply(&mut self, rank: usize, order: Order) {
        let at = i64::from(self.time) - i64::from(SHIFT);
        match order {
            Order::Prepare { version, placement } => {
                let added = |rank: usize| {
                    let sets = self.placement.iter().zip(&placement);
                    sets.map(|(old, new)| {
                        new[rank].iter().filter(|e| !old[rank].contains(e)).count()
                    })
                    .sum::<usize>()
                };
                if self.begun.last().is_none_or(|last| last.version != version) {
                    let all: Vec<usize> = (0..self.ranks.len()).map(added).collect();
                    self.begun.push(Begun {
                        version,
                        at,
                        copies: all.iter().sum(),
                        most_copies: all.iter().copied().max().unwrap(),
                        ..Begun::default()
                    });
                }
                let until = self.time + added(rank) as u32 * COPY_TIME.as_millis() as u32;
                self.ranks[rank].copying = Some((version, until));
                self.next_placement = Some(placement);
            }
            Order::Hold { pass } => {
                if pass > self.pass && self.held.is_none() {
                    self.held = Some(pass);
                    let lead = pass - self.pass;
                    self.begun.iter_mut().last().unwrap().lead = lead;
                }
            }
            Order::Arm { version, pass } => {
                if self.ranks[rank].prepared == Some(version) && pass > self.pass {
                    self.ranks[rank].armed = Some((version, pass));
                }
            }
            Order::Go { pass } => self.held = self.held.filter(|held| *held != pass),
        }
    }

    /// Begins the next pass if the current one has ended; all ranks must then use the same map.
    fn advance_pass(&mut self) {
        let work = (30.0 * self.skew()) as u32;
        let ended = self.time - self.pass_began >= BASE_PASS_TIME.as_millis() as u32 + work;
        if !ended || self.held == Some(self.pass + 1) {
            return;
        }
        self.pass += 1;
        self.pass_began = self.time;
        let pass = self.pass;
        let armed = |rank: &Rank| rank.armed.is_some_and(|(_, at)| at == pass);
        let count = self.ranks.iter().filter(|rank| armed(rank)).count();
        assert!(
            count == 0 || count == self.ranks.len(),
            "{count} ranks switched"
        );
        if count > 0 {
            self.map = self.ranks[0].armed.unwrap().0;
            self.placement = self.next_placement.take().unwrap();
            for rank in &mut self.ranks {
                (rank.armed, rank.prepared) = (None, None);
            }
            let used_at = i64::from(self.time) - i64::from(SHIFT);
            self.begun.iter_mut().last().unwrap().used_at = Some(used_at);
        }
    }

    fn step(&mut self) {
        self.time += 1;
        self.advance_pass();
        for rank in 0..self.ranks.len() {
            let copied = self.ranks[rank].copying.filter(|(_, at)| *at <= self.time);
            if let Some((version, _)) = copied {
                self.ranks[rank].copying = None;
                self.ranks[rank].prepared = Some(version);
            }
            if self.ranks[rank].next_report <= self.time {
                self.report(rank);
            }
        }
    }

    /// Runs until a time after the shift, in milliseconds.
    fn run(&mut self, until: u32) {
        while self.time < SHIFT + until {
            self.step();
        }
    }
}

fn list_digest(placement: &Placement, rank: usize) -> u64 {
    digest(placement.iter().map(|set| &set[rank]))
}

fn small_group() -> Group {
    Group::new(8, 4, 64, false)
}

/// Guards against a group that waits for a long change of its map while its passes are too slow.
#[tokio::test]
async fn first_response_precedes_plan() {
    let mut group = small_group();
    group.run(2000);
    println!("{:#?} skew {:.3}", group.begun, group.skew());
    let [first, second] = &group.begun[..] else {
        panic!("{:?}", group.begun);
    };
    assert!((0..=270).contains(&first.at), "{first:?}");
    assert_eq!(first.most_copies, 1, "{first:?}");
    assert_eq!(first.lead, 2, "{first:?}");
    assert!(first.used_at.is_some_and(|at| at <= 700), "{first:?}");
    let pause = second.at - first.used_at.unwrap();
    assert!((0..=60).contains(&pause), "{second:?}");
    assert!(second.most_copies > 1 && second.lead >= 3, "{second:?}");
    assert!(second.used_at.is_some() && group.skew() < 1.6);
    assert_eq!(group.leader.take_first_responses(), 1);
}

/// Guards against a plan from samples that were counted partly before the change.
#[tokio::test]
async fn mixed_samples_wait() {
    // All ranks count at the same moments, 120 ms apart, the first rank last. The first sample after the
    // shift is mixed, at the given time after it; the next one, at least 110 ms later, is the first that
    // is not.
    for (moment, mixed_at) in [(60, 100), (30, 70), (0, 40)] {
        let mut group = Group::new(8, 4, 64, true);
        for rank in &mut group.ranks {
            rank.next_report = moment;
        }
        group.ranks[0].next_report += 1;
        group.run(2000);
        println!("mixed at {mixed_at}: {:?}", group.begun);
        let first = group.begun.first().unwrap();
        assert!(first.at >= mixed_at + 110, "{first:?}");
        assert!(group.skew() < 1.6, "{:.3}", group.skew());
    }
}

/// Guards against a plan that begins while a change has just begun, before the change counts as sudden.
#[tokio::test]
async fn newest_samples_agree() {
    let mut group = Group::new(8, 4, 64, true);
    let tuning = Tuning {
        // No change is sudden, and plans use the newest counts almost alone.
        sudden_rise: 9.0,
        long_term_share: 0.0,
        decay_time: MS * 50,
        min_choices: 5_000.0,
        ..Tuning::default()
    };
    group.leader = Leader::new(tuning, group.now());
    group.configure(Some(MS * 100));
    // All ranks count 100 ms after the shift, the first rank last.
    for rank in &mut group.ranks {
        rank.next_report = 60;
    }
    group.ranks[0].next_report += 1;
    group.run(2000);
    println!("{:?}", group.begun);
    assert!(group.begun[0].at >= 210, "{:?}", group.begun);
    assert!(group.skew() < 1.6, "{:.3}", group.skew());
}

/// Guards against a change of what groups do whose routes state no longest pause, or one far above the
/// duration of their passes.
#[tokio::test]
async fn no_target_unchanged() {
    let mut plain = small_group();
    plain.configure(None);
    plain.run(2000);
    let mut lenient = small_group();
    lenient.configure(Some(Duration::from_secs(2)));
    lenient.run(2000);
    println!("{:#?}", plain.begun);
    assert_eq!(plain.begun, lenient.begun);
    // As before first responses were added.
    let begun: Vec<_> = plain
        .begun
        .iter()
        .map(|b| (b.at, b.copies, b.used_at))
        .collect();
    assert_eq!(begun, [(161, 24, Some(779))]);
    assert_eq!(plain.leader.take_first_responses(), 0);
    assert_eq!(lenient.leader.take_first_responses(), 0);
}

/// Guards against samples of large groups, which come spread over 225 ms, that never agree.
#[tokio::test]
async fn large_group_answered() {
    let mut group = Group::new(72, 7, 248, false);
    group.run(1500);
    println!("{:#?} skew {:.3}", group.begun, group.skew());
    let first = &group.begun[0];
    assert!((225..=350).contains(&first.at), "{first:?}");
    assert_eq!(first.most_copies, 1, "{first:?}");
    assert!(first.used_at.is_some(), "{first:?}");
    assert!(group.skew() < 1.6, "{:.3}", group.skew());
}

/// Guards against a first response that a restart of the leader leaves undone, with a pass held for ever.
#[tokio::test]
async fn restarted_leader_completes() {
    let mut group = small_group();
    while group.held.is_none() {
        group.step();
        assert!(group.time < SHIFT + 2000, "no pass is held");
    }
    let first = group.begun[0].clone();
    assert_eq!(first.most_copies, 1, "{first:?}");
    group.restart_leader();
    while group.map != first.version {
        group.step();
        assert!(
            group.time < SHIFT + 2000,
            "the first response is not completed"
        );
    }
    group.run(5000);
    println!("{:#?} skew {:.3}", group.begun, group.skew());
    assert!(group.skew() < 1.6);
}
