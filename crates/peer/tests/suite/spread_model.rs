//! Explores the spread of a log over the production transition functions.
//!
//! State: the published log, what each process keeps, one page in flight, the restarts left. Steps: an
//! operator publishes the next of his patches; a process reads any prefix of the log, as a stale replica
//! gives it; a page is sent, lost, delivered once or twice; a process restarts with nothing. Invariants:
//! no life of a process goes back, and each process holds what folding the prefix of the one log gives, so
//! that equal numbers mean equal content and a rejected patch is in force nowhere.

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

/// Processes.
const PROCESSES: usize = 2;

thread_local! {
    /// Results of the production function, by the log taken before and the page.
    static TAKEN: RefCell<HashMap<Input, Arc<History>>> = RefCell::default();
}

/// Rule that a seeded fault skips.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// A reader believes whatever the platform shows.
    Reverts,
    /// A reader takes each patch as one against its own version.
    AnyBase,
    /// A reader does not look at the place where a page begins.
    AnyPlace,
}

/// What the production function depends on: the own log, whether a snapshot began it, and the page.
type Input = ((Digest, bool), Key);

/// Returns whether a snapshot took the place of the first records.
fn is_replaced(history: &History) -> bool {
    history.page(1).is_some_and(|page| page.snapshot.is_some())
}

/// What tells one page from another.
type Key = (u64, Vec<SmolStr>, bool, Digest);

/// Identifies a page by its content and, for a snapshot, the chain that its sender had.
fn identify(page: &Page, chain: Digest) -> Key {
    let records = page.records.clone();
    (page.after, records, page.snapshot.is_some(), chain)
}

#[derive(Clone, Debug)]
struct Process {
    history: Arc<History>,
    /// Highest version of this life.
    highest: u64,
}

impl Process {
    fn key(&self) -> (u64, Version, u64, bool) {
        let fold = self.history.fold();
        let replaced = is_replaced(&self.history);
        (fold.position(), fold.version(), self.highest, replaced)
    }
}

#[derive(Clone, Debug)]
struct State {
    /// Patches published by each operator.
    published: [usize; 2],
    log: Vec<SmolStr>,
    processes: Vec<Process>,
    /// Receiver and content of a page.
    flight: Option<(usize, Arc<Page>, Digest)>,
    restarts: u8,
    /// The step that led here.
    step: String,
}

impl State {
    fn key(&self) -> impl Eq + Hash + '_ {
        let flight = self
            .flight
            .as_ref()
            .map(|(to, page, id)| (*to, page.after, page.records.len(), *id));
        let processes: Vec<_> = self.processes.iter().map(Process::key).collect();
        (&self.log, processes, flight, self.restarts)
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

/// Patches of two operators who race; some fit only if the other is late.
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
        flight: None,
        restarts: 1,
        step: "start".into(),
    }
}

/// Makes a state that follows, or `None` if the step changes nothing.
fn step(from: &State, name: String, change: impl FnOnce(&mut State)) -> Option<State> {
    let mut next = from.clone();
    next.step = name;
    change(&mut next);
    (next != *from).then_some(next)
}

fn take(process: &mut Process, page: &Page, chain: Digest, fault: Fault) {
    let mut page = page.clone();
    let mut history = (*process.history).clone();
    let version = history.fold().version().number;
    match fault {
        Fault::Reverts if page.after == 0 && page.snapshot.is_none() => {
            history = History::default()
        }
        Fault::AnyBase if version > 0 => {
            let known = history.fold().position() - page.after;
            for text in page
                .records
                .iter_mut()
                .skip(usize::try_from(known).unwrap())
            {
                *text = text
                    .replace("\"base\":1", &format!("\"base\":{version}"))
                    .into();
            }
        }
        Fault::AnyPlace => (page.after, page.chain) = (history.fold().position(), None),
        _ => {}
    }
    let own = (history.fold().chain(), is_replaced(&history));
    let key = (own, identify(&page, chain));
    let known = TAKEN.with_borrow(|taken| taken.get(&key).cloned());
    let taken = known.unwrap_or_else(|| {
        let _ = history.apply(&page);
        let history = Arc::new(history);
        TAKEN.with_borrow_mut(|taken| taken.insert(key, history.clone()));
        history
    });
    process.history = taken;
    process.highest = process.highest.max(version);
}

fn next(from: &State, fault: Fault) -> Vec<State> {
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
            let after = match fault {
                Fault::Reverts => 0,
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
                take(&mut s.processes[process], &page, Digest::default(), fault)
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
    all.extend(arrive(from, fault));
    all
}

/// Sends a page to a process from each of the others; an undelivered one is lost.
fn send(from: &State, to: usize) -> Vec<State> {
    let after = from.processes[to].history.fold().position();
    let others = (0..PROCESSES).filter(|p| *p != to);
    let sent = others.filter_map(|p| {
        let page = from.processes[p].history.page(after)?;
        let id = from.processes[p].history.fold().chain();
        step(from, format!("{p} sends to {to}"), |s| {
            s.flight = Some((to, Arc::new(page), id))
        })
    });
    sent.collect()
}

/// Delivers the page in flight, which may come again.
fn arrive(from: &State, fault: Fault) -> Vec<State> {
    let Some((to, page, chain)) = from.flight.clone() else {
        return Vec::new();
    };
    let deliver = |again: bool| {
        step(from, format!("{to} receives, again: {again}"), |s| {
            take(&mut s.processes[to], &page, chain, fault);
            if !again {
                s.flight = None;
            }
        })
    };
    [deliver(true), deliver(false)]
        .into_iter()
        .flatten()
        .collect()
}

/// Returns whether a state breaks an invariant.
fn is_bad(state: &State, folds: &mut HashMap<Vec<SmolStr>, Fold>) -> bool {
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
    for state in bfs_reach(start(), |s| next(s, Fault::None)) {
        states += 1;
        assert!(!is_bad(&state, &mut folds), "{state:?}");
    }
    println!("{states} states, {} prefixes of the log", folds.len());
    assert!(states > 1000);
}

#[test]
fn faults_found() {
    let faults = [
        (Fault::Reverts, 3),
        (Fault::AnyBase, 4),
        (Fault::AnyPlace, 2),
    ];
    for (fault, length) in faults {
        let mut folds = HashMap::new();
        let trace = bfs(&start(), |s| next(s, fault), |s| is_bad(s, &mut folds));
        let trace = trace.unwrap_or_else(|| panic!("{fault:?} was not found"));
        let steps: Vec<_> = trace.iter().skip(1).map(|s| s.step.as_str()).collect();
        println!("{fault:?}: {}", steps.join("; "));
        assert_eq!(steps.len(), length);
    }
}
