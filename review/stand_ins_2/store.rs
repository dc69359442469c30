//! Stand-in of the platform's store: keeps items with revisions, and serves lists and watches.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt::Write as _,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{self, Connection, Message};

/// Time for which changes are kept (`history_s` of the sheets).
const HISTORY: Duration = Duration::from_secs(20);
/// Largest number of items, and of bytes, of a page of a list.
const MAX_PAGE_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1 << 20;
/// Longest value (`value_bytes` of the settings).
const MAX_VALUE_BYTES: usize = 1 << 20;

struct Change {
    revision: u64,
    text: String,
    at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// JSON of each item.
    items: BTreeMap<String, String>,
    changes: VecDeque<Change>,
    /// Revision up to which changes were discarded.
    discarded: u64,
    /// Whether all calls are answered 503.
    is_down: bool,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Starts to serve at an unused port.
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port of the store");
        let address = listener.local_addr().expect("address of the store");
        let store = self.clone();
        http::serve(listener, move |connection, request| {
            store.respond(connection, &request)
        });
        address
    }

    /// Writes an item, or removes it without a value; returns the time of the acknowledgement.
    pub fn put(&self, key: &str, value: Option<&str>) -> Instant {
        let (state, changed) = &*self.0;
        let mut state = state.lock().expect("store");
        state.revision += 1;
        let revision = state.revision;
        let text = match value {
            Some(value) => {
                assert!(
                    value.len() <= MAX_VALUE_BYTES,
                    "value of {} bytes",
                    value.len()
                );
                let value = encode_base64(value.as_bytes());
                format!(
                    r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
                )
            }
            None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
        };
        match value {
            Some(_) => state.items.insert(key.to_owned(), text.clone()),
            None => state.items.remove(key),
        };
        let at = Instant::now();
        state.changes.push_back(Change { revision, text, at });
        changed.notify_all();
        Instant::now()
    }

    /// Begins or ends an outage, in which all calls are answered 503.
    pub fn set_down(&self, is_down: bool) {
        let (state, changed) = &*self.0;
        state.lock().expect("store").is_down = is_down;
        changed.notify_all();
    }

    fn respond(&self, connection: &mut Connection, request: &Message) -> io::Result<()> {
        if self.is_down() {
            return connection.respond(503, "", b"");
        }
        match request.path() {
            "/v1/kv-range" => {
                let body = self.list(&request.parameter("after").unwrap_or_default());
                connection.respond(200, "Content-Type: application/json\r\n", body.as_bytes())
            }
            "/v1/kv-watch" => {
                let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                match self.watch(number("after").unwrap_or(0), wait) {
                    _ if self.is_down() => connection.respond(503, "", b""),
                    Some(body) => {
                        let headers = "Content-Type: application/json\r\n";
                        connection.respond(200, headers, body.as_bytes())
                    }
                    None => connection.respond(410, "", b""),
                }
            }
            _ => connection.respond(404, "", b""),
        }
    }

    fn is_down(&self) -> bool {
        self.0.0.lock().expect("store").is_down
    }

    fn list(&self, after: &str) -> String {
        let state = self.0.0.lock().expect("store");
        let (mut items, mut count, mut has_more) = (String::new(), 0, false);
        let rest = state.items.iter().filter(|(key, _)| key.as_str() > after);
        for (_, text) in rest {
            has_more =
                count > 0 && (count >= MAX_PAGE_ITEMS || items.len() + text.len() > MAX_PAGE_BYTES);
            if has_more {
                break;
            }
            let comma = if count > 0 { "," } else { "" };
            let _ = write!(items, "{comma}{text}");
            count += 1;
        }
        let revision = state.revision;
        format!(r#"{{"items":[{items}],"has_more":{has_more},"as_of":{revision}}}"#)
    }

    /// Returns all changes after a revision; `None` if some of them were discarded.
    fn watch(&self, after: u64, wait: Duration) -> Option<String> {
        let (state, changed) = &*self.0;
        let state = state.lock().expect("store");
        let is_current = |state: &mut State| state.revision <= after && !state.is_down;
        let waited = changed.wait_timeout_while(state, wait, is_current);
        let (mut state, _) = waited.expect("store");
        while state
            .changes
            .front()
            .is_some_and(|change| change.at.elapsed() > HISTORY)
        {
            let change = state.changes.pop_front();
            state.discarded = change.map_or(state.discarded, |change| change.revision);
        }
        if after < state.discarded {
            return None;
        }
        let newer = state
            .changes
            .iter()
            .filter(|change| change.revision > after);
        let events: Vec<&str> = newer.map(|change| change.text.as_str()).collect();
        Some(format!(
            r#"{{"events":[{}],"as_of":{}}}"#,
            events.join(","),
            state.revision
        ))
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit > group.len() {
                text.push('=');
            } else {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize]));
            }
        }
    }
    text
}
