//! Entries as processes, with settings as the deploy file's template gives them.

use std::{
    collections::HashSet,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    time::Duration,
};

use crate::{
    Setup,
    http::{Connection, wait_until},
    record::Record,
};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Memory and descriptors of an entry's machine, as the platform states them.
#[derive(Clone, Copy)]
pub struct Machine {
    pub memory_mb: u64,
    pub descriptors: u64,
}

/// Machine of the sites with seven entries.
pub const SMALL_SITE: Machine = Machine {
    memory_mb: 260,
    descriptors: 4100,
};

/// Process of an entry, which is killed when dropped.
pub struct Entry {
    child: Child,
    program: PathBuf,
    record: Arc<Record>,
    number: u8,
    pub clients: SocketAddr,
    ready: SocketAddr,
    folder: PathBuf,
}

/// Returns ports that are free on the first loopback address.
fn free_ports<const N: usize>() -> [u16; N] {
    let listeners = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().unwrap().port())
}

impl Entry {
    /// Starts entries on addresses of their own, which find each other, and waits until all are ready.
    pub fn start_all(setup: &Setup, store: SocketAddr, machine: Machine, count: u8) -> Vec<Self> {
        let ports: [u16; 5] = free_ports();
        let seeds = (0..count.min(3)).map(|number| format!("\"{}:{}\"", ip(number), ports[2]));
        let seeds: Vec<String> = seeds.collect();
        let entries: Vec<Self> = (0..count)
            .map(|number| Self::start(setup, store, machine, number, ports, &seeds.join(", ")))
            .collect();
        for entry in &entries {
            let is_ready = wait_until(Duration::from_secs(15), || entry.is_ready());
            assert!(is_ready, "an entry does not become ready");
        }
        entries
    }

    fn start(
        setup: &Setup,
        store: SocketAddr,
        machine: Machine,
        number: u8,
        [callers, ready, peers, gossip, operators]: [u16; 5],
        seeds: &str,
    ) -> Self {
        let (ip, zone) = (ip(number), ZONES[usize::from(number) % ZONES.len()]);
        let Machine {
            memory_mb,
            descriptors,
        } = machine;
        let settings = format!(
            r#"{{"name": "front-{zone}-{number}", "zone": "{zone}",
              "listen": {{"callers": "{ip}:{callers}", "ready": "{ip}:{ready}", "peers": "{ip}:{peers}",
                "gossip": "{ip}:{gossip}", "groups": "{ip}:{operators}", "operators": "{ip}:{operators}"}},
              "store": "{store}", "seeds": [{seeds}], FIRST
              "bounds": {{"retry_ratio": 0.2, "retry_extra": 90, "retry_window": "10s", "cold_overshoot": 1.5,
                "cold_slack": 5, "grace": "8s"}},
              "limits": {{"memory": "{memory_mb}MB", "descriptors": {descriptors}}}}}"#
        );
        let folder = std::env::temp_dir().join(format!("review-3-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let first = settings.replace("FIRST", r#""first_start": true,"#);
        let later = settings.replace("FIRST", "");
        fs::write(folder.join("first.json"), first).expect("the settings file");
        fs::write(folder.join("later.json"), later).expect("the settings file");
        let child = spawn(&setup.program, &folder, "first.json");
        let record = setup.record.clone();
        record.line(format!(
            "entry {number} starts at {ip}:{callers}, process {}",
            child.id()
        ));
        Self {
            child,
            program: setup.program.clone(),
            record,
            number,
            clients: SocketAddr::new(ip, callers),
            ready: SocketAddr::new(ip, ready),
            folder,
        }
    }

    /// Kills the process and starts it again after a short delay, as the platform does; waits until it is ready.
    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        std::thread::sleep(Duration::from_millis(500));
        self.child = spawn(&self.program, &self.folder, "later.json");
        self.record.line(format!(
            "entry {} starts again, process {}",
            self.number,
            self.child.id()
        ));
        assert!(
            wait_until(Duration::from_secs(15), || self.is_ready()),
            "an entry does not become ready"
        );
    }

    fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::connect(self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let _ = connection
            .stream
            .set_read_timeout(Some(Duration::from_secs(1)));
        let request = b"GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        let answer = connection
            .write(request)
            .and_then(|()| connection.read_answer());
        answer.is_ok_and(|(head, _)| head.status() == 200)
    }

    /// Returns the memory that the process uses of its own, without that of mapped files, and the bytes that it has
    /// received and not read yet.
    pub fn memory(&self) -> (u64, u64) {
        let folder = PathBuf::from(format!("/proc/{}", self.child.id()));
        let status = fs::read_to_string(folder.join("status")).unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let kilobytes =
            line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok());
        let links = fs::read_dir(folder.join("fd")).into_iter().flatten();
        let links = links.filter_map(|link| fs::read_link(link.ok()?.path()).ok());
        let own: HashSet<String> = links
            .filter_map(|link| {
                Some(
                    link.to_str()?
                        .strip_prefix("socket:[")?
                        .strip_suffix(']')?
                        .to_owned(),
                )
            })
            .collect();
        let sockets = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let unread = sockets.lines().skip(1).filter_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let (_, received) = fields.get(4)?.split_once(':')?;
            let is_own = *fields.get(3)? == "01" && own.contains(*fields.get(9)?);
            is_own.then(|| u64::from_str_radix(received, 16).unwrap_or(0))
        });
        (kilobytes.unwrap_or(0) * 1024, unread.sum())
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn spawn(program: &PathBuf, folder: &std::path::Path, settings: &str) -> Child {
    let log = fs::File::create(folder.join("log")).expect("the log file");
    Command::new(program)
        .arg("--settings")
        .arg(folder.join(settings))
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log file"))
        .stderr(log)
        .spawn()
        .expect("the entry starts")
}

fn ip(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, 1 + number))
}
