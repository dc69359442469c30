//! BUDGET: a request that crashes each server amid its answer is passed on again and again.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{self, CONTACT, Fleet, Record},
    http::Client,
};

/// How often the request comes again, and the time between two of its attempts.
const ATTEMPTS: usize = 12;
const INTERVAL: Duration = Duration::from_secs(3);
/// Time after which a crashed server is back.
const BACK_AFTER: Duration = Duration::from_secs(2);
/// Retries that may reach servers later than `CONTACT` after the third crash.
const ALLOWED: usize = 3;
const DEADLINE: Duration = Duration::from_secs(8);
/// The same path, caller and body each time.
const DRAFT: &str = "/draft/28x20/poison";
const LOOKUP: &str = "/work/20/poison";
const POISON_BODY: &str = r#"{"prompt":"crashes engines"}"#;
/// Callers of other drafts, which each send one after the other.
const CALLERS: usize = 12;

/// How the request crashes servers.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Crash {
    AmidStream,
    AmidPlainAnswer,
    BeforeAnswer,
}

pub fn play(has_trouble: bool, crash: Crash, record: &Record) -> Verdict {
    let crashes = match crash {
        Crash::AmidStream | Crash::AmidPlainAnswer => "amid",
        Crash::BeforeAnswer => "before",
    };
    let poison_path = if crash == Crash::AmidPlainAnswer { LOOKUP } else { DRAFT };
    let mut fleet = Fleet::new(3, if has_trouble { crashes } else { "never" }, record.clone());
    fleet::put_configuration(&fleet.store, true, 0);
    for zone in ["zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"] {
        fleet.add_server("models", zone, false);
    }
    if crash == Crash::AmidPlainAnswer {
        ["zone-a", "zone-b", "zone-c"].iter().for_each(|zone| fleet.add_server("ledger", zone, false));
    }
    for index in 0..3 {
        fleet.start_entry(index, true);
    }
    if !fleet.wait_until_ready() {
        return Err("the entries are not ready in time".to_owned());
    }
    // All machines are in touch once they have run for `CONTACT`.
    thread::sleep(CONTACT);
    let addresses: Vec<_> = fleet.entries.iter().map(|entry| entry.clients).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let (sound, lost) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let address = addresses[caller % addresses.len()];
        let (is_over, sound, lost, record) = (is_over.clone(), sound.clone(), lost.clone(), record.clone());
        callers.push(thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("other-{caller}-{number}");
                let text = fleet::request("POST", &format!("/draft/20x20/{id}"), &id, DEADLINE, "{}");
                let reply = Client::connect(address).map(|mut client| client.send(&text, DEADLINE));
                match reply {
                    Ok(reply) if reply.is_success() => sound.fetch_add(1, Ordering::SeqCst),
                    Ok(reply) => {
                        record.add(format!("{id}: status {} {}", reply.status, reply.reason));
                        lost.fetch_add(1, Ordering::SeqCst)
                    }
                    Err(e) => {
                        record.add(format!("{id}: {e}"));
                        lost.fetch_add(1, Ordering::SeqCst)
                    }
                };
                thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    let started = Instant::now();
    let mut crashed: Vec<Option<Instant>> = vec![None; fleet.servers.len()];
    let mut attempts = Vec::new();
    while started.elapsed() < INTERVAL * ATTEMPTS as u32 {
        if attempts.len() < ATTEMPTS && started.elapsed() >= INTERVAL * attempts.len() as u32 {
            let (number, record) = (attempts.len(), record.clone());
            let address = addresses[number % addresses.len()];
            attempts.push(thread::spawn(move || {
                let id = format!("poison-{number}");
                let text = fleet::request("POST", poison_path, &id, DEADLINE, POISON_BODY);
                record.add(format!("{id}: sent"));
                let reply = Client::connect(address).map(|mut client| client.send(&text, DEADLINE));
                let is_success = reply.as_ref().is_ok_and(|reply| reply.is_success());
                match reply {
                    Ok(reply) => record.add(format!(
                        "{id}: status {}, complete {} {}",
                        reply.status, reply.is_complete, reply.reason
                    )),
                    Err(e) => record.add(format!("{id}: {e}")),
                }
                is_success
            }));
        }
        for (index, crashed_at) in crashed.iter_mut().enumerate() {
            match *crashed_at {
                None if fleet.has_crashed(index) => *crashed_at = Some(Instant::now()),
                Some(at) if at.elapsed() >= BACK_AFTER => {
                    *crashed_at = None;
                    fleet.start_server(index, Duration::ZERO);
                }
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    is_over.store(true, Ordering::SeqCst);
    let served: usize = attempts.into_iter().map(|attempt| usize::from(attempt.join().unwrap_or(false))).sum();
    for caller in callers {
        let _ = caller.join();
    }
    let events = fleet.events();
    let mut crashes: Vec<Instant> = events.iter().filter(|e| e.what == "crashed").map(|e| e.at).collect();
    crashes.sort();
    let poison = events.iter().filter(|e| e.what == "arrived" && e.path == poison_path);
    let arrivals: Vec<Instant> = poison.map(|e| e.at).collect();
    let late = crashes.get(2).map_or(0, |third| arrivals.iter().filter(|at| **at > *third + CONTACT).count());
    record.report(format!(
        "the request was sent {ATTEMPTS} times, reached servers {} times and crashed {} of them; it was served {served} times",
        arrivals.len(),
        crashes.len()
    ));
    record.report(format!(
        "{late} arrivals later than {} ms after the third crash, {ALLOWED} are allowed",
        CONTACT.as_millis()
    ));
    record.report(format!(
        "of the other requests {} were served, {} were lost or refused",
        sound.load(Ordering::SeqCst),
        lost.load(Ordering::SeqCst)
    ));
    if !has_trouble {
        return Ok(served < ATTEMPTS);
    }
    Ok(late > ALLOWED)
}
