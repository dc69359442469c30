//! A crowd asks for streams while ordinary callers of another service ask, too.

use std::{
    collections::HashSet,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup, Verdict,
    entry::{Entry, Machine},
    http::Connection,
    store::Store,
};

/// Smallest entry machine of the site; its entry serves 640 connections at once.
const MACHINE: Machine = Machine {
    memory_mb: 112,
    descriptors: 2870,
};
/// Clients of the crowd, and the time after which each connects again.
const CROWD: usize = 900;
const PAUSE: Duration = Duration::from_millis(20);
/// Time for which ordinary callers ask, the time between two of them, and the time that each waits.
const RUN_TIME: Duration = Duration::from_secs(15);
const INTERVAL: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_millis(1200);
/// Attempts of an ordinary caller, each on a new connection.
const ATTEMPTS: usize = 2;

pub fn run(setup: &Setup) -> Verdict {
    let (store, record) = (Store::default(), setup.record.clone());
    let configuration = r#"{"version":1,"routes":[
        {"name":"drafts","host":"h.example","prefix":"/drafts/","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,
         "target_gap_ms":120,"service":"assistant","max_attempts":2,"priority":0,"sticky":true,"stream_resume":true},
        {"name":"tags","host":"h.example","prefix":"/tags/","kind":"non_idempotent",
        "timeout_ms":1200,"target_latency_ms":120,"service":"registry","max_attempts":2,"priority":0}],
        "services":[{"name":"assistant","max_conns":1091,"health_path":"/health","engine":{"slots":10,"stride":7,"step_ms":4.84,
         "per_seq_ms":0.3,"read_per_s":74800.0}},{"name":"registry","max_conns":915,"health_path":"/health"}],
        "tenants":[{"name":"team","api_keys":["key"]},{"name":"crowd","api_keys":["crowd"]}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    store.put("op/config", Some(configuration.to_owned()));
    let ran: Arc<Mutex<HashSet<String>>> = Arc::default();
    for number in 0..72 {
        super::memory::start_server(&store, "assistant", number, 10, super::memory::serve_stream);
    }
    for number in 0..3 {
        start_server(&store, number, &ran);
    }
    let entries = Entry::start_all(setup, store.start(), MACHINE, 1);
    let address = entries[0].clients;
    let (stop, streams) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let crowd = if setup.trouble { CROWD } else { 0 };
    for client in 0..crowd {
        let (stop, streams) = (stop.clone(), streams.clone());
        thread::spawn(move || ask_streams(address, client, &stop, &streams));
    }
    thread::sleep(Duration::from_secs(3));
    let (answered, started) = (Arc::new(AtomicU64::new(0)), Instant::now());
    let mut callers = Vec::new();
    while started.elapsed() < RUN_TIME {
        let id = callers.len();
        let (record, answered, ran) = (record.clone(), answered.clone(), ran.clone());
        callers.push(thread::spawn(move || {
            let asked = Instant::now();
            for attempt in 1..=ATTEMPTS {
                let name = format!("r{id}-{attempt}");
                let result = order(address, &name, DEADLINE.saturating_sub(asked.elapsed()));
                let ran = ran.lock().unwrap().contains(&name);
                record.line(format!("order {name}: {result:?}, ran: {ran}"));
                // An order that may have run is not sent again.
                if result.is_ok() || ran {
                    answered.fetch_add(u64::from(result.is_ok()), Ordering::Relaxed);
                    return;
                }
            }
        }));
        thread::sleep(INTERVAL);
    }
    let asked = callers.len() as u64;
    for caller in callers {
        let _ = caller.join();
    }
    stop.store(true, Ordering::Relaxed);
    let answered = answered.load(Ordering::Relaxed);
    record.line(format!(
        "the crowd got {} streams; {answered} of {asked} ordinary callers got an answer",
        streams.load(Ordering::Relaxed)
    ));
    match answered * 2 < asked {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn start_server(store: &Store, number: usize, ran: &Arc<Mutex<HashSet<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let entry = format!(
        r#"{{"service":"registry","addr":"{address}","zone":"zone-a","version":1,"slots":6,"state":"ready","cold_left_ms":0,"seq":1,"born":1700000000000}}"#
    );
    store.put(&format!("servers/i-{number}"), Some(entry));
    let ran = ran.clone();
    let serve = move |stream: TcpStream| {
        let mut connection = Connection::new(stream);
        while let Ok(head) = connection.read_head() {
            let request = head.get("request-id").unwrap_or_default().to_owned();
            if connection.read_body(&head).is_err() {
                return;
            }
            ran.lock().unwrap().insert(request.clone());
            thread::sleep(Duration::from_millis(15));
            let text = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: r.{request}\r\nContent-Length: 4\r\n\r\ndone"
            );
            if connection.write(text.as_bytes()).is_err() {
                return;
            }
        }
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
}

/// Asks for streams, one after the other, until told to stop.
fn ask_streams(address: SocketAddr, client: usize, stop: &AtomicBool, streams: &AtomicU64) {
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let request = format!(
            "POST /drafts/{client} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x{client}-{count}\r\nToken-Usage: 800,490\r\n\
             Deadline-Ms: 8000\r\nX-Api-Key: crowd\r\nContent-Length: 6\r\n\r\nprompt"
        );
        if let Ok(mut connection) = Connection::connect(address, Duration::from_secs(10)) {
            let _ = connection
                .stream
                .set_read_timeout(Some(Duration::from_secs(8)));
            let answer = connection
                .write(request.as_bytes())
                .and_then(|()| connection.read_answer());
            if answer.is_ok_and(|(head, _)| head.status() == 200) {
                streams.fetch_add(1, Ordering::Relaxed);
            }
        }
        thread::sleep(PAUSE);
    }
}

/// Sends an order on a new connection; returns the status of its answer, or why there is none.
fn order(address: SocketAddr, name: &str, time_left: Duration) -> Result<u16, String> {
    let time_left = time_left.max(Duration::from_millis(1));
    let request = format!(
        "POST /tags/{name} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {name}\r\nDeadline-Ms: {}\r\nX-Api-Key: key\r\n\
         Content-Length: 3\r\n\r\ntag",
        time_left.as_millis()
    );
    let exchange = || {
        let mut connection = Connection::connect(address, Duration::from_secs(1))?;
        connection.stream.set_read_timeout(Some(time_left))?;
        connection.write(request.as_bytes())?;
        connection.read_answer()
    };
    let (head, _) = exchange().map_err(|e| e.to_string())?;
    Ok(head.status())
}
