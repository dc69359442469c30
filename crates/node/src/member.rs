use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use conf::id;
use event::Recorder;
use wire::{Heartbeat, Hint, Member, Suspect};

use crate::Follower;

/// Returns the number of this life of the process: its start in nanoseconds since 1970.
#[must_use]
pub fn incarnation() -> id::Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
}

/// Source of an endpoint's load.
type Load = Arc<dyn Fn() -> Hint + Send + Sync>;

/// Keeps the requests that are suspected of crashing endpoints.
pub trait Suspicions: Send + Sync {
    /// Returns those that the own process knows.
    fn list(&self) -> Vec<Suspect>;
    /// Takes in those that another process knows.
    fn merge(&self, suspects: &[Suspect]);
}

/// Makes the heartbeats of the own process.
#[derive(Clone)]
pub struct Local {
    member: Member,
    leaving: Arc<AtomicBool>,
    follow: Follower,
    recorder: Recorder,
    load: Option<Load>,
    suspicions: Option<Arc<dyn Suspicions>>,
}

impl Local {
    /// Creates a source of heartbeats.
    #[must_use]
    pub fn new(member: Member, follow: Follower, recorder: Recorder) -> Self {
        Self {
            member,
            leaving: Arc::default(),
            follow,
            recorder,
            load: None,
            suspicions: None,
        }
    }

    /// Adds the load of the own endpoint.
    #[must_use]
    pub fn load(mut self, load: Load) -> Self {
        self.load = Some(load);
        self
    }

    /// Adds the requests that are suspected of crashing endpoints.
    #[must_use]
    pub fn suspicions(mut self, suspicions: Arc<dyn Suspicions>) -> Self {
        self.suspicions = Some(suspicions);
        self
    }

    /// Marks the process as shutting down.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.follow.tell();
    }

    /// Returns the own process.
    #[must_use]
    pub const fn member(&self) -> &Member {
        &self.member
    }

    /// Makes a heartbeat of this moment.
    #[must_use]
    pub fn beat(&self) -> Heartbeat {
        let mut member = self.member.clone();
        member.leaving = self.leaving.load(Ordering::Relaxed);
        Heartbeat {
            member,
            version: self.follow.current().version,
            stamp: self.recorder.stamp(),
            hint: self.load.as_ref().map(|load| load()),
            suspects: self.suspicions.as_ref().map_or_else(Vec::new, |s| s.list()),
            position: self.follow.position(),
            watchers: self.follow.pulses(),
        }
    }

    /// Moves the own clock past that of a heartbeat, and takes in what its sender suspects.
    pub fn observe(&self, beat: &Heartbeat) {
        self.recorder.observe(beat.stamp);
        if let Some(suspicions) = &self.suspicions
            && !beat.suspects.is_empty()
        {
            suspicions.merge(&beat.suspects);
        }
    }
}
