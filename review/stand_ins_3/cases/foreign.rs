//! A faulty server writes additional bytes after a complete answer, where the next answer is expected.

use std::{
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Setup, Verdict,
    entry::{Entry, SMALL_SITE},
    http::Connection,
    store::Store,
};

/// One in so many answers is followed by additional bytes.
const EVERY: u64 = 50;
const REQUESTS: u64 = 1500;

pub fn run(setup: &Setup) -> Verdict {
    let (store, record) = (Store::default(), setup.record.clone());
    let configuration = r#"{"version":1,"routes":[{"name":"look-ups","host":"h.example","prefix":"/plots/","kind":"idempotent",
        "timeout_ms":1500,"target_latency_ms":100,"service":"ledger","max_attempts":2,"priority":0}],
        "services":[{"name":"ledger","max_conns":100,"health_path":"/health"}],
        "tenants":[{"name":"team","api_keys":["key"]}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
        "header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    store.put("op/config", Some(configuration.to_owned()));
    let spoiled = Arc::new(AtomicU64::new(0));
    for number in 0..3 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let is_faulty = setup.trouble && number == 0;
        let entry = format!(
            r#"{{"service":"ledger","addr":"{address}","zone":"zone-a","version":1,"slots":6,"state":"ready","cold_left_ms":0,"seq":1,"born":{}}}"#,
            1_700_000_000_000_u64 + number
        );
        store.put(&format!("servers/i-{number}"), Some(entry));
        let (record, spoiled) = (record.clone(), spoiled.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, spoiled) = (record.clone(), spoiled.clone());
                thread::spawn(move || serve(stream, number, is_faulty, &record, &spoiled));
            }
        });
    }
    let entries = Entry::start_all(setup, store.start(), SMALL_SITE, 1);
    let mut connection =
        Connection::connect(entries[0].clients, Duration::from_secs(1)).expect("the entry accepts");
    let mut foreign = 0;
    for id in 0..REQUESTS {
        let request = format!(
            "GET /plots/{id} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r{id}\r\nDeadline-Ms: 1500\r\nX-Api-Key: key\r\n\r\n"
        );
        let answer = connection
            .write(request.as_bytes())
            .and_then(|()| connection.read_answer());
        let Ok((head, body)) = answer else {
            record.line(format!("r{id}: the connection ended"));
            connection = Connection::connect(entries[0].clients, Duration::from_secs(1))
                .expect("the entry accepts");
            continue;
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        let is_own = body == format!("plot of r{id}");
        record.line(format!("r{id} answered {} {body:?}", head.status()));
        if head.status() == 200 && !is_own {
            foreign += 1;
            record.line(format!("r{id} got what is not its answer"));
        }
    }
    record.line(format!(
        "{foreign} of {REQUESTS} requests got a success that is not theirs; {} answers were followed by additional bytes",
        spoiled.load(Ordering::Relaxed)
    ));
    match foreign > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn serve(
    stream: TcpStream,
    number: u64,
    is_faulty: bool,
    record: &crate::record::Record,
    spoiled: &AtomicU64,
) {
    let mut connection = Connection::new(stream);
    let (mut count, mut additional) = (0, String::new());
    while let Ok(head) = connection.read_head() {
        if connection.read_body(&head).is_err() {
            return;
        }
        count += 1;
        let request = head.get("request-id").unwrap_or_default().to_owned();
        record.line(format!("server i-{number} runs {request}"));
        let body = format!("plot of {request}");
        let stamp = format!("{number}.{request}");
        let answer = |id: &str| {
            format!(
                "HTTP/1.1 200 OK\r\n{id}Response-Stamp: {stamp}\r\nContent-Length: {}\r\nKeep-Alive: timeout=8\r\n\r\n{body}",
                body.len()
            )
        };
        if !additional.is_empty() {
            record.line(format!("server i-{number} writes the additional bytes"));
            spoiled.fetch_add(1, Ordering::Relaxed);
        }
        let text = additional.clone() + &answer(&format!("Request-Id: {request}\r\n"));
        additional.clear();
        if connection.write(text.as_bytes()).is_err() {
            return;
        }
        if is_faulty && count % EVERY == 0 {
            additional = answer("");
        }
    }
}
