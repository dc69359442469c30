//! Model check of the replication of the configuration log, on the production transition functions.
//!
//! State: the published log, the history of each process, at most one page in flight, and the
//! restarts that are still possible. Steps: an operator publishes its next patch; a process reads
//! any prefix of the log from the platform, as from a stale replica; a page is sent, lost, or
//! delivered once or more; a process restarts with an empty history.
//!
//! Invariants: the version of a process never decreases within an incarnation, and each process
//! holds the result of folding a prefix of the one log, so that equal versions mean equal content
//! and no process applies a rejected patch.

use std::{
    cell::RefCell,
    collections::HashMap,
    hash::{Hash, Hasher},
    sync::Arc,
};

use conf::{Digest, Fold, History, Page, Version};
use pathfinding::directed::bfs::{bfs, bfs_reach};
use serde_json::json;
use smol_str::SmolStr;

const PROCESSES: usize = 2;

thread_local! {
    /// Memoized results of the production function, by the history before it and the page.
    static RESULTS: RefCell<HashMap<Input, Arc<History>>> = RefCell::default();
}

/// Check that the model leaves out, to see that the search finds the violation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Defect {
    None,
    /// A reader replaces its history by whatever the platform returns, even if that is older.
    AcceptOlder,
    /// A reader applies each patch to its own version instead of the base that the patch names.
    IgnoreBase,
    /// A reader appends a page without checking the position at which the page begins.
    IgnorePosition,
}

/// Input of the production function: digest of the log, whether its first records were replaced by
/// a snapshot, and the page.
type Input = ((Digest, bool), PageKey);

/// Returns whether a snapshot has replaced the first records.
fn starts_with_snapshot(history: &History) -> bool {
    history.page(1).is_some_and(|page| page.snapshot.is_some())
}

/// Position before the page, its records, whether it has a snapshot, and the chain of its sender.
type PageKey = (u64, Vec<SmolStr>, bool, Digest);

/// Returns the identity of a page: its content and the chain of its sender.
///
/// The chain stands for the content of a snapshot; it is the default for a page read from the
/// platform, which has no snapshot.
fn page_key(page: &Page, chain: Digest) -> PageKey {
    let records = page.records.clone();
    (page.after, records, page.snapshot.is_some(), chain)
}

#[derive(Clone, Debug)]
struct Process {
    history: Arc<History>,
    /// Highest version in this incarnation.
    highest: u64,
}

impl Process {
    fn key(&self) -> (u64, Version, u64, bool) {
        let fold = self.history.fold();
        let snapshot = starts_with_snapshot(&self.history);
        (fold.position(), fold.version(), self.highest, snapshot)
    }
}

#[derive(Clone, Debug)]
struct State {
    /// Number of patches that each operator has published.
    published: [usize; 2],
    log: Vec<SmolStr>,
    processes: Vec<Process>,
    /// Receiver and content of the page in flight, and the chain of its sender.
    in_flight: Option<(usize, Arc<Page>, Digest)>,
    restarts: u8,
    /// Description of the step that led to this state.
    step: String,
}

impl State {
    fn key(&self) -> impl Eq + Hash + '_ {
        let in_flight = self
            .in_flight
            .as_ref()
            .map(|(to, page, chain)| (*to, page.after, page.records.len(), *chain));
        let processes: Vec<_> = self.processes.iter().map(Process::key).collect();
        (&self.log, processes, in_flight, self.restarts)
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

/// Returns the patches of one of two concurrent operators; some apply only if the other publishes
/// later.
fn patches(operator: usize) -> Vec<SmolStr> {
    let patch = |base: u64, patch: serde_json::Value| {
        SmolStr::from(json!({ "base": base, "patch": patch }).to_string())
    };
    match operator {
        0 => vec![patch(1, json!({ "zones": { "b": null } }))],
        _ => vec![
            patch(1, json!({ "teams": { "t": { "keys": [] } } })),
            patch(2, json!({ "teams": { "t": { "weight": 0 } } })),
        ],
    }
}

fn start() -> State {
    let document = json!({
        "schema": 1, "services": {}, "endpoints": {}, "teams": {},
        "zones": { "a": { "region": "r" }, "b": { "region": "r" } },
    });
    let process = Process {
        history: Arc::default(),
        highest: 0,
    };
    State {
        published: [0; 2],
        log: vec![
            json!({ "number": 1, "document": document })
                .to_string()
                .into(),
        ],
        processes: vec![process; PROCESSES],
        in_flight: None,
        restarts: 1,
        step: "start".into(),
    }
}

/// Returns the state after a step, or `None` if the step changes nothing.
fn step(from: &State, name: String, change: impl FnOnce(&mut State)) -> Option<State> {
    let mut next = from.clone();
    next.step = name;
    change(&mut next);
    (next != *from).then_some(next)
}

fn apply_page(process: &mut Process, page: &Page, chain: Digest, defect: Defect) {
    let mut page = page.clone();
    let mut history = (*process.history).clone();
    let version = history.fold().version().number;
    match defect {
        Defect::AcceptOlder if page.after == 0 && page.snapshot.is_none() => {
            history = History::default()
        }
        Defect::IgnoreBase if version > 0 => {
            let known_records = history.fold().position() - page.after;
            for text in page
                .records
                .iter_mut()
                .skip(usize::try_from(known_records).unwrap())
            {
                *text = text
                    .replace("\"base\":1", &format!("\"base\":{version}"))
                    .into();
            }
        }
        Defect::IgnorePosition => (page.after, page.chain) = (history.fold().position(), None),
        _ => {}
    }
    let before = (history.fold().chain(), starts_with_snapshot(&history));
    let input = (before, page_key(&page, chain));
    let memoized = RESULTS.with_borrow(|results| results.get(&input).cloned());
    let result = memoized.unwrap_or_else(|| {
        let _ = history.apply(&page);
        let history = Arc::new(history);
        RESULTS.with_borrow_mut(|results| results.insert(input, history.clone()));
        history
    });
    process.history = result;
    process.highest = process.highest.max(version);
}

fn successors(from: &State, defect: Defect) -> Vec<State> {
    let mut all = Vec::new();
    for operator in 0..2 {
        let patch = patches(operator).get(from.published[operator]).cloned();
        all.extend(patch.and_then(|patch| {
            step(from, format!("operator {operator} publishes"), |s| {
                s.log.push(patch);
                s.published[operator] += 1;
            })
        }));
    }
    for process in 0..PROCESSES {
        let position = usize::try_from(from.processes[process].history.fold().position()).unwrap();
        for end in 1..=from.log.len() {
            let after = match defect {
                Defect::AcceptOlder => 0,
                _ => position.saturating_sub(1).min(end),
            };
            let page = Page {
                after: after as u64,
                chain: None,
                records: from.log[after..end].to_vec(),
                snapshot: None,
            };
            let name = format!("{process} reads records {after}..{end}");
            all.extend(step(from, name, |s| {
                apply_page(&mut s.processes[process], &page, Digest::default(), defect)
            }));
        }
        all.extend(send(from, process));
        if from.restarts > 0 {
            all.extend(step(from, format!("{process} restarts"), |s| {
                s.restarts -= 1;
                s.processes[process].highest = 0;
                s.processes[process].history = Arc::default();
            }));
        }
    }
    all.extend(deliver_page(from, defect));
    all
}

/// Returns the states in which another process has sent a page to `to`; a page still in flight is
/// lost.
fn send(from: &State, to: usize) -> Vec<State> {
    let after = from.processes[to].history.fold().position();
    let others = (0..PROCESSES).filter(|p| *p != to);
    let sent = others.filter_map(|p| {
        let page = from.processes[p].history.page(after)?;
        let chain = from.processes[p].history.fold().chain();
        step(from, format!("{p} sends to {to}"), |s| {
            s.in_flight = Some((to, Arc::new(page), chain))
        })
    });
    sent.collect()
}

/// Returns the states after the delivery of the page in flight, which may be duplicated.
fn deliver_page(from: &State, defect: Defect) -> Vec<State> {
    let Some((to, page, chain)) = from.in_flight.clone() else {
        return Vec::new();
    };
    let deliver = |duplicate: bool| {
        step(
            from,
            format!("{to} receives, duplicate: {duplicate}"),
            |s| {
                apply_page(&mut s.processes[to], &page, chain, defect);
                if !duplicate {
                    s.in_flight = None;
                }
            },
        )
    };
    [deliver(true), deliver(false)]
        .into_iter()
        .flatten()
        .collect()
}

/// Returns whether a state violates an invariant; `folds` memoizes the results by prefix of the
/// log.
fn violates_invariant(state: &State, folds: &mut HashMap<Vec<SmolStr>, Fold>) -> bool {
    state.processes.iter().any(|process| {
        let own = process.history.fold();
        let position = usize::try_from(own.position()).unwrap();
        let Some(prefix) = state.log.get(..position) else {
            return true;
        };
        let expected = folds.entry(prefix.to_vec()).or_insert_with(|| {
            let mut fold = Fold::default();
            for text in prefix {
                fold.apply(text).unwrap();
            }
            fold
        });
        own != expected || own.version().number < process.highest
    })
}

#[test]
fn invariants_hold() {
    let mut folds = HashMap::new();
    let mut states = 0_u32;
    for state in bfs_reach(start(), |s| successors(s, Defect::None)) {
        states += 1;
        assert!(!violates_invariant(&state, &mut folds), "{state:?}");
    }
    println!("{states} states, {} prefixes of the log", folds.len());
    assert!(states > 1000);
}

#[test]
fn defects_detected() {
    let defects = [
        (Defect::AcceptOlder, 3),
        (Defect::IgnoreBase, 4),
        (Defect::IgnorePosition, 2),
    ];
    for (defect, length) in defects {
        let mut folds = HashMap::new();
        let trace = bfs(
            &start(),
            |s| successors(s, defect),
            |s| violates_invariant(s, &mut folds),
        );
        let trace = trace.unwrap_or_else(|| panic!("{defect:?} was not detected"));
        let steps: Vec<_> = trace.iter().skip(1).map(|s| s.step.as_str()).collect();
        println!("{defect:?}: {}", steps.join("; "));
        assert_eq!(steps.len(), length);
    }
}
