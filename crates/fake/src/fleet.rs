use std::{
    collections::BTreeMap,
    fs::{self, OpenOptions},
    net::SocketAddr,
    path::PathBuf,
    time::Duration,
};

use anyhow::Context as _;
use conf::{
    Document, Endpoint, Limit, Policy, Priority, Route, SCHEMA, Service, ServiceKind, Team,
    TeamKey, Zone, ZoneState,
};
use node::Ready;
use smol_str::SmolStr;
use tempfile::TempDir;
use tokio::time::{self, Instant};
use wire::Authority;

use crate::{Client, Process, publish};

/// Team key that the fleet's one team holds.
pub const TEAM_KEY: &str = "trial-key-1";
/// File to which entries and agents log.
const LOG: &str = "log";
/// Time in which a fleet must get ready.
const READY: Duration = Duration::from_secs(60);

/// Says how large a fleet is.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Names of the availability zones.
    pub zones: Vec<&'static str>,
    /// Entries in each zone.
    pub entries: usize,
    /// Model engines in each zone.
    pub engines: usize,
    /// Plain services in each zone.
    pub services: usize,
    /// Bounds of each endpoint.
    pub limit: Limit,
    /// Policy of the document.
    pub policy: Policy,
    /// Level of the processes' logs.
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

/// Real processes over stand-ins, all on ephemeral ports of the loopback.
pub struct Fleet {
    folder: TempDir,
    authority: Authority,
    plan: Topology,
    platform: Process,
    /// Document that is published.
    pub document: Document,
    number: u64,
    /// Addresses of peers in the settings of processes that start from now on.
    pub peers: Vec<SocketAddr>,
    /// Engines and services, by the name of their endpoint.
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
    /// Returns an error if a process does not start or the fleet does not get ready.
    pub async fn start(plan: Topology) -> anyhow::Result<Self> {
        let mut fleet = Self {
            folder: tempfile::tempdir()?,
            authority: Authority::new()?,
            platform: Process::start("fake-platform", &[])?,
            document: document(&plan),
            plan,
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
        for zone in self.plan.zones.clone() {
            for i in 0..self.plan.engines {
                self.start_endpoint(&format!("drafts-{zone}-{i}"), zone, "drafts", "fake-engine")?;
            }
            for i in 0..self.plan.services {
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
        let stand = Process::start(program, &[])?;
        self.backends.insert(name.into(), stand);
        let endpoint = Endpoint {
            zone: zone.into(),
            service: service.into(),
            agent: ([127, 0, 0, 1], 0).into(),
            group: None,
            ranks: Vec::new(),
            leaving: false,
            limit: self.plan.limit,
        };
        self.document.endpoints.insert(name.into(), endpoint);
        self.start_agent(name)
    }

    /// Starts the agent of an endpoint; a later start listens on the same address as the first.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent does not start.
    pub fn start_agent(&mut self, name: &str) -> anyhow::Result<()> {
        let endpoint = self
            .document
            .endpoints
            .get(name)
            .context("no such endpoint")?;
        let zone = endpoint.zone.clone();
        let engine = self
            .backends
            .get(name)
            .context("no such stand-in")?
            .ready_line()
            .to_owned();
        let extra = serde_json::json!({ "endpoint": name, "engine": engine });
        let settings = self.settings(&format!("agent-{name}"), &zone, endpoint.agent, extra)?;
        let agent = self.start_daemon("apricot-agent", &settings)?;
        let ready: Ready = serde_json::from_str(agent.ready_line())?;
        if let Some(endpoint) = self.document.endpoints.get_mut(name) {
            endpoint.agent = ready.peers;
        }
        self.agents.insert(name.into(), agent);
        Ok(())
    }

    fn start_entries(&mut self) -> anyhow::Result<()> {
        for zone in self.plan.zones.clone() {
            for i in 0..self.plan.entries {
                self.start_entry(&format!("entry-{zone}-{i}"), zone)?;
            }
        }
        Ok(())
    }

    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not start.
    pub fn start_entry(&mut self, name: &str, zone: &str) -> anyhow::Result<()> {
        let settings = self.settings(
            name,
            zone,
            ([127, 0, 0, 1], 0).into(),
            serde_json::json!({}),
        )?;
        let entry = self.start_daemon("apricot-entry", &settings)?;
        self.entries.insert(name.into(), entry);
        Ok(())
    }

    fn start_daemon(&self, program: &str, settings: &str) -> anyhow::Result<Process> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.file(LOG))?;
        Process::start_with_stderr(program, &["--settings", settings], log.into())
    }

    /// Returns what all entries and agents have logged.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read.
    pub fn logs(&self) -> anyhow::Result<String> {
        Ok(fs::read_to_string(self.file(LOG))?)
    }

    /// Writes the settings of a process and returns the path of the file.
    fn settings(
        &self,
        name: &str,
        zone: &str,
        peers: SocketAddr,
        extra: serde_json::Value,
    ) -> anyhow::Result<String> {
        let certificate = self.authority.issue(name)?;
        fs::write(self.file("ca.pem"), self.authority.certificate())?;
        fs::write(self.file(&format!("{name}.pem")), certificate.certificate)?;
        fs::write(self.file(&format!("{name}.key")), certificate.key)?;
        let mut settings = serde_json::json!({
            "name": name,
            "zone": zone,
            "listen": { "callers": "127.0.0.1:0", "peers": peers, "operators": "127.0.0.1:0" },
            "platform": [self.platform.ready_line()],
            "peers": self.peers,
            "identity": { "authority": "ca.pem", "certificate": format!("{name}.pem"), "key": format!("{name}.key") },
            "workers": 2,
            "log": { "level": self.plan.log_level },
        });
        if let (Some(settings), Some(extra)) = (settings.as_object_mut(), extra.as_object()) {
            settings.extend(extra.clone());
        }
        let path = self.file(&format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        Ok(path.display().to_string())
    }

    fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Returns the platform's address.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform printed none.
    pub fn platform_address(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.platform.ready_line().parse()?)
    }

    /// Publishes the document as the next version.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not take it.
    pub async fn publish(&mut self) -> anyhow::Result<()> {
        self.number += 1;
        publish(self.platform_address()?, self.number, &self.document).await
    }

    /// Returns the addresses that an entry listens on.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such entry.
    pub fn entry_addresses(&self, name: &str) -> anyhow::Result<Ready> {
        let entry = self
            .entries
            .get(name)
            .with_context(|| format!("no entry {name}"))?;
        Ok(serde_json::from_str(entry.ready_line())?)
    }

    /// Returns the address that an entry takes callers on.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such entry.
    pub fn client_address(&self, name: &str) -> anyhow::Result<SocketAddr> {
        self.entry_addresses(name)?
            .callers
            .context("the entry takes no callers")
    }

    /// Waits until each entry can reach all endpoints and their engines are up.
    ///
    /// # Errors
    ///
    /// Returns an error if that does not come about.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let end = Instant::now() + READY;
        for name in self.entries.keys() {
            while !self.reaches_all(name).await.unwrap_or(false) {
                anyhow::ensure!(Instant::now() < end, "{name} does not reach all endpoints");
                time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn reaches_all(&self, entry: &str) -> anyhow::Result<bool> {
        let caller = Client::new(TEAM_KEY, false);
        let status = caller
            .send(
                "GET",
                self.entry_addresses(entry)?.operators,
                "/status",
                &[],
                "",
            )
            .await?
            .json();
        let open = status["parts"]["endpoints"].as_object().map_or(0, |all| {
            all.values().filter(|hint| hint["open"] == true).count()
        });
        Ok(open == self.document.endpoints.len())
    }
}

fn document(plan: &Topology) -> Document {
    let zone = |name: &&str| {
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
        zones: plan.zones.iter().map(zone).collect(),
        services: [("drafts".into(), drafts()), ("orders".into(), orders())].into(),
        groups: BTreeMap::new(),
        endpoints: BTreeMap::new(),
        teams: [("team-1".into(), team)].into(),
        policy: plan.policy.clone(),
    }
}

fn drafts() -> Service {
    Service {
        kind: ServiceKind::Group,
        routes: vec![route(None, "/v1/drafts", true, Priority::Normal)],
    }
}

fn orders() -> Service {
    let routes = vec![
        route(Some("POST"), "/v1/orders", false, Priority::High),
        route(Some("GET"), "/v1/lookups", true, Priority::High),
    ];
    Service {
        kind: ServiceKind::Plain,
        routes,
    }
}

fn route(method: Option<&str>, path: &str, repeatable: bool, priority: Priority) -> Route {
    Route {
        method: method.map(SmolStr::new),
        path: path.into(),
        repeatable,
        priority,
    }
}
