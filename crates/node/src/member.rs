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

/// Returns a new incarnation: the current time in nanoseconds since 1970.
///
/// Taken once at the start of the process, it exceeds those of earlier runs of the same process.
#[must_use]
pub fn new_incarnation() -> id::Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX)
}

/// Source of an endpoint's load.
type LoadSource = Arc<dyn Fn() -> Hint + Send + Sync>;

/// Store of the requests that are suspected of crashing endpoints.
pub trait Suspicions: Send + Sync {
    /// Returns the suspects that this process knows.
    fn list(&self) -> Vec<Suspect>;
    /// Merges the suspects that another process knows.
    fn merge(&self, suspects: &[Suspect]);
}

/// Local process as its peers see it: the source of its heartbeats.
#[derive(Clone)]
pub struct Local {
    member: Member,
    leaving: Arc<AtomicBool>,
    follower: Follower,
    recorder: Recorder,
    load: Option<LoadSource>,
    suspicions: Option<Arc<dyn Suspicions>>,
}

impl Local {
    /// Creates a source of heartbeats without load and suspects.
    #[must_use]
    pub fn new(member: Member, follower: Follower, recorder: Recorder) -> Self {
        Self {
            member,
            leaving: Arc::default(),
            follower,
            recorder,
            load: None,
            suspicions: None,
        }
    }

    /// Adds the load of the agent's endpoint to the heartbeats.
    #[must_use]
    pub fn load(mut self, load: LoadSource) -> Self {
        self.load = Some(load);
        self
    }

    /// Adds a store of suspects, which heartbeats spread among the processes.
    #[must_use]
    pub fn suspicions(mut self, suspicions: Arc<dyn Suspicions>) -> Self {
        self.suspicions = Some(suspicions);
        self
    }

    /// Announces to the peers that the process is shutting down.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.follower.request_heartbeat();
    }

    /// Returns the description of the local process, as it was at the start.
    #[must_use]
    pub const fn member(&self) -> &Member {
        &self.member
    }

    /// Creates a heartbeat with the current state.
    #[must_use]
    pub fn heartbeat(&self) -> Heartbeat {
        let mut member = self.member.clone();
        member.leaving = self.leaving.load(Ordering::Relaxed);
        Heartbeat {
            member,
            version: self.follower.current().version,
            stamp: self.recorder.stamp(),
            hint: self.load.as_ref().map(|load| load()),
            suspects: self.suspicions.as_ref().map_or_else(Vec::new, |s| s.list()),
            position: self.follower.position(),
            watchers: self.follower.watchers(),
        }
    }

    /// Advances the local clock past the stamp of a heartbeat, and merges the sender's suspects.
    pub fn observe(&self, heartbeat: &Heartbeat) {
        self.recorder.observe(heartbeat.stamp);
        if let Some(suspicions) = &self.suspicions
            && !heartbeat.suspects.is_empty()
        {
            suspicions.merge(&heartbeat.suspects);
        }
    }
}
