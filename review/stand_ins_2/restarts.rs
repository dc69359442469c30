//! Case: all entries are killed at once between the times that a request comes which crashes servers.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    Outcome, Trial, fleet,
    leavers::{Crashes, SERVERS, configuration, judge, run_server, send},
    server::Runs,
    store::Store,
};

/// `contact_ms` of the sheet.
const CONTACT_TIME: Duration = Duration::from_millis(5000);
/// Number of times that all entries are killed, and number of times that the request comes after each start.
const KILLS: usize = 3;
const ATTEMPTS: usize = 2;
/// Time from the kill of a process until the platform starts it again.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// Plays the case.
pub fn play(trial: &Trial) -> Outcome {
    let Trial {
        record,
        folder,
        trouble,
    } = trial;
    let (store, runs, crashes) = (Store::default(), Runs::default(), Arc::<Crashes>::default());
    let zones = ["soweto", "tembisa", "midrand"];
    for number in 0..SERVERS {
        let zone = zones[number % zones.len()];
        run_server(number, zone, store.clone(), runs.clone(), crashes.clone());
    }
    thread::sleep(Duration::from_millis(200));
    store.put("op/config", Some(&configuration()));
    let Some(mut entries) = fleet::start(store.start(), &zones, folder) else {
        return Outcome::Invalid;
    };
    record.line(&format!("{} entries are ready", entries.len()));
    for round in 0..=KILLS {
        if round > 0 && *trouble {
            entries.iter_mut().for_each(fleet::Entry::kill);
            record.line("all entries are killed");
            thread::sleep(DOWN_TIME);
            entries.iter_mut().for_each(fleet::Entry::start_again);
            if !fleet::wait_until_ready(&entries) {
                return Outcome::Invalid;
            }
            record.line("all entries are ready again");
        }
        // From then on the entries are in touch.
        thread::sleep(CONTACT_TIME + Duration::from_secs(1));
        for attempt in 0..ATTEMPTS {
            let entry = entries[(round + attempt) % entries.len()].address;
            send(
                entry,
                &format!("9c41d07be2a5{round:02x}{attempt:02x}"),
                false,
                record,
            );
            thread::sleep(Duration::from_millis(1500));
        }
    }
    judge(record, &runs, &crashes, CONTACT_TIME)
}
