use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use anyhow::Context as _;
use conf::{Endpoint, Limit};
use expert::Shape;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{self, Instant};

use crate::{Client, Fleet, Member, Process, Statistics, Topology};

/// Name of the group.
const GROUP: &str = "group-1";
/// Time between two looks at the barrier.
const LOOK: Duration = Duration::from_millis(20);

/// Lock-step group of stand-in engines with real agents.
pub struct Group {
    /// The agents and the platform; the engines are its stand-ins.
    pub fleet: Fleet,
    barrier: Process,
    parts: BTreeMap<SmolStr, Member>,
}

impl Group {
    /// Starts a group of engines with two ranks each, whose map changes several times a second.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn start(engines: usize, fenced: bool) -> anyhow::Result<Self> {
        let plan = Topology {
            entries: 0,
            engines: 0,
            services: 0,
            ..Topology::default()
        };
        let barrier = Process::start("fake-barrier", &[&engines.to_string()])?;
        let mut group = Self {
            fleet: Fleet::start(plan).await?,
            barrier,
            parts: BTreeMap::new(),
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
            .insert(GROUP.into(), serde_json::from_value(settings)?);
        for member in 0..engines {
            group.add(member, shape, fenced)?;
        }
        group.fleet.publish().await?;
        Ok(group)
    }

    fn add(&mut self, member: usize, shape: Shape, fenced: bool) -> anyhow::Result<()> {
        let name = format_smolstr!("ranks-{member}");
        let part = Member {
            address: ([127, 0, 0, 1], 0).into(),
            barrier: self.barrier.ready_line().parse()?,
            member,
            fenced,
            step_ms: 2,
            load_ms: 5,
            shape,
            season: 40,
        };
        self.parts.insert(name.clone(), part);
        self.start_engine(&name)?;
        let first = u16::try_from(member * 2)?;
        let endpoint = Endpoint {
            zone: "a".into(),
            service: "drafts".into(),
            agent: ([127, 0, 0, 1], 0).into(),
            group: Some(GROUP.into()),
            ranks: vec![first, first + 1],
            leaving: false,
            limit: Limit { cold: 8, full: 8 },
        };
        self.fleet.document.endpoints.insert(name.clone(), endpoint);
        self.fleet.start_agent(&name)
    }

    /// Starts an engine, cold; a later start listens on the same address as the first.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub fn start_engine(&mut self, name: &str) -> anyhow::Result<()> {
        let part = self.parts.get_mut(name).context("no such engine")?;
        self.fleet.backends.remove(name);
        let settings = serde_json::to_string(part)?;
        let engine = Process::start("fake-ranks", &[&settings])?;
        part.address = engine.ready_line().parse()?;
        self.fleet.backends.insert(name.into(), engine);
        Ok(())
    }

    /// Ends an agent at once and starts it anew.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub fn restart_agent(&mut self, name: &str) -> anyhow::Result<()> {
        self.fleet.agents.remove(name);
        self.fleet.start_agent(name)
    }

    /// Returns what the barrier has seen, and starts its longest time anew.
    ///
    /// # Errors
    ///
    /// Returns an error if the barrier does not answer.
    pub async fn read_statistics(&self) -> anyhow::Result<Statistics> {
        let address: SocketAddr = self.barrier.ready_line().parse()?;
        let caller = Client::new("", false);
        let answer = caller.send("GET", address, "/stats", &[], "").await?;
        Ok(serde_json::from_value(answer.json())?)
    }

    /// Waits until the group has gone through a number of further steps and switches.
    ///
    /// # Errors
    ///
    /// Returns an error if that does not come about in time.
    pub async fn wait_progress(
        &self,
        steps: u64,
        switches: u64,
        time: Duration,
    ) -> anyhow::Result<Statistics> {
        let first = self.read_statistics().await?;
        let end = Instant::now() + time;
        let mut longest = first.longest_step;
        loop {
            let mut now = self.read_statistics().await?;
            longest = longest.max(now.longest_step);
            let there = now.completed >= first.completed + steps
                && now.switches >= first.switches + switches;
            if there {
                now.longest_step = longest;
                return Ok(now);
            }
            anyhow::ensure!(
                Instant::now() < end,
                "the group is stuck: {first:?}, {now:?}"
            );
            time::sleep(LOOK).await;
        }
    }
}
