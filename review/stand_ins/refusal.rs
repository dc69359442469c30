//! REFUSED: orders that have run are answered 503, so that clients place them again.

use std::{thread, time::Duration};

use crate::{
    Verdict,
    fleet::{self, CONTACT, Fleet, Record},
    http::Client,
};

/// Orders, each of which a client sends again once after a refusal, under another request id.
const ORDERS: usize = 600;
const CALLERS: usize = 6;
const DEADLINE: Duration = Duration::from_millis(1500);

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let mut fleet = Fleet::new(2, if has_trouble { "fails" } else { "never" }, record.clone());
    fleet::put_configuration(&fleet.store, true, 0);
    fleet.add_server("ledger", "zone-a", false);
    fleet.crashes = "never";
    for zone in ["zone-b", "zone-c", "zone-a", "zone-b", "zone-c", "zone-a", "zone-b"] {
        fleet.add_server("ledger", zone, false);
    }
    fleet.start_entry(0, true);
    fleet.start_entry(1, true);
    if !fleet.wait_until_ready() {
        return Err("the entries are not ready in time".to_owned());
    }
    thread::sleep(CONTACT);
    let addresses: Vec<_> = fleet.entries.iter().map(|entry| entry.clients).collect();
    let callers = (0..CALLERS).map(|caller| {
        let (address, record) = (addresses[caller % 2], record.clone());
        thread::spawn(move || {
            let mut refused = Vec::new();
            for order in (caller..ORDERS).step_by(CALLERS) {
                for attempt in 0..2 {
                    let id = format!("order-{order}-{attempt}");
                    let text = fleet::request("POST", &format!("/order/15/{order}"), &id, DEADLINE, "{}");
                    let Ok(mut client) = Client::connect(address) else {
                        continue;
                    };
                    let reply = client.send(&text, DEADLINE);
                    record.add(format!("{id}: status {} {}", reply.status, reply.reason));
                    // These say that the request has not run, and only then it is sent again.
                    if ![408, 421, 429, 503].contains(&reply.status) {
                        break;
                    }
                    refused.push(id);
                    thread::sleep(Duration::from_millis(100));
                }
                thread::sleep(Duration::from_millis(20));
            }
            refused
        })
    });
    let callers: Vec<_> = callers.collect();
    let refused: Vec<String> = callers.into_iter().flat_map(|caller| caller.join().unwrap_or_default()).collect();
    let events = fleet.events();
    let ran = fleet::count_by_request(&events, "ran");
    let untrue = refused.iter().filter(|id| ran.contains_key(*id)).count();
    let mut runs = vec![0; ORDERS];
    for event in events.iter().filter(|e| e.what == "ran") {
        let order = event.path.rsplit('/').next().and_then(|text| text.parse::<usize>().ok());
        if let Some(runs) = order.and_then(|order| runs.get_mut(order)) {
            *runs += 1;
        }
    }
    let twice = runs.iter().filter(|runs| **runs > 1).count();
    record.report(format!(
        "{ORDERS} orders; {} refusals, {untrue} of requests that had run; {twice} orders ran twice, as their clients sent them again",
        refused.len()
    ));
    Ok(untrue > 0)
}
