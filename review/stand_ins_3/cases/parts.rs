//! A part far back in long prompts crashes each server that begins to write an answer on it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::crashing::{self, PART, label};
use crate::{
    Setup, Verdict,
    entry::{Entry, SMALL_SITE},
    store::Store,
};

const ENTRIES: u8 = 3;
/// Time for which requests with the part come, and the time between two of them.
const RUN_TIME: Duration = Duration::from_secs(25);
const INTERVAL: Duration = Duration::from_millis(500);
/// `contact_ms` of the site.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Crashes from which on the rule counts, and the requests that may reach servers after that.
const CRASHES: usize = 5;
const ALLOWED: usize = 3;
/// Parts of a prompt, and the index of the one that crashes servers.
const PARTS: usize = 40;
const INDEX: usize = 35;

pub fn run(setup: &Setup) -> Verdict {
    let (store, record) = (Store::default(), setup.record.clone());
    let seen = crashing::start(setup, &store);
    let entries = Entry::start_all(setup, store.start(), SMALL_SITE, ENTRIES);
    thread::sleep(Duration::from_secs(4));
    let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    let started = Instant::now();
    let mut id = 0;
    while started.elapsed() < RUN_TIME {
        // One request with the part and two without it.
        for kind in 0..3 {
            id += 1;
            let address = entries[id as usize % entries.len()].clients;
            let (record, sent, served) = (record.clone(), sent.clone(), served.clone());
            clients.push(thread::spawn(move || {
                let status = crashing::send(address, id, &prompt(id, kind == 0));
                record.line(format!(
                    "request r{id} {} answered {status}",
                    label(kind == 0)
                ));
                if kind > 0 {
                    sent.fetch_add(1, Ordering::Relaxed);
                    served.fetch_add(u64::from(status == 200), Ordering::Relaxed);
                }
            }));
            thread::sleep(INTERVAL / 3);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let (arrivals, crashes) = (
        seen.arrivals.lock().unwrap().clone(),
        seen.crashes.lock().unwrap().clone(),
    );
    record.line(format!(
        "{} requests with the part reached servers, {} crashes; {} of {} other requests were served",
        arrivals.len(),
        crashes.len(),
        served.load(Ordering::Relaxed),
        sent.load(Ordering::Relaxed)
    ));
    let Some(fifth) = crashes.get(CRASHES - 1) else {
        record.line("fewer than five crashes");
        return Verdict::Held;
    };
    let late = arrivals
        .iter()
        .filter(|at| **at > *fifth + CONTACT_TIME)
        .count();
    record.line(format!(
        "{late} of them later than contact_ms after the fifth crash, {ALLOWED} are allowed"
    ));
    match late > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Returns the parts of a long prompt: one that all share, those of a session and, at the end, the request's own.
fn prompt(id: u64, has_part: bool) -> Vec<String> {
    let session = id % 7;
    let parts = (0..PARTS).map(|place| match place {
        0 => "5c1e07a2:40".to_owned(),
        INDEX if has_part => format!("{PART}:20"),
        _ if place == PARTS - 1 => format!("{id:08x}:30"),
        _ => format!("{:08x}:20", 0x9000_0000 + session * 1000 + place as u64),
    });
    parts.collect()
}
