//! BUDGET: a request that crashes servers is passed on again after each rolling restart of the entries.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{self, CONTACT, Fleet, GRACE, Record},
    http::Client,
};

/// Rolling restarts, and how often the request comes before the first and after each.
const ROLLS: usize = 4;
const ATTEMPTS: usize = 3;
const PAUSE: Duration = Duration::from_secs(1);
/// Time after which a crashed server is back.
const BACK_AFTER: Duration = Duration::from_millis(1500);
/// Retries that may reach servers later than `CONTACT` after the third crash.
const ALLOWED: usize = 3;
const DEADLINE: Duration = Duration::from_secs(8);
const POISON_PATH: &str = "/draft/28x20/poison";

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let mut fleet = Fleet::new(3, "before", record.clone());
    fleet::put_configuration(&fleet.store, true, 0);
    for zone in ["zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"] {
        fleet.add_server("models", zone, false);
    }
    for index in 0..3 {
        fleet.start_entry(index, true);
    }
    if !fleet.wait_until_ready() {
        return Err("the entries are not ready in time".to_owned());
    }
    let mut crashed: Vec<Option<Instant>> = vec![None; fleet.servers.len()];
    for roll in 0..=ROLLS {
        if roll > 0 && has_trouble {
            for index in 0..3 {
                record.add(format!("SIGTERM to front-{}", index + 1));
                fleet.entries[index].signal("TERM");
                if !fleet.entries[index].wait(GRACE) {
                    fleet.entries[index].kill();
                }
                fleet.start_entry(index, false);
                if !fleet.wait_until_ready() {
                    return Err("a restarted entry is not ready in time".to_owned());
                }
            }
        } else if roll > 0 {
            wait(&mut fleet, &mut crashed, Duration::from_secs(10));
        }
        // All machines are in touch again.
        wait(&mut fleet, &mut crashed, CONTACT + Duration::from_millis(500));
        for attempt in 0..ATTEMPTS {
            let address = fleet.entries[attempt % 3].clients;
            let id = format!("poison-{roll}-{attempt}");
            let text = fleet::request("POST", POISON_PATH, &id, DEADLINE, r#"{"prompt":"crashes engines"}"#);
            match Client::connect(address).map(|mut client| client.send(&text, DEADLINE)) {
                Ok(reply) => record.add(format!("{id}: status {} {}", reply.status, reply.reason)),
                Err(e) => record.add(format!("{id}: {e}")),
            }
            wait(&mut fleet, &mut crashed, PAUSE);
        }
        wait(&mut fleet, &mut crashed, BACK_AFTER);
    }
    let events = fleet.events();
    let mut crashes: Vec<Instant> = events.iter().filter(|e| e.what == "crashed").map(|e| e.at).collect();
    crashes.sort();
    let arrivals: Vec<Instant> = events.iter().filter(|e| e.what == "arrived").map(|e| e.at).collect();
    let late = crashes.get(2).map_or(0, |third| arrivals.iter().filter(|at| **at > *third + CONTACT).count());
    record.report(format!(
        "the request was sent {} times and crashed {} servers; {late} arrivals later than {} ms after the third crash, {ALLOWED} are allowed",
        (ROLLS + 1) * ATTEMPTS,
        crashes.len(),
        CONTACT.as_millis()
    ));
    Ok(late > ALLOWED)
}

/// Waits, and starts the servers again that have crashed meanwhile.
fn wait(fleet: &mut Fleet, crashed: &mut [Option<Instant>], span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
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
}
