use std::collections::BTreeMap;

use conf::id;
use tokio::time::Instant;
use wire::Member;

/// Keeps the processes that were heard of, each in its newest life.
#[derive(Default)]
pub struct Table {
    members: BTreeMap<id::Process, (Member, Instant)>,
}

impl Table {
    /// Takes in what a process said about itself; an older life never replaces a newer one.
    pub fn observe(&mut self, member: Member, now: Instant) {
        let newer = self
            .members
            .get(&member.process)
            .is_none_or(|(known, _)| known.incarnation <= member.incarnation);
        if newer {
            self.members.insert(member.process.clone(), (member, now));
        }
    }

    /// Returns the known processes in the order of their names.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.members
            .values()
            .map(|(member, _)| member.clone())
            .collect()
    }
}
