//! Stand-in of the platform's store: lists and watches of items with revisions.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Connection, Head};

#[derive(Default)]
struct Inner {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    /// Revision, key and value of each change; no value if the item was removed.
    changes: Vec<(u64, String, Option<Vec<u8>>)>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Inner>, Condvar)>,
}

impl Store {
    /// Writes an item, or removes it.
    pub fn put(&self, key: &str, value: Option<String>) {
        let (inner, changed) = &*self.shared;
        let mut inner = inner.lock().unwrap();
        inner.revision += 1;
        let revision = inner.revision;
        let value = value.map(String::into_bytes);
        match &value {
            Some(value) => inner
                .items
                .insert(key.to_owned(), (revision, value.clone())),
            None => inner.items.remove(key),
        };
        inner.changes.push((revision, key.to_owned(), value));
        changed.notify_all();
    }

    /// Starts to serve on a free port.
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(head) = connection.read_head() {
            let body = self.answer(&head);
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.write(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head) -> String {
        let query = head.path().split_once('?').map_or("", |(_, query)| query);
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned());
            values.next().unwrap_or_default()
        };
        let (inner, changed) = &*self.shared;
        if head.path().starts_with("/v1/kv-range") {
            let inner = inner.lock().unwrap();
            let items = inner.items.iter();
            let items = items.map(|(key, (revision, value))| item(key, *revision, value));
            let items: Vec<String> = items.collect();
            return format!(
                r#"{{"items":[{}],"has_more":false,"as_of":{}}}"#,
                items.join(","),
                inner.revision
            );
        }
        let after: u64 = parameter("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut inner = inner.lock().unwrap();
        while inner.revision <= after && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            inner = changed.wait_timeout(inner, left).unwrap().0;
        }
        let changes = inner
            .changes
            .iter()
            .filter(|(revision, ..)| *revision > after);
        let events = changes.map(|(revision, key, value)| match value {
            Some(value) => item(key, *revision, value),
            None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
        });
        let events: Vec<String> = events.collect();
        format!(
            r#"{{"events":[{}],"as_of":{}}}"#,
            events.join(","),
            inner.revision
        )
    }
}

fn item(key: &str, revision: u64, value: &[u8]) -> String {
    let value = base64(value);
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk
            .iter()
            .fold(0_u32, |number, byte| number << 8 | u32::from(*byte));
        let number = number << (8 * (3 - chunk.len()));
        for position in 0..4 {
            let digit = number >> (18 - 6 * position) & 63;
            text.push(match position <= chunk.len() {
                true => char::from(DIGITS[digit as usize]),
                false => '=',
            });
        }
    }
    text
}
