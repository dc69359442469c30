//! Bound on the retries of all entries together, which no single entry can see being exceeded.
//!
//! Each test runs fleets of different sizes whose entries know each other at once, late or not at all.

use std::time::Duration;

use conf::id;
use direct::Budget;
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const STEP: Duration = Duration::from_millis(20);
/// Number of entries that the settings name as the minimum; an entry that knows no other assumes it.
const MIN_ENTRIES: usize = 8;
/// Number of entries, and the fixed number of retries that all of them may send in a window.
const FLEETS: [(usize, f64); 3] = [(7, 90.0), (34, 202.0), (300, 1200.0)];

/// When entries know each other.
#[derive(Clone, Copy, Debug)]
enum Contact {
    AtOnce,
    /// After three seconds.
    Late,
    Never,
}

/// What happens to an entry, as functions of its index and the time since the start of the run.
struct Course {
    length: Duration,
    /// Requests per second to one entry.
    rate: Box<dyn Fn(usize, f64) -> f64>,
    /// Whether requests fail and are to be sent again.
    fails: Box<dyn Fn(usize, f64) -> bool>,
    /// Times at which an entry restarts.
    restarts: Box<dyn Fn(usize) -> Vec<f64>>,
    /// Time at which a retry that is sent at a time arrives, and is answered.
    arrives: Box<dyn Fn(f64) -> f64>,
}

impl Default for Course {
    /// Describes a run in which all entries get eight requests a second, all of which fail from ten seconds on.
    fn default() -> Self {
        Self {
            length: Duration::from_secs(35),
            rate: Box::new(|_, _| 8.0),
            fails: Box::new(|_, time| time >= 10.0),
            restarts: Box::new(|_| Vec::new()),
            arrives: Box::new(|time| time),
        }
    }
}

/// Times of all requests and retries of a fleet, in seconds, in ascending order.
#[derive(Default)]
struct Record {
    requests: Vec<f64>,
    retries: Vec<f64>,
}

impl Record {
    /// Runs `entries` entries, which start together for the first time.
    fn of(course: &Course, entries: usize, allowance: f64, contact: Contact) -> Self {
        let start = Instant::now();
        let service = id::Service::from("drafts");
        let new = |now| Budget::new(RATIO, allowance, WINDOW, now);
        let first = new(start).first_start();
        let mut budgets = vec![(first, 0.0); entries];
        let mut fractions: Vec<_> = (0..entries).map(|i| i as f64 / entries as f64).collect();
        let restarts: Vec<_> = (0..entries).map(|i| (course.restarts)(i)).collect();
        let mut in_flight: Vec<(usize, f64)> = Vec::new();
        let mut record = Self::default();
        let steps = course.length.div_duration_f64(STEP) as u32;
        for step in 0..steps {
            let now = start + STEP * step;
            let time = (STEP * step).as_secs_f64();
            in_flight.retain(|(sender, arrival)| {
                let is_due = *arrival <= time;
                if is_due {
                    budgets[*sender].0.record_arrival(&service, now);
                }
                !is_due
            });
            for index in 0..entries {
                let (budget, started) = &mut budgets[index];
                let is_due = |at: &f64| (time - STEP.as_secs_f64()..time).contains(at);
                if restarts[index].iter().any(is_due) {
                    (*budget, *started) = (new(now), time);
                    in_flight.retain(|(sender, _)| *sender != index);
                }
                let known = match contact {
                    Contact::AtOnce => entries,
                    Contact::Late if time - *started >= 3.0 => entries,
                    Contact::Late | Contact::Never => 1,
                };
                fractions[index] += (course.rate)(index, time) * STEP.as_secs_f64();
                while fractions[index] >= 1.0 {
                    fractions[index] -= 1.0;
                    budget.record_request(&service, now);
                    record.requests.push(time);
                    let granted = (course.fails)(index, time)
                        && budget
                            .try_retry(&service, known.max(MIN_ENTRIES), now)
                            .is_ok();
                    if granted {
                        let arrival = (course.arrives)(time);
                        record.retries.push(arrival);
                        in_flight.push((index, arrival));
                    }
                }
            }
        }
        record.retries.sort_by(f64::total_cmp);
        record
    }

    /// Returns by how many retries the fleet's bound is exceeded in the worst window; negative if it holds.
    ///
    /// The requests are those of the same window, of the one before it, or of the one half a window before it.
    fn excess(&self, allowance: f64) -> f64 {
        let count = |times: &[f64], from: f64| {
            let until = from + WINDOW.as_secs_f64();
            times.partition_point(|time| *time < until) - times.partition_point(|t| *t < from)
        };
        let excess = |from: f64| {
            let starts = [0.0, 0.5, 1.0].map(|part| from - part * WINDOW.as_secs_f64());
            let requests = starts.map(|start| count(&self.requests, start));
            let most = requests.into_iter().max().unwrap_or(0);
            count(&self.retries, from) as f64 - RATIO * most as f64 - allowance
        };
        self.retries
            .iter()
            .copied()
            .map(excess)
            .fold(f64::MIN, f64::max)
    }
}

/// Runs fleets of all sizes and degrees of contact, and returns those that exceed the bound.
fn violations(course: &Course) -> Vec<String> {
    let contacts = [Contact::AtOnce, Contact::Late, Contact::Never];
    let runs = FLEETS
        .iter()
        .flat_map(|fleet| contacts.map(|contact| (*fleet, contact)));
    let excesses = runs.map(|((entries, allowance), contact)| {
        let excess = Record::of(course, entries, allowance, contact).excess(allowance);
        (
            excess,
            format!("{entries} entries, contact {contact:?}: {excess:.0} too many"),
        )
    });
    let violations = excesses.filter(|(excess, _)| *excess > 0.0);
    violations.map(|(_, text)| text).collect()
}

/// Guards against processes that spend what they earn beside what their predecessors have just spent.
#[test]
fn restarted_fleet_bounded() {
    let course = Course {
        restarts: Box::new(|_| vec![11.0]),
        ..Course::default()
    };
    assert_eq!(violations(&course), Vec::<String>::new());
}

/// Guards against the same on a planned restart of one entry after the other.
#[test]
fn rolling_restart_bounded() {
    let course = Course {
        restarts: Box::new(|index| vec![10.5 + 0.8 * (index % 7) as f64]),
        ..Course::default()
    };
    assert_eq!(violations(&course), Vec::<String>::new());
}

/// Guards against a part of the allowance for each start.
#[test]
fn repeated_restarts_bounded() {
    let course = Course {
        rate: Box::new(|_, time| if time < 10.0 { 8.0 } else { 2.0 }),
        restarts: Box::new(|index| {
            (0..20)
                .map(|i| 11.0 + (i + index % 2) as f64 * 0.7)
                .collect()
        }),
        ..Course::default()
    };
    assert_eq!(violations(&course), Vec::<String>::new());
}

/// Guards against entries whose retries were earned at different times, where load moves between them.
#[test]
fn moved_load_bounded() {
    let course = Course {
        rate: Box::new(|index, time| match (index % 2 == 0) == (time < 10.0) {
            true => 16.0,
            false => 0.0,
        }),
        fails: Box::new(|_, time| time >= 8.5),
        ..Course::default()
    };
    assert_eq!(violations(&course), Vec::<String>::new());
}

/// Guards against retries that wait behind a cut link and arrive at the same time as later ones.
#[test]
fn delayed_retries_bounded() {
    let course = Course {
        arrives: Box::new(|time| match (11.0..17.0).contains(&time) {
            true => 17.0,
            false => time,
        }),
        ..Course::default()
    };
    assert_eq!(violations(&course), Vec::<String>::new());
}

/// Guards against a bound that holds because hardly anything is sent again.
#[test]
fn budget_used() {
    for (entries, allowance) in FLEETS {
        let record = Record::of(&Course::default(), entries, allowance, Contact::AtOnce);
        let is_late = |time: &&f64| **time >= 20.0;
        let requests = record.requests.iter().filter(is_late).count() as f64;
        let retries = record.retries.iter().filter(is_late).count() as f64;
        let share = retries / requests;
        assert!(share >= 0.8 * RATIO, "{entries} entries: {share:.3}");
    }
}
