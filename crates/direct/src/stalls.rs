use std::{collections::HashSet, time::Duration};

use conf::id;
use tokio::time::Instant;

/// Time for which a stalled group is not asked again; it declines at once, so that asking often costs
/// little and its return is noticed soon.
const PAUSE: Duration = Duration::from_millis(300);

/// Remembers which endpoints share a lock-step group, and which groups are stalled.
///
/// Nobody tells an entry of groups. An endpoint that declines names the rank that is lost, so that
/// both are in one group; what was learned in one outage saves asking each rank in the next.
#[derive(Clone, Debug, Default)]
pub struct Stalls {
    groups: Vec<Group>,
}

#[derive(Clone, Debug)]
struct Group {
    members: HashSet<id::Endpoint>,
    since: Instant,
    until: Instant,
}

impl Stalls {
    /// Returns whether an endpoint's group is passed over for now.
    #[must_use]
    pub fn holds(&self, endpoint: &str, now: Instant) -> bool {
        let group = self
            .groups
            .iter()
            .find(|group| group.members.contains(endpoint));
        group.is_some_and(|group| group.until > now)
    }

    /// Notes that an endpoint declined since another one is lost.
    pub fn declined(&mut self, endpoint: &id::Endpoint, at_fault: &id::Endpoint, now: Instant) {
        let mut merged = Group {
            members: [endpoint.clone(), at_fault.clone()].into(),
            since: now,
            until: now + PAUSE,
        };
        let named =
            |group: &Group| group.members.contains(endpoint) || group.members.contains(at_fault);
        for group in self.groups.extract_if(.., |group| named(group)) {
            merged.members.extend(group.members);
        }
        self.groups.push(merged);
    }

    /// Notes that an endpoint answered; if its group is said to be stalled, it belongs to another.
    pub fn answered(&mut self, endpoint: &id::Endpoint, now: Instant) {
        for group in &mut self.groups {
            if group.until > now && group.since + PAUSE / 2 < now {
                group.members.remove(endpoint);
            }
        }
    }

    /// Forgets endpoints that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&id::Endpoint) -> bool) {
        for group in &mut self.groups {
            group.members.retain(|endpoint| known(endpoint));
        }
        self.groups.retain(|group| !group.members.is_empty());
    }
}
