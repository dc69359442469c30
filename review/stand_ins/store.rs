//! Stand-in of the platform's store: items with revisions, listings and watches.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    /// Revision, key and value (`None` if removed) of all changes.
    changes: Vec<(u64, String, Option<String>)>,
    is_down: bool,
}

/// The store; while it is down it answers 503 to all calls.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            state: Arc::default(),
            address: listener.local_addr().expect("a bound address"),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(encode_base64(value.as_bytes())));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => state.items.insert(key.to_owned(), (revision, value.clone())),
            None => state.items.remove(key),
        };
        state.changes.push((revision, key.to_owned(), value));
        changed.notify_all();
    }

    /// Returns whether this changes anything.
    pub fn set_down(&self, is_down: bool) -> bool {
        let (state, changed) = &*self.state;
        let was_down = std::mem::replace(&mut state.lock().unwrap().is_down, is_down);
        changed.notify_all();
        was_down != is_down
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.respond(request.target());
            let json = [("Content-Type", "application/json")];
            if http::write_response(&mut writer, status, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
            values.next().unwrap_or_default().to_owned()
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let after: u64 = parameter("after").parse().unwrap_or(0);
        if path == "/v1/kv-watch" {
            let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
            let deadline = Instant::now() + wait;
            while state.revision <= after && !state.is_down && Instant::now() < deadline {
                let left = deadline.saturating_duration_since(Instant::now());
                state = changed.wait_timeout(state, left).unwrap().0;
            }
        }
        if state.is_down {
            return ("503 Service Unavailable", String::new());
        }
        let (field, items): (&str, Vec<String>) = match path {
            "/v1/kv-range" => {
                let items = state.items.iter();
                let items = items.map(|(key, (revision, value))| format_item(key, *revision, value));
                ("\"has_more\":false,\"items\"", items.collect())
            }
            "/v1/kv-watch" => {
                let newer = state.changes.iter().filter(|(revision, ..)| *revision > after);
                let events = newer.map(|(revision, key, value)| match value {
                    Some(value) => format_item(key, *revision, value),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
                });
                ("\"events\"", events.collect())
            }
            _ => return ("404 Not Found", String::new()),
        };
        let body = format!("{{{field}:[{}],\"as_of\":{}}}", items.join(","), state.revision);
        ("200 OK", body)
    }
}

fn format_item(key: &str, revision: u64, value: &str) -> String {
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
    )
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = (bits >> (18 - 6 * index) & 63) as usize;
            text.push(if index <= group.len() { DIGITS[digit] as char } else { '=' });
        }
    }
    text
}
