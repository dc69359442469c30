//! FAILBACK: servers that come back cold under their ids get their whole share at once.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{self, COLD_OVERSHOOT, COLD_SLACK, CONTACT, Fleet, Record},
    http::Client,
};

/// Requests per second that a cold server bears, at which it crashes, and how long it is cold.
const COLD_PER_S: u32 = 6;
const CRASH_PER_S: usize = 60;
const COLD: Duration = Duration::from_secs(5);
/// Length of an outage of the store, and the time in it at which the servers go down.
const OUTAGE: Duration = Duration::from_millis(4500);
const DOWN_FROM: Duration = Duration::from_millis(300);
/// Rounds: how long the servers are down, and whether the store is down meanwhile.
const ROUNDS: [(Duration, bool); 6] = [
    (Duration::from_millis(800), false),
    (Duration::from_millis(900), false),
    (Duration::from_millis(2900), false),
    (Duration::from_millis(1000), true),
    (Duration::from_millis(1500), true),
    (Duration::from_millis(2200), true),
];
/// Time between the end of a cold start and the next round.
const REST: Duration = Duration::from_secs(3);
const DEADLINE: Duration = Duration::from_millis(1500);
/// Servers, all in one zone.
const SERVERS: usize = 3;
/// Callers and the pause of each between two look-ups: some 220 look-ups a second in all.
const CALLERS: usize = 30;
const PAUSE: Duration = Duration::from_millis(120);

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let mut fleet = Fleet::new(3, "never", record.clone());
    fleet.cold_limit = CRASH_PER_S;
    fleet::put_configuration(&fleet.store, true, COLD_PER_S);
    for _ in 0..SERVERS {
        fleet.add_server("ledger", "zone-a", true);
    }
    for index in 0..3 {
        fleet.start_entry(index, true);
    }
    if !fleet.wait_until_ready() {
        return Err("the entries are not ready in time".to_owned());
    }
    let addresses: Vec<_> = fleet.entries.iter().map(|entry| entry.clients).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let (served, failed) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let sent: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let address = addresses[caller % addresses.len()];
        let (is_over, served, failed) = (is_over.clone(), served.clone(), failed.clone());
        let (record, sent) = (record.clone(), sent.clone());
        callers.push(thread::spawn(move || {
            let mut client = None;
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("{caller}-{number}");
                let text = fleet::request("GET", &format!("/work/15/{id}"), &id, DEADLINE, "");
                let connected = client.take().map_or_else(|| Client::connect(address), Ok);
                if let Ok(mut connected) = connected {
                    sent.lock().unwrap().insert(id.clone(), Instant::now());
                    let reply = connected.send(&text, DEADLINE);
                    if reply.is_success() {
                        served.fetch_add(1, Ordering::SeqCst);
                    } else {
                        record.add(format!("{id}: status {} {}", reply.status, reply.reason));
                        // A refusal says that the request has not run; all other failures lose it.
                        failed.fetch_add(usize::from(reply.status != 503), Ordering::SeqCst);
                    }
                    client = reply.is_complete.then_some(connected);
                }
                thread::sleep(PAUSE);
            }
        }));
    }
    // All machines are in touch, and the servers get their usual load.
    thread::sleep(CONTACT + Duration::from_secs(1));
    let bound = f64::from(COLD_PER_S) * COLD_OVERSHOOT + COLD_SLACK;
    let mut exceeded = 0;
    for (down_for, has_outage) in ROUNDS {
        let started = Instant::now();
        let wait_until = |at: Duration| thread::sleep((started + at).saturating_duration_since(Instant::now()));
        if has_trouble && has_outage {
            record.add("the store is down");
            fleet.store.set_down(true);
        }
        let back_at = started + DOWN_FROM + down_for;
        if has_trouble {
            wait_until(DOWN_FROM);
            (0..SERVERS).for_each(|index| fleet.kill_server(index));
            wait_until(DOWN_FROM + down_for);
            (0..SERVERS).for_each(|index| fleet.start_server(index, COLD));
        }
        let failed_before = failed.load(Ordering::SeqCst);
        let end = back_at + COLD;
        let mut crashed: Vec<Option<Instant>> = vec![None; SERVERS];
        while Instant::now() < end || crashed.iter().any(Option::is_some) {
            if has_outage && started.elapsed() >= OUTAGE && fleet.store.set_down(false) {
                record.add("the store is up");
            }
            for (index, crashed_at) in crashed.iter_mut().enumerate() {
                match *crashed_at {
                    None if fleet.has_crashed(index) => *crashed_at = Some(Instant::now()),
                    Some(at) if at.elapsed() >= Duration::from_secs(2) => {
                        *crashed_at = None;
                        fleet.start_server(index, COLD);
                    }
                    _ => {}
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        let events = fleet.events();
        let crashes = events.iter().filter(|e| e.what == "crashed" && e.at >= back_at).count();
        let sent_at = sent.lock().unwrap().clone();
        let most = fleet.servers.iter().map(|server| {
            let arrivals = events.iter().filter(|e| e.what == "arrived" && e.server == server.id);
            let cold = arrivals.filter(|e| e.at >= back_at && e.at < end);
            let times = cold.filter_map(|e| Some((*sent_at.get(&e.request)?, e.at)));
            most_in_a_second(times.collect())
        });
        let most = if has_trouble { most.max().unwrap_or(0) } else { 0 };
        record.report(format!(
            "servers down for {} ms, store {}: a cold server got up to {most} requests in a second, {bound} are allowed; {crashes} crashes, {} look-ups lost",
            down_for.as_millis(),
            if has_outage { "down" } else { "up" },
            failed.load(Ordering::SeqCst) - failed_before
        ));
        exceeded += usize::from(most as f64 > bound);
        thread::sleep(REST);
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let served = served.load(Ordering::SeqCst);
    record.report(format!("{served} look-ups served; the bound was exceeded in {exceeded} of {} rounds", ROUNDS.len()));
    Ok(exceeded > 0 || !has_trouble && failed.load(Ordering::SeqCst) > 0)
}

/// Returns the largest number of requests that were both sent and arrived within one second.
fn most_in_a_second(times: Vec<(Instant, Instant)>) -> usize {
    let counts = times.iter().map(|(start, _)| {
        let end = *start + Duration::from_secs(1);
        times.iter().filter(|(sent, arrived)| sent >= start && *arrived < end).count()
    });
    counts.max().unwrap_or(0)
}
