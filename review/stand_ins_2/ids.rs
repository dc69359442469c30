//! Case: a stream with large event ids is resumed by its client.

use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    Outcome, Trial, fleet,
    http::Connection,
    server::{self, Runs, Stream},
    store::Store,
};

/// Number of pieces of a stream, and time between two.
const PIECES: u64 = 24;
const GAP: Duration = Duration::from_millis(60);
/// Number of streams.
const STREAMS: usize = 6;
/// `Deadline-Ms` of a stream.
const DEADLINE: Duration = Duration::from_millis(8000);
const HOST: &str = "ficu95.example";

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"r-2yhvz3p","host":"{HOST}","prefix":"/lohu930/","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"huvo11a","max_attempts":2,"public":false,"sticky":true,"stream_resume":true,"target_gap_ms":120}}],"services":[{{"name":"huvo11a","health_path":"/health","max_conns":400,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#
    )
}

/// What a client saw of one attempt.
#[derive(Default)]
struct Attempt {
    id: String,
    entry: String,
    last_event: Option<u64>,
    status: u16,
    pieces: Vec<u64>,
    is_whole: bool,
    sent: Option<Instant>,
}

impl Attempt {
    fn describe(&self) -> String {
        let Self {
            id,
            entry,
            last_event,
            status,
            pieces,
            is_whole,
            ..
        } = self;
        format!(
            "{id} sent to {entry}, Last-Event-Id {last_event:?}: {status}, complete {is_whole}, pieces {pieces:?}"
        )
    }
}

/// Reads a stream and, if it breaks, goes on at another entry after the last whole event.
fn follow_stream(first: SocketAddr, other: SocketAddr, id: &str) -> Vec<Attempt> {
    let start = Instant::now();
    let mut attempts = vec![read_stream(first, id, None, DEADLINE)];
    let last = attempts[0].pieces.last().copied();
    if !attempts[0].is_whole && last.is_some() {
        let left = DEADLINE.saturating_sub(start.elapsed());
        attempts.push(read_stream(other, &format!("{id}-2"), last, left));
    }
    attempts
}

/// Reads a stream until it ends or breaks.
fn read_stream(entry: SocketAddr, id: &str, last_event: Option<u64>, left: Duration) -> Attempt {
    let mut attempt = Attempt {
        id: id.to_owned(),
        entry: entry.to_string(),
        last_event,
        sent: Some(Instant::now()),
        ..Attempt::default()
    };
    // A connection that breaks leaves what was read so far.
    let _ = attempt.read(entry, left);
    attempt
}

impl Attempt {
    fn read(&mut self, entry: SocketAddr, left: Duration) -> io::Result<()> {
        let mut connection = Connection::connect(entry, Duration::from_secs(4))?;
        let last = self
            .last_event
            .map_or(String::new(), |last| format!("Last-Event-Id: {last}\r\n"));
        let (id, left) = (&self.id, left.as_millis());
        let request = format!(
            "POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n{last}Model: m\r\nToken-Usage: 714,120\r\nPrompt-Prefix: 5c1e07a2:40,{id}:674\r\nDeadline-Ms: {left}\r\nX-Api-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        connection.write(request.as_bytes())?;
        self.status = connection.read_head()?.map_or(0, |head| head.status());
        let mut text = String::new();
        while self.status == 200 {
            let Some(chunk) = connection.read_chunk()? else {
                return Ok(());
            };
            if chunk.is_empty() {
                self.is_whole = true;
                return Ok(());
            }
            text.push_str(&String::from_utf8_lossy(&chunk));
            while let Some((event, rest)) = text.split_once("\n\n") {
                let id: Option<u64> = event
                    .lines()
                    .find_map(|line| line.strip_prefix("id: ")?.parse().ok());
                self.pieces.extend(id);
                text = rest.to_owned();
            }
        }
        Ok(())
    }
}

/// Plays the case.
pub fn play(trial: &Trial) -> Outcome {
    let Trial {
        record,
        folder,
        trouble,
    } = trial;
    let (store, runs) = (Store::default(), Runs::default());
    let zones = ["soweto", "tembisa", "midrand"];
    // Ids of a counter that began at the time in nanoseconds, so that they also increase over restarts of a server.
    let base = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("clock")
        .as_nanos() as u64;
    let ids: Vec<u64> = (base + 1..=base + PIECES).collect();
    for (number, zone) in zones.iter().enumerate() {
        let stream = Stream {
            ids: ids.clone(),
            gap: GAP,
        };
        server::start(&store, &runs, "huvo11a", zone, number, Some(stream));
    }
    store.put("op/config", Some(&configuration()));
    let Some(mut entries) = fleet::start(store.start(), &zones, folder) else {
        return Outcome::Invalid;
    };
    record.line(&format!("{} entries are ready", entries.len()));
    thread::sleep(Duration::from_secs(2));
    let (first, other) = (entries[0].address, entries[1].address);
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let id = format!("9c41d07be2a3{number:04x}");
            thread::sleep(GAP);
            thread::spawn(move || follow_stream(first, other, &id))
        })
        .collect();
    if *trouble {
        thread::sleep(GAP * (PIECES as u32) / 2);
        record.line(&format!("{} is killed", entries[0].name));
        entries[0].kill();
    }
    let (mut broken, mut resumed) = (0, 0);
    for client in clients {
        let attempts = client.join().expect("client");
        for attempt in &attempts {
            record.line_at(
                attempt.sent.unwrap_or_else(Instant::now),
                &attempt.describe(),
            );
        }
        resumed += attempts.len() - 1;
        let pieces: Vec<u64> = attempts.iter().flat_map(|a| a.pieces.clone()).collect();
        let is_whole = attempts.last().is_some_and(|attempt| attempt.is_whole);
        if is_whole && pieces != ids {
            broken += 1;
            let missing = ids.iter().filter(|id| !pieces.contains(id)).count();
            let twice = pieces.len() + missing - ids.len();
            record.line(&format!(
                "{}: {missing} pieces are missing, {twice} came twice",
                attempts[0].id
            ));
        }
    }
    for run in runs.all() {
        record.line_at(
            run.at,
            &format!(
                "{} ran {} with Last-Event-Id {:?}",
                run.server, run.id, run.last_event
            ),
        );
    }
    let result = format!(
        "{broken} of {STREAMS} streams are complete with pieces missing or twice; {resumed} were resumed"
    );
    record.line(&result);
    println!("{result}");
    if *trouble && resumed == 0 {
        return Outcome::Invalid;
    }
    if broken == 0 {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
