use std::{
    collections::BTreeMap,
    fs::{self, OpenOptions},
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use anyhow::Context as _;
use conf::{
    Document, Endpoint, Limit, Policy, Priority, Route, SCHEMA, Service, ServiceKind, Team,
    TeamKey, Zone, ZoneState,
};
use node::Addresses;
use smol_str::SmolStr;
use tempfile::TempDir;
use tokio::time::{self, Instant};
use wire::Authority;

use crate::{Client, Process, publish};

/// Key of `team-1`, the only team in the document of a fleet.
pub const TEAM_KEY: &str = "trial-key-1";
/// Name of the file with the logs of all entries and agents.
const LOG_FILE: &str = "log";
/// First port of agents, below the range from which the system chooses ports of outgoing sockets.
const FIRST_AGENT_PORT: u16 = 7100;
/// Number of addresses that differ in their last octet alone.
const HOSTS: u16 = 250;
/// Number of lines of the logs in the error of a process that does not start.
const SHOWN_LINES: usize = 20;
/// Timeout until all entries of a fleet reach all endpoints.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Processes, limits and policy that a fleet starts with.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Names of the availability zones.
    pub zones: Vec<&'static str>,
    /// Number of entries in each zone.
    pub entries: usize,
    /// Number of engines in each zone; each is an endpoint of the service `drafts`.
    pub engines: usize,
    /// Number of plain services in each zone; each is an endpoint of the service `orders`.
    pub services: usize,
    /// Limit of each endpoint in the document.
    pub limit: Limit,
    /// Policy in the document.
    pub policy: Policy,
    /// Log level of the entries and agents, such as `info`.
    pub log_level: &'static str,
}

impl Default for Topology {
    fn default() -> Self {
        Self {
            zones: vec!["a"],
            entries: 1,
            engines: 1,
            services: 1,
            limit: Limit { cold: 64, full: 64 },
            policy: Policy::default(),
            log_level: "info",
        }
    }
}

/// Real entries and agents over fake back ends and a fake platform, all on ephemeral loopback ports.
pub struct Fleet {
    directory: TempDir,
    authority: Authority,
    topology: Topology,
    platform: Process,
    /// Document that [`Fleet::publish`] publishes.
    pub document: Document,
    /// Number of the last published record, 0 before the first.
    number: u64,
    /// Peer addresses in the settings of the processes that are started from now on.
    pub peers: Vec<SocketAddr>,
    /// Fake engines and services, by the name of their endpoint.
    pub backends: BTreeMap<SmolStr, Process>,
    /// Agents, by the name of their endpoint.
    pub agents: BTreeMap<SmolStr, Process>,
    /// Entries, by name.
    pub entries: BTreeMap<SmolStr, Process>,
}

impl Fleet {
    /// Starts a fleet, publishes its document and waits until every entry can reach every endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start, or the entries do not reach all endpoints within a
    /// minute.
    pub async fn start(topology: Topology) -> anyhow::Result<Self> {
        let mut fleet = Self {
            directory: tempfile::tempdir()?,
            authority: Authority::new()?,
            platform: Process::start("fake-platform", &[])?,
            document: build_document(&topology),
            topology,
            number: 0,
            peers: Vec::new(),
            backends: BTreeMap::new(),
            agents: BTreeMap::new(),
            entries: BTreeMap::new(),
        };
        fleet.start_endpoints()?;
        fleet.start_entries()?;
        fleet.publish().await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    fn start_endpoints(&mut self) -> anyhow::Result<()> {
        for zone in self.topology.zones.clone() {
            for i in 0..self.topology.engines {
                self.start_endpoint(&format!("drafts-{zone}-{i}"), zone, "drafts", "fake-engine")?;
            }
            for i in 0..self.topology.services {
                self.start_endpoint(
                    &format!("orders-{zone}-{i}"),
                    zone,
                    "orders",
                    "fake-service",
                )?;
            }
        }
        Ok(())
    }

    fn start_endpoint(
        &mut self,
        name: &str,
        zone: &str,
        service: &str,
        program: &str,
    ) -> anyhow::Result<()> {
        let backend = Process::start(program, &[])?;
        self.backends.insert(name.into(), backend);
        let endpoint = Endpoint {
            zone: zone.into(),
            service: service.into(),
            agent: reserve_address(),
            group: None,
            ranks: Vec::new(),
            leaving: false,
            limit: self.topology.limit,
        };
        self.document.endpoints.insert(name.into(), endpoint);
        self.start_agent(name)
    }

    /// Starts the agent of an endpoint; each start listens on the same address as the first.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such endpoint or the agent does not start.
    pub fn start_agent(&mut self, name: &str) -> anyhow::Result<()> {
        let endpoint = self
            .document
            .endpoints
            .get(name)
            .context("document has no such endpoint")?;
        let zone = endpoint.zone.clone();
        let engine = self
            .backends
            .get(name)
            .context("endpoint has no back end")?
            .ready_line()
            .to_owned();
        let extra = serde_json::json!({ "endpoint": name, "engine": engine });
        let settings =
            self.write_settings(&format!("agent-{name}"), &zone, endpoint.agent, extra)?;
        let agent = self.start_process("apricot-agent", &settings)?;
        let ready: Addresses = serde_json::from_str(agent.ready_line())?;
        if let Some(endpoint) = self.document.endpoints.get_mut(name) {
            endpoint.agent = ready.peers;
        }
        self.agents.insert(name.into(), agent);
        Ok(())
    }

    fn start_entries(&mut self) -> anyhow::Result<()> {
        for zone in self.topology.zones.clone() {
            for i in 0..self.topology.entries {
                self.start_entry(&format!("entry-{zone}-{i}"), zone)?;
            }
        }
        Ok(())
    }

    /// Starts an entry with this name in a zone.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not start.
    pub fn start_entry(&mut self, name: &str, zone: &str) -> anyhow::Result<()> {
        let settings = self.write_settings(
            name,
            zone,
            ([127, 0, 0, 1], 0).into(),
            serde_json::json!({}),
        )?;
        let entry = self.start_process("apricot-entry", &settings)?;
        self.entries.insert(name.into(), entry);
        Ok(())
    }

    fn start_process(&self, program: &str, settings: &str) -> anyhow::Result<Process> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.path(LOG_FILE))?;
        Process::start_with_stderr(program, &["--settings", settings], log.into()).with_context(
            || {
                let logs = self.read_logs().unwrap_or_else(|e| e.to_string());
                let lines: Vec<&str> = logs.lines().rev().take(SHOWN_LINES).collect();
                format!(
                    "last lines of all logs, newest first:\n{}",
                    lines.join("\n")
                )
            },
        )
    }

    /// Reads the logs of all entries and agents, which are empty if `APRICOT_LOGS` is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be read.
    pub fn read_logs(&self) -> anyhow::Result<String> {
        Ok(fs::read_to_string(self.path(LOG_FILE))?)
    }

    /// Writes the settings and the certificate of a process; returns the path of the settings.
    fn write_settings(
        &self,
        name: &str,
        zone: &str,
        peers: SocketAddr,
        extra: serde_json::Value,
    ) -> anyhow::Result<String> {
        let certificate = self.authority.issue(name)?;
        fs::write(self.path("ca.pem"), self.authority.certificate())?;
        fs::write(self.path(&format!("{name}.pem")), certificate.certificate)?;
        fs::write(self.path(&format!("{name}.key")), certificate.key)?;
        let mut settings = serde_json::json!({
            "name": name,
            "zone": zone,
            "listen": { "callers": "127.0.0.1:0", "peers": peers, "operators": "127.0.0.1:0" },
            "platform": [self.platform.ready_line()],
            "peers": self.peers,
            "identity": { "authority": "ca.pem", "certificate": format!("{name}.pem"), "key": format!("{name}.key") },
            "workers": 2,
            "log": { "level": self.topology.log_level },
        });
        if let (Some(settings), Some(extra)) = (settings.as_object_mut(), extra.as_object()) {
            settings.extend(extra.clone());
        }
        let path = self.path(&format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        Ok(path.display().to_string())
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    /// Returns the address of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not print an address.
    pub fn platform_address(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.platform.ready_line().parse()?)
    }

    /// Publishes the document as the next record.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or rejects the record.
    pub async fn publish(&mut self) -> anyhow::Result<()> {
        self.number += 1;
        publish(self.platform_address()?, self.number, &self.document).await
    }

    /// Returns the addresses that an entry listens on.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such entry.
    pub fn entry_addresses(&self, name: &str) -> anyhow::Result<Addresses> {
        let entry = self
            .entries
            .get(name)
            .with_context(|| format!("fleet has no entry {name}"))?;
        Ok(serde_json::from_str(entry.ready_line())?)
    }

    /// Returns the address on which an entry accepts requests of clients.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such entry.
    pub fn client_address(&self, name: &str) -> anyhow::Result<SocketAddr> {
        self.entry_addresses(name)?
            .callers
            .context("entry has no address for clients")
    }

    /// Waits until each entry reports all endpoints as open, that is, reachable and with a back end that
    /// is up.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry does not do so within a minute.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for name in self.entries.keys() {
            while !self.reaches_all_endpoints(name).await.unwrap_or(false) {
                anyhow::ensure!(
                    Instant::now() < deadline,
                    "{name} did not reach all endpoints within {READY_TIMEOUT:?}"
                );
                time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn reaches_all_endpoints(&self, entry: &str) -> anyhow::Result<bool> {
        let client = Client::new(TEAM_KEY, false);
        let status = client
            .send(
                "GET",
                self.entry_addresses(entry)?.operators,
                "/status",
                &[],
                "",
            )
            .await?
            .json();
        let open = status["parts"]["endpoints"].as_object().map_or(0, |hints| {
            hints.values().filter(|hint| hint["open"] == true).count()
        });
        Ok(open == self.document.endpoints.len())
    }
}

fn build_document(topology: &Topology) -> Document {
    let build_zone = |name: &&str| {
        (
            (*name).into(),
            Zone {
                region: "r".into(),
                state: ZoneState::In,
            },
        )
    };
    let team = Team {
        keys: vec![TeamKey::new(TEAM_KEY).digest()],
        weight: 1,
        rate: None,
    };
    Document {
        schema: SCHEMA,
        zones: topology.zones.iter().map(build_zone).collect(),
        services: [
            ("drafts".into(), build_drafts_service()),
            ("orders".into(), build_orders_service()),
        ]
        .into(),
        groups: BTreeMap::new(),
        endpoints: BTreeMap::new(),
        teams: [("team-1".into(), team)].into(),
        policy: topology.policy.clone(),
    }
}

fn build_drafts_service() -> Service {
    Service {
        kind: ServiceKind::Group,
        routes: vec![build_route(None, "/v1/drafts", true, Priority::Normal)],
    }
}

fn build_orders_service() -> Service {
    let routes = vec![
        build_route(Some("POST"), "/v1/orders", false, Priority::High),
        build_route(Some("GET"), "/v1/lookups", true, Priority::High),
    ];
    Service {
        kind: ServiceKind::Plain,
        routes,
    }
}

fn build_route(method: Option<&str>, path: &str, repeatable: bool, priority: Priority) -> Route {
    Route {
        method: method.map(SmolStr::new),
        path: path.into(),
        repeatable,
        priority,
    }
}

/// Returns a loopback address that no other agent of this process has, and that no outgoing socket can take while its
/// agent is down.
pub(crate) fn reserve_address() -> SocketAddr {
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let (process, number) = (std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    let ip = [
        127,
        10 + (process % 240) as u8,
        (process / 240 % 250) as u8,
        1 + (number % HOSTS) as u8,
    ];
    (ip, FIRST_AGENT_PORT + number / HOSTS).into()
}
