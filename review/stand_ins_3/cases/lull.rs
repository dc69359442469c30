//! A part of a prompt crashes servers after a quiet time; the other parts are shared by sound requests.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use super::crashing::{self, PART};
use crate::{
    Setup, Verdict,
    entry::{Entry, SMALL_SITE},
    record::Record,
    store::Store,
};

const ENTRIES: u8 = 3;
/// Time of calm with sound requests, of the quiet time after it, of the requests with the part alone, and of both kinds.
const CALM_TIME: Duration = Duration::from_secs(10);
const QUIET_TIME: Duration = Duration::from_secs(15);
const ALONE_TIME: Duration = Duration::from_secs(3);
const BOTH_TIME: Duration = Duration::from_secs(25);
/// Time between two sound requests, and between two with the part.
const SOUND_INTERVAL: Duration = Duration::from_millis(250);
const PART_INTERVAL: Duration = Duration::from_millis(500);
/// `contact_ms` of the site.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests of each kind that the rule needs to count.
const LEAST: usize = 20;

/// Sound requests: the time and the id of each.
type Requests = Mutex<Vec<(Duration, String)>>;

struct Clients {
    entries: Vec<SocketAddr>,
    record: Arc<Record>,
    sound: Requests,
    next_id: u64,
    open: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Sends a request; all share the first part, which those with the crashing part share as well.
    fn send(&mut self, has_part: bool) {
        self.next_id += 1;
        let id = self.next_id;
        let address = self.entries[id as usize % self.entries.len()];
        let record = self.record.clone();
        let middle = match has_part {
            true => vec![format!("{PART}:200")],
            false => vec![],
        };
        let parts: Vec<String> = std::iter::once("5c1e07a2:40".to_owned())
            .chain(middle)
            .chain([format!("{id:08x}:30")])
            .collect();
        if !has_part {
            self.sound
                .lock()
                .unwrap()
                .push((record.time(), format!("r{id}")));
        }
        self.open.push(thread::spawn(move || {
            let status = crashing::send(address, id, &parts);
            record.line(format!(
                "request r{id} {} answered {status}",
                crashing::label(has_part)
            ));
        }));
    }
}

pub fn run(setup: &Setup) -> Verdict {
    let (store, record) = (Store::default(), setup.record.clone());
    let seen = crashing::start(setup, &store);
    let entries = Entry::start_all(setup, store.start(), SMALL_SITE, ENTRIES);
    thread::sleep(Duration::from_secs(4));
    let mut clients = Clients {
        entries: entries.iter().map(|entry| entry.clients).collect(),
        record: record.clone(),
        sound: Requests::default(),
        next_id: 0,
        open: Vec::new(),
    };
    let started = Instant::now();
    while started.elapsed() < CALM_TIME {
        clients.send(false);
        thread::sleep(SOUND_INTERVAL);
    }
    let calm_end = record.time();
    record.line("no requests come");
    thread::sleep(QUIET_TIME);
    record.line("requests with the part come");
    let started = Instant::now();
    let mut last_part: Option<Instant> = None;
    while started.elapsed() < ALONE_TIME + BOTH_TIME {
        if last_part.is_none_or(|at| at.elapsed() >= PART_INTERVAL) {
            last_part = Some(Instant::now());
            clients.send(true);
        }
        if started.elapsed() >= ALONE_TIME {
            clients.send(false);
        }
        thread::sleep(SOUND_INTERVAL);
    }
    for client in clients.open {
        let _ = client.join();
    }
    let crashes = seen.crashes.lock().unwrap().clone();
    let from = match crashes.get(4).or(crashes.last()) {
        Some(crash) => *crash + 2 * CONTACT_TIME,
        None => calm_end,
    };
    let (sound, begun) = (clients.sound.lock().unwrap(), seen.begun.lock().unwrap());
    let share = |during: &dyn Fn(Duration) -> bool| {
        let counted = sound.iter().filter(|(at, _)| during(*at));
        let counted: Vec<&String> = counted.map(|(_, id)| id).collect();
        let all = counted.len();
        (
            counted.into_iter().filter(|id| begun.contains(*id)).count(),
            all,
        )
    };
    let (before, all_before) = share(&|at| at < calm_end);
    let (after, all_after) = share(&|at| at > from);
    record.line(format!(
        "{} crashes; of the sound requests, {before} of {all_before} began in calm, and {after} of {all_after} \
         from 2 x contact_ms after the fifth or last crash on",
        crashes.len()
    ));
    assert!(
        all_before >= LEAST && all_after >= LEAST,
        "too few requests"
    );
    let is_broken = (after * all_before * 2) < before * all_after;
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
