use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use anyhow::Context as _;
use conf::{Endpoint, Limit};
use expert::Shape;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{self, Instant};

use crate::{Client, Fleet, Member, Process, Statistics, Topology, fleet};

/// Name of the group in the document.
const GROUP_NAME: &str = "group-1";
/// Interval between two reads of the barrier's statistics.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Lock-step group of fake engines with real agents.
pub struct Group {
    /// Fleet with the agents, the platform and, as back ends, the engines; it has no entries.
    pub fleet: Fleet,
    barrier: Process,
    /// Settings of the engines, by the name of their endpoint.
    members: BTreeMap<SmolStr, Member>,
}

impl Group {
    /// Starts a group of engines with two ranks each; `fenced` says whether they refuse outdated fencing
    /// tokens.
    ///
    /// The group rebalances every 100 ms, so that its map changes several times a second.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn start(engines: usize, fenced: bool) -> anyhow::Result<Self> {
        let topology = Topology {
            entries: 0,
            engines: 0,
            services: 0,
            ..Topology::default()
        };
        let barrier = Process::start("fake-barrier", &[&engines.to_string()])?;
        let mut group = Self {
            fleet: Fleet::start(topology).await?,
            barrier,
            members: BTreeMap::new(),
        };
        let shape = Shape {
            layers: 2,
            experts: 8,
            ranks: engines * 2,
            slots: 2 + 8 / (engines * 2),
        };
        let settings = serde_json::json!({
            "service": "drafts", "ranks": shape.ranks, "layers": shape.layers,
            "experts": shape.experts, "slots": shape.slots, "fenced": fenced, "rebalance": "100ms",
        });
        let document = &mut group.fleet.document;
        document
            .groups
            .insert(GROUP_NAME.into(), serde_json::from_value(settings)?);
        for index in 0..engines {
            group.add_engine(index, shape, fenced)?;
        }
        group.fleet.publish().await?;
        Ok(group)
    }

    fn add_engine(&mut self, index: usize, shape: Shape, fenced: bool) -> anyhow::Result<()> {
        let name = format_smolstr!("ranks-{index}");
        let member = Member {
            address: ([127, 0, 0, 1], 0).into(),
            barrier: self.barrier.ready_line().parse()?,
            index,
            fenced,
            step_ms: 2,
            load_ms: 5,
            shape,
            shift_interval: 40,
        };
        self.members.insert(name.clone(), member);
        self.start_engine(&name)?;
        let first_rank = u16::try_from(index * 2)?;
        let endpoint = Endpoint {
            zone: "a".into(),
            service: "drafts".into(),
            agent: fleet::reserve_address(),
            group: Some(GROUP_NAME.into()),
            ranks: vec![first_rank, first_rank + 1],
            leaving: false,
            limit: Limit { cold: 8, full: 8 },
        };
        self.fleet.document.endpoints.insert(name.clone(), endpoint);
        self.fleet.start_agent(&name)
    }

    /// Starts an engine cold; if it runs already, it is killed and started on the same address.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such engine or it does not start.
    pub fn start_engine(&mut self, name: &str) -> anyhow::Result<()> {
        let member = self
            .members
            .get_mut(name)
            .context("group has no such engine")?;
        self.fleet.backends.remove(name);
        let settings = serde_json::to_string(member)?;
        let engine = Process::start("fake-ranks", &[&settings])?;
        member.address = engine.ready_line().parse()?;
        self.fleet.backends.insert(name.into(), engine);
        Ok(())
    }

    /// Kills an agent and starts it on the same address.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such endpoint or the agent does not start.
    pub fn restart_agent(&mut self, name: &str) -> anyhow::Result<()> {
        self.fleet.agents.remove(name);
        self.fleet.start_agent(name)
    }

    /// Reads the statistics of the barrier, which resets `longest_step`.
    ///
    /// # Errors
    ///
    /// Returns an error if the barrier does not respond.
    pub async fn read_statistics(&self) -> anyhow::Result<Statistics> {
        let address: SocketAddr = self.barrier.ready_line().parse()?;
        let client = Client::new("", false);
        let response = client.send("GET", address, "/stats", &[], "").await?;
        Ok(serde_json::from_value(response.json())?)
    }

    /// Waits until the group has completed at least `steps` more steps and `switches` more switches of
    /// its map; returns the statistics, whose `longest_step` covers the whole wait.
    ///
    /// # Errors
    ///
    /// Returns an error if the group does not reach them within `timeout` or the barrier does not
    /// respond.
    pub async fn wait_progress(
        &self,
        steps: u64,
        switches: u64,
        timeout: Duration,
    ) -> anyhow::Result<Statistics> {
        let first = self.read_statistics().await?;
        let deadline = Instant::now() + timeout;
        let mut longest = first.longest_step;
        loop {
            let mut current = self.read_statistics().await?;
            longest = longest.max(current.longest_step);
            let reached = current.completed >= first.completed + steps
                && current.switches >= first.switches + switches;
            if reached {
                current.longest_step = longest;
                return Ok(current);
            }
            anyhow::ensure!(
                Instant::now() < deadline,
                "group did not complete {steps} steps and {switches} switches within {timeout:?}: {first:?}, {current:?}"
            );
            time::sleep(POLL_INTERVAL).await;
        }
    }
}
