//! A small deployment on loopback addresses: the store, servers and the project's entries, each entry and
//! each server as a process of its own.

use std::{
    collections::HashMap,
    env, fs,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http, store::Store};

/// Limits of the deployment, as DEPLOY.md gives them for a small one.
pub const CONTACT: Duration = Duration::from_millis(3000);
pub const GRACE: Duration = Duration::from_secs(8);
pub const COLD_OVERSHOOT: f64 = 1.5;
pub const COLD_SLACK: f64 = 5.0;
/// Heartbeats without which the store removes a registration, and their interval.
const LAPSE: Duration = Duration::from_millis(3 * 1200);

/// Lines of `record.txt`, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
    path: PathBuf,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
            path: folder.join("record.txt"),
        }
    }

    pub fn add(&self, line: impl Into<String>) {
        self.add_at(Instant::now(), line);
    }

    pub fn add_at(&self, at: Instant, line: impl Into<String>) {
        self.lines.lock().unwrap().push((at, line.into()));
    }

    /// Adds a line that is also printed.
    pub fn report(&self, line: impl Into<String>) {
        let line = line.into();
        // The record is what counts, also if nobody reads the output.
        let _ = writeln!(io::stdout(), "{line}");
        self.add(line);
    }

    pub fn save(&self) {
        let mut lines = self.lines.lock().unwrap();
        lines.sort_by_key(|(at, _)| *at);
        let mut file = fs::File::create(&self.path).expect("record.txt can be written");
        for (at, line) in lines.iter() {
            let millis = at.saturating_duration_since(self.started).as_millis();
            let _ = writeln!(file, "{millis:>7} {line}");
        }
    }
}

/// What a server told.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub server: String,
    pub what: String,
    pub request: String,
    pub path: String,
}

/// Process that is killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub struct Entry {
    process: Process,
    pub name: String,
    pub clients: SocketAddr,
    pub ready: SocketAddr,
}

impl Entry {
    pub fn signal(&mut self, name: &str) {
        let command = format!("kill -{name} {}", self.process.0.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    pub fn kill(&mut self) {
        let _ = self.process.0.kill();
        let _ = self.process.0.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.0.try_wait(), Ok(Some(_)))
    }

    pub fn wait(&mut self, patience: Duration) -> bool {
        let end = Instant::now() + patience;
        while !self.has_ended() {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        true
    }

    pub fn is_ready(&self) -> bool {
        let client = http::Client::connect(self.ready);
        let request = "GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        client.is_ok_and(|mut client| client.send(request, Duration::from_millis(500)).status == 200)
    }
}

/// Ports of the entries, the same on each of their addresses.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    first: u16,
    last: u16,
}

pub struct Server {
    pub service: &'static str,
    pub zone: &'static str,
    address: SocketAddr,
    process: Option<Process>,
    pub id: String,
    registration: String,
    starts: u32,
    /// Whether the server starts again under the id that it had.
    pub keeps_id: bool,
}

pub struct Fleet {
    pub store: Store,
    pub record: Record,
    pub events: Arc<Mutex<Vec<Event>>>,
    pub entries: Vec<Entry>,
    pub servers: Vec<Server>,
    folder: PathBuf,
    hosts: Vec<String>,
    ports: Ports,
    /// How servers that are added from now on fail.
    pub crashes: &'static str,
    /// Requests per second at which a cold server crashes.
    pub cold_limit: usize,
    /// Zones of the entries, in turn.
    pub zones: Vec<&'static str>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.clear();
        self.servers.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Creates a deployment of `entries` entries, which are not started yet.
    pub fn new(entries: usize, crashes: &'static str, record: Record) -> Self {
        let number = std::process::id();
        let folder = env::temp_dir().join(format!("apricot-review-{number}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let block = 10 + number % 200;
        let hosts: Vec<_> = (1..=entries).map(|host| format!("127.7.{block}.{host}")).collect();
        Self {
            store: Store::start(),
            record,
            events: Arc::default(),
            entries: Vec::new(),
            servers: Vec::new(),
            ports: find_ports(&hosts),
            hosts,
            folder,
            crashes,
            cold_limit: usize::MAX,
            zones: vec!["zone-a", "zone-b", "zone-c"],
        }
    }

    /// Starts an entry, with settings from the template of the deploy file.
    pub fn start_entry(&mut self, index: usize, first_start: bool) {
        let entry = self.spawn_entry(index, first_start);
        self.record.add(format!("{} starts", entry.name));
        match index < self.entries.len() {
            true => self.entries[index] = entry,
            false => self.entries.push(entry),
        }
    }

    fn spawn_entry(&self, index: usize, first_start: bool) -> Entry {
        let (host, ports) = (&self.hosts[index], self.ports);
        let name = format!("front-{}", index + 1);
        let seeds = self.hosts.iter().take(3);
        let seeds: Vec<_> = seeds.map(|host| format!("\"{host}:{}\"", ports.control)).collect();
        let zone = self.zones[index % self.zones.len()];
        let template = fs::read_to_string("deploy/entry.json").expect("the template of the entry");
        let bootstrap = ("{{#bootstrap}}", "{{/bootstrap}}");
        let (before, rest) = template.split_once(bootstrap.0).expect("a section for bootstrap");
        let (inside, after) = rest.split_once(bootstrap.1).expect("the end of the section");
        let inside = if first_start { inside } else { "" };
        let mut settings = format!("{before}{inside}{after}");
        for (field, value) in [
            ("node", name.clone()),
            ("zone", zone.to_owned()),
            ("ip", host.clone()),
            ("listen.front", format!("{host}:{}", ports.front)),
            ("listen.ready", format!("{host}:{}", ports.ready)),
            ("listen.control", format!("{host}:{}", ports.control)),
            ("port_range.0", ports.first.to_string()),
            ("port_range.1", ports.last.to_string()),
            ("platform.addr", self.store.address.to_string()),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_budget_extra", "90".to_owned()),
            ("bounds.retry_window_s", "10".to_owned()),
            ("bounds.cold_overshoot", COLD_OVERSHOOT.to_string()),
            ("bounds.cold_slack", COLD_SLACK.to_string()),
            ("bounds.grace_s", GRACE.as_secs().to_string()),
        ] {
            settings = settings.replace(&format!("{{{{{field}}}}}"), &value);
        }
        assert!(!settings.contains("{{"), "unknown field in the template: {settings}");
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings can be written");
        let log_path = self.folder.join(format!("{name}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log_path);
        let mut command = Command::new("target/release/apricot-platform-entry");
        command.arg("--settings").arg(&path).env("APRICOTRIDGE_BOOT", &path);
        command.stdin(Stdio::null()).stdout(log.map_or_else(|_| Stdio::null(), Stdio::from)).stderr(Stdio::null());
        let child = command.spawn().expect("the entry is built and can be started");
        let address = |port: u16| format!("{host}:{port}").parse().expect("an address");
        Entry {
            process: Process(child),
            name,
            clients: address(ports.front),
            ready: address(ports.ready),
        }
    }

    /// Adds a server and starts it, warm.
    pub fn add_server(&mut self, service: &'static str, zone: &'static str, keeps_id: bool) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        drop(listener);
        self.servers.push(Server {
            service,
            zone,
            address,
            process: None,
            id: String::new(),
            registration: String::new(),
            starts: 0,
            keeps_id,
        });
        let index = self.servers.len() - 1;
        self.start_server(index, Duration::ZERO);
    }

    /// Starts a server, which registers itself once it listens.
    pub fn start_server(&mut self, index: usize, cold: Duration) {
        let server = &mut self.servers[index];
        server.starts += 1;
        if server.id.is_empty() || !server.keeps_id {
            server.id = format!("i-{}-{index}-{}", server.service, server.starts);
        }
        let program = env::current_exe().expect("the path of this program");
        let mut child = Command::new(program)
            .args(["server", &server.address.to_string(), &server.id])
            .args([&cold.as_millis().to_string(), &self.cold_limit.to_string(), self.crashes])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("a server can be started");
        let mut output = BufReader::new(child.stdout.take().expect("its output"));
        let mut line = String::new();
        output.read_line(&mut line).expect("the server listens");
        server.process = Some(Process(child));
        let (id, events, record) = (server.id.clone(), self.events.clone(), self.record.clone());
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                let mut words = line.split(' ');
                let mut word = || words.next().unwrap_or_default().to_owned();
                let (what, request, path) = (word(), word(), word());
                record.add(format!("{id}: {what} {request} {path}"));
                let event = Event {
                    at: Instant::now(),
                    server: id.clone(),
                    what,
                    request,
                    path,
                };
                events.lock().unwrap().push(event);
            }
        });
        let started_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis());
        let value = format!(
            r#"{{"service":"{}","addr":"{}","zone":"{}","version":"v1","slots":12,"state":"ready","cold_left_ms":{},"stage":"colocated","models":[],"seq":0,"born":{started_ms}}}"#,
            server.service,
            server.address,
            server.zone,
            cold.as_millis()
        );
        self.record.add(format!("{} starts and registers, cold for {} ms", server.id, cold.as_millis()));
        let key = format!("servers/{}", server.id);
        self.store.put(&key, &value);
        server.registration = value;
    }

    /// Writes that a server is draining.
    pub fn drain_server(&self, index: usize) {
        let server = &self.servers[index];
        let key = format!("servers/{}", server.id);
        let value = server.registration.replace("\"ready\"", "\"draining\"");
        self.record.add(format!("the store has accepted that {} is draining", server.id));
        self.store.put(&key, &value);
    }

    /// Returns whether an entry's log says that it watches the store itself.
    pub fn is_watching(&self, index: usize) -> bool {
        let path = self.folder.join(format!("front-{}.log", index + 1));
        let log = fs::read_to_string(path).unwrap_or_default();
        let last = log.lines().rfind(|line| line.contains("\"watch of the store\""));
        last.is_some_and(|line| line.contains("\"watches\":true"))
    }

    /// Returns whether the process of a server has ended; its registration then lapses in time.
    pub fn has_crashed(&mut self, index: usize) -> bool {
        let server = &mut self.servers[index];
        let ended = |process: &mut Process| matches!(process.0.try_wait(), Ok(Some(_)));
        if !server.process.as_mut().is_some_and(ended) {
            return false;
        }
        server.process = None;
        if !server.keeps_id {
            let (store, key) = (self.store.clone(), format!("servers/{}", server.id));
            thread::spawn(move || {
                thread::sleep(LAPSE);
                store.remove(&key);
            });
        }
        true
    }

    /// Kills a server with SIGKILL.
    pub fn kill_server(&mut self, index: usize) {
        let server = &mut self.servers[index];
        self.record.add(format!("{} is killed", server.id));
        server.process = None;
    }

    /// Waits until all entries are ready; returns false if one is not in time.
    pub fn wait_until_ready(&mut self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while !self.entries.iter().all(Entry::is_ready) {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }
}

/// Finds ports that are free on all addresses, below those that the system gives out by itself.
fn find_ports(hosts: &[String]) -> Ports {
    let mut base = 20_000 + (std::process::id() % 1000) as u16 * 10;
    loop {
        let is_free = |port: u16| {
            hosts.iter().all(|host| {
                let address = format!("{host}:{port}");
                TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok()
            })
        };
        if (base..base + 5).all(is_free) {
            return Ports {
                front: base,
                ready: base + 1,
                control: base + 2,
                first: base + 3,
                last: base + 4,
            };
        }
        base += 10;
        assert!(base < 32_000, "no free ports");
    }
}

/// Builds a client request.
pub fn request(method: &str, path: &str, id: &str, deadline: Duration, body: &str) -> String {
    let tokens = if path.starts_with("/draft/") { "Model: m\r\nToken-Usage: 700,140\r\n" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: review.example\r\nRequest-Id: {id}\r\nX-Api-Key: key-of-team-one\r\n{tokens}Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    )
}

/// Writes the configuration: drafts to the service `models`, look-ups and orders to `ledger`.
pub fn put_configuration(store: &Store, resumable: bool, cold_per_s: u32) {
    static VERSION: AtomicU32 = AtomicU32::new(7);
    let version = VERSION.fetch_add(3, Ordering::SeqCst);
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u32, more: &str| {
        format!(
            r#"{{"name":"{name}","host":"review.example","prefix":"{prefix}","kind":"{kind}","timeout_ms":{timeout},"target_latency_ms":400,"priority":1,"service":"{service}","max_attempts":2,"public":false{more}}}"#
        )
    };
    let stream = match resumable {
        true => r#","target_gap_ms":120,"stream_resume":true"#,
        false => r#","target_gap_ms":120"#,
    };
    let routes = [
        route("draft", "/draft/", "streaming", "models", 8000, stream),
        route("lookup", "/work/", "idempotent", "ledger", 1500, ""),
        route("order", "/order/", "non_idempotent", "ledger", 1500, ""),
    ];
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","max_conns":400,"health_path":"/health","cold_start_s":20,"cold_per_s":{cold_per_s}}}"#
        )
    };
    let value = format!(
        r#"{{"version":{version},"routes":[{}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"team-one","api_keys":["key-of-team-one"]}}]}}"#,
        routes.join(","),
        service("models"),
        service("ledger")
    );
    store.put("op/config", &value);
}

/// Number of events by request id, as far as `what` is concerned.
pub fn count_by_request(events: &[Event], what: &str) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for event in events.iter().filter(|event| event.what == what) {
        *counts.entry(event.request.clone()).or_default() += 1;
    }
    counts
}
