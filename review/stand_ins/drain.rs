//! LOST: streams that a client sends more than three seconds after the SIGTERM of an entry are cut.

use std::{
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{self, Fleet, GRACE, Record},
    http::{Client, Reply},
};

/// Time after the SIGTERM up to which requests are excused if their server still works late in the grace period.
const EXCUSED: Duration = Duration::from_secs(3);
/// Client's deadline and the route's timeout.
const DEADLINE: Duration = Duration::from_secs(8);
/// A stream of 5 s.
const PATH: &str = "/draft/50x100";
/// Number of clients and the interval at which they send, from `FIRST` after the SIGTERM.
const CLIENTS: u32 = 48;
const INTERVAL: Duration = Duration::from_millis(50);
const FIRST: Duration = Duration::from_millis(800);

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let mut fleet = Fleet::new(2, "never", record.clone());
    fleet::put_configuration(&fleet.store, false, 0);
    for zone in ["zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"] {
        fleet.add_server("models", zone, false);
    }
    fleet.start_entry(0, true);
    fleet.start_entry(1, true);
    if !fleet.wait_until_ready() {
        return Err("the entries are not ready in time".to_owned());
    }
    let address = fleet.entries[0].clients;
    // Each client keeps its connection after a first request.
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = Client::connect(address).map_err(|e| e.to_string())?;
        let text = fleet::request("POST", "/draft/2x10/first", &format!("first-{number}"), DEADLINE, "{}");
        if !client.send(&text, DEADLINE).is_success() {
            return Err("a first request fails".to_owned());
        }
        clients.push(client);
    }
    if has_trouble {
        fleet.entries[0].signal("TERM");
    }
    // The signal was sent by now.
    let stopped_at = Instant::now();
    if has_trouble {
        record.add_at(stopped_at, "SIGTERM to front-1");
    }
    let (sender, receiver) = mpsc::channel::<(u32, Reply)>();
    for (number, mut client) in (0..).zip(clients) {
        let (sender, record) = (sender.clone(), record.clone());
        thread::spawn(move || {
            let due = stopped_at + FIRST + INTERVAL * number;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let path = format!("{PATH}/{number}");
            let text = fleet::request("POST", &path, &format!("stream-{number}"), DEADLINE, "{}");
            let reply = client.send(&text, DEADLINE);
            record.add_at(reply.sent_at, format!("client {number}: sent stream-{number}"));
            let events = reply.head.body.windows(4).filter(|bytes| bytes == b"id: ").count();
            record.add_at(
                reply.ended_at,
                format!(
                    "client {number}: status {}, {events} events, complete {} {}",
                    reply.status, reply.is_complete, reply.reason
                ),
            );
            let _ = sender.send((number, reply));
        });
    }
    drop(sender);
    if has_trouble {
        let left = (stopped_at + GRACE).saturating_duration_since(Instant::now());
        if !fleet.entries[0].wait(left) {
            record.add("front-1 is killed at the end of its grace period");
            fleet.entries[0].kill();
        }
        record.add("front-1 has ended");
    }
    let replies: Vec<_> = receiver.iter().collect();
    let arrived = fleet::count_by_request(&fleet.events(), "ran");
    let (mut late, mut cut) = (0, 0);
    for (number, reply) in &replies {
        let was_passed_on = arrived.contains_key(&format!("stream-{number}"));
        let is_excused = reply.sent_at.duration_since(stopped_at) <= EXCUSED;
        let is_in_time = reply.ended_at.duration_since(reply.sent_at) + Duration::from_millis(500) < DEADLINE;
        if !was_passed_on || is_excused {
            continue;
        }
        late += 1;
        if !reply.is_complete && is_in_time {
            cut += 1;
        }
    }
    let complete = replies.iter().filter(|(_, reply)| reply.is_success()).count();
    record.report(format!(
        "{} streams sent, {complete} complete; {late} sent later than 3 s after the SIGTERM and passed on, {cut} of them cut before the deadline",
        replies.len()
    ));
    if !has_trouble && complete != replies.len() {
        return Ok(true);
    }
    Ok(cut > 0)
}
