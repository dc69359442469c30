//! DRAIN: an entry that others tell of changes goes on sending to a server that leaves, once the others have
//! lost power.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{self, Fleet, Record},
    http::Client,
};

/// Zones of the entries: two in each, as on the sheet, and the third and the spare of the first.
const ZONES: [&str; 8] = [
    "zone-a", "zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c",
];
/// Time after which no request may reach a server that is draining.
const DRAIN: Duration = Duration::from_millis(2000);
/// Time after which the server exits: a little longer.
const EXIT_AFTER: Duration = Duration::from_millis(2200);
/// Time without power of the other machines.
const DARK: Duration = Duration::from_millis(3500);
const DEADLINE: Duration = Duration::from_millis(1500);
const CALLERS: usize = 12;

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let mut fleet = Fleet::new(ZONES.len(), "never", record.clone());
    fleet.zones = ZONES.to_vec();
    fleet::put_configuration(&fleet.store, true, 0);
    for zone in ["zone-a", "zone-b", "zone-c"] {
        fleet.add_server("ledger", zone, false);
    }
    for index in 0..ZONES.len() {
        fleet.start_entry(index, true);
    }
    if !fleet.wait_until_ready() {
        return Err("the entries are not ready in time".to_owned());
    }
    thread::sleep(Duration::from_secs(8));
    let spared = (0..ZONES.len()).find(|index| !fleet.is_watching(*index));
    let spared = spared.ok_or("every entry watches the store")?;
    record.report(format!("front-{} is spared", spared + 1));
    let address = fleet.entries[spared].clients;
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS).map(|caller| {
        let (is_over, record) = (is_over.clone(), record.clone());
        thread::spawn(move || {
            let mut lost = 0;
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    break;
                }
                let id = format!("order-{caller}-{number}");
                let text = fleet::request("POST", &format!("/order/100/{id}"), &id, DEADLINE, "{}");
                let Ok(mut client) = Client::connect(address) else {
                    continue;
                };
                let reply = client.send(&text, DEADLINE);
                if !reply.is_success() {
                    record.add(format!("{id}: status {} {}", reply.status, reply.reason));
                    lost += usize::from(reply.status != 503);
                }
                thread::sleep(Duration::from_millis(20));
            }
            lost
        })
    }).collect();
    thread::sleep(Duration::from_secs(2));
    // A new version of the same routes comes just before.
    fleet::put_configuration(&fleet.store, true, 1);
    thread::sleep(Duration::from_millis(300));
    if has_trouble {
        record.add("all other entries lose power");
        (0..ZONES.len()).filter(|index| *index != spared).for_each(|index| fleet.entries[index].kill());
    }
    thread::sleep(Duration::from_millis(50));
    let leaving = (0..3).find(|index| fleet.servers[*index].zone == ZONES[spared]).unwrap_or(0);
    let id = fleet.servers[leaving].id.clone();
    fleet.drain_server(leaving);
    let accepted_at = Instant::now();
    thread::sleep(EXIT_AFTER);
    fleet.kill_server(leaving);
    fleet.store.remove(&format!("servers/{id}"));
    thread::sleep((accepted_at + DARK).saturating_duration_since(Instant::now()));
    if has_trouble {
        (0..ZONES.len()).filter(|index| *index != spared).for_each(|index| fleet.start_entry(index, false));
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    let lost: usize = callers.into_iter().map(|caller| caller.join().unwrap_or(0)).sum();
    let events = fleet.events();
    let arrivals = events.iter().filter(|e| e.what == "arrived" && e.server == id);
    let ages: Vec<_> = arrivals.map(|e| e.at.saturating_duration_since(accepted_at)).collect();
    let late = ages.iter().filter(|age| **age > DRAIN).count();
    record.report(format!(
        "{late} orders reached the leaving server later than {} ms after the store had accepted its leave, the last after {} ms; {lost} orders were lost",
        DRAIN.as_millis(),
        ages.iter().max().map_or(0, Duration::as_millis)
    ));
    Ok(late > 0 || !has_trouble && lost > 0)
}
