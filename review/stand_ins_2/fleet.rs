//! Entries as separate processes, with settings as `deploy/entry.json` gives them.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http::Connection;

/// Time within which an entry must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Entry that runs as a process of its own; it is killed when dropped.
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    ready: SocketAddr,
    child: Child,
    folder: PathBuf,
}

/// Ports that are unused on all addresses of a fleet, in the order callers, ready, control, gossip, groups.
fn unused_ports(hosts: &[String]) -> [u16; 5] {
    let mut port = 21000 + (std::process::id() % 4000) as u16;
    loop {
        let ports = [port, port + 1, port + 2, port + 3, port + 4];
        let is_unused = |host: &String| {
            let tcp = ports.map(|port| TcpListener::bind((host.as_str(), port)).is_ok());
            let udp = ports.map(|port| UdpSocket::bind((host.as_str(), port)).is_ok());
            tcp.iter().chain(&udp).all(|free| *free)
        };
        if hosts.iter().all(is_unused) {
            return ports;
        }
        port = if port > 28000 { 21000 } else { port + 5 };
    }
}

/// Starts an entry in each zone and waits until all are ready; `None` if that takes too long.
pub fn start(store: SocketAddr, zones: &[&str], folder: &Path) -> Option<Vec<Entry>> {
    let hosts: Vec<String> = (1..=zones.len()).map(|n| format!("127.0.53.{n}")).collect();
    let ports = unused_ports(&hosts);
    let seeds: Vec<String> = hosts
        .iter()
        .map(|host| format!("\"{host}:{}\"", ports[2]))
        .collect();
    let mut entries = Vec::new();
    for (index, (host, zone)) in hosts.iter().zip(zones).enumerate() {
        let name = format!("front-{zone}-{index}");
        let [callers, ready, control, gossip, groups] = ports;
        let settings = format!(
            r#"{{"name": "{name}", "zone": "{zone}",
  "listen": {{"callers": "{host}:{callers}", "ready": "{host}:{ready}", "peers": "{host}:{control}",
    "gossip": "{host}:{gossip}", "groups": "{host}:{groups}", "operators": "{host}:{groups}"}},
  "store": "{store}", "seeds": [{}], "first_start": true,
  "bounds": {{"retry_ratio": 0.2, "retry_extra": 90, "retry_window": "10s", "cold_overshoot": 1.5,
    "cold_slack": 5, "grace": "8s"}},
  "limits": {{"memory": "260MB", "descriptors": 4100}}}}
"#,
            seeds.join(",")
        );
        fs::write(folder.join(format!("{name}.json")), settings).expect("settings");
        let child = spawn(folder, &name);
        entries.push(Entry {
            name,
            address: format!("{host}:{callers}").parse().expect("address"),
            ready: format!("{host}:{ready}").parse().expect("address"),
            child,
            folder: folder.to_owned(),
        });
    }
    wait_until_ready(&entries).then_some(entries)
}

/// Starts the process of an entry whose settings are in a folder.
fn spawn(folder: &Path, name: &str) -> Child {
    let log = File::create(folder.join(format!("{name}.log"))).expect("log");
    Command::new("target/release/apricot-platform-entry")
        .arg("--settings")
        .arg(folder.join(format!("{name}.json")))
        .stdin(Stdio::null())
        .stdout(log)
        .spawn()
        .expect("the entry must be built")
}

/// Waits until entries are ready; returns false if that takes too long.
pub fn wait_until_ready(entries: &[Entry]) -> bool {
    let deadline = Instant::now() + START_TIMEOUT;
    while !entries.iter().all(Entry::is_ready) {
        if Instant::now() > deadline {
            println!("the entries did not become ready");
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    true
}

impl Entry {
    fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::connect(self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let request = b"GET /v1/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        connection.write(request).is_ok()
            && matches!(connection.read_message(), Ok(Some(response)) if response.status() == 200)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the killed process again; the fleet does not start for the first time any more.
    pub fn start_again(&mut self) {
        let path = self.folder.join(format!("{}.json", self.name));
        let settings = fs::read_to_string(&path).expect("settings");
        fs::write(&path, settings.replace(r#""first_start": true,"#, "")).expect("settings");
        self.child = spawn(&self.folder, &self.name);
    }

    /// Returns the lines of the process's log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join(format!("{}.log", self.name)));
        let log = log.unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
