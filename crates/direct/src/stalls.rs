use std::{collections::HashSet, time::Duration};

use conf::id;
use tokio::time::Instant;

/// Time for which a stalled group is skipped after one of its endpoints declined a request.
///
/// Endpoints of a stalled group decline at once, so frequent attempts cost little and soon show that
/// the group has recovered.
const SKIP_TIME: Duration = Duration::from_millis(300);

/// Tracks which endpoints belong to one lock-step group, and which groups are stalled.
///
/// Entries are not told the groups. An endpoint that declines a request names the lost rank, which
/// shows that both are in one group. A group learned in one outage is reused in the next, so that not
/// every rank has to be tried.
#[derive(Clone, Debug, Default)]
pub struct Stalls {
    groups: Vec<Group>,
}

#[derive(Clone, Debug)]
struct Group {
    members: HashSet<id::Endpoint>,
    stalled_at: Instant,
    skipped_until: Instant,
}

impl Stalls {
    /// Returns whether an endpoint belongs to a group that is currently skipped as stalled.
    #[must_use]
    pub fn is_stalled(&self, endpoint: &str, now: Instant) -> bool {
        let group = self
            .groups
            .iter()
            .find(|group| group.members.contains(endpoint));
        group.is_some_and(|group| group.skipped_until > now)
    }

    /// Records that an endpoint declined a request because `lost` has failed; merges their groups.
    pub fn record_declined(&mut self, endpoint: &id::Endpoint, lost: &id::Endpoint, now: Instant) {
        let mut merged = Group {
            members: [endpoint.clone(), lost.clone()].into(),
            stalled_at: now,
            skipped_until: now + SKIP_TIME,
        };
        let overlaps =
            |group: &Group| group.members.contains(endpoint) || group.members.contains(lost);
        for group in self.groups.extract_if(.., |group| overlaps(group)) {
            merged.members.extend(group.members);
        }
        self.groups.push(merged);
    }

    /// Records that an endpoint completed a response; if its group has been stalled for longer than
    /// half of the skip time, the endpoint belongs to another group and is removed.
    pub fn record_success(&mut self, endpoint: &id::Endpoint, now: Instant) {
        for group in &mut self.groups {
            if group.skipped_until > now && group.stalled_at + SKIP_TIME / 2 < now {
                group.members.remove(endpoint);
            }
        }
    }

    /// Removes the endpoints that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&id::Endpoint) -> bool) {
        for group in &mut self.groups {
            group.members.retain(|endpoint| known(endpoint));
        }
        self.groups.retain(|group| !group.members.is_empty());
    }
}
