//! What entries tell each other, and what agents tell them.

use std::time::Duration;

use conf::id;
use group::{MAX_REFUSALS, Refusal, Refusals, Subject};
use tokio::time::Instant;

use super::{Balancer, CONTACT_TIME, DISCOVERY_TIME, ENTRY_MEMORY};
use crate::{
    Fingerprint, Limits, Load, Loss, News, Part, departures::Incarnation, limits,
    window::STARTUP_ENTRIES,
};

/// # Groups
impl Balancer {
    /// Records news of a group; returns whether they changed what is known.
    pub fn record_group(&mut self, status: &group::Status, now: Instant) -> bool {
        self.groups.record(status, now)
    }

    /// Returns the known groups.
    #[must_use]
    pub const fn groups(&self) -> &group::Directory {
        &self.groups
    }
}

/// # Other entries
impl Balancer {
    /// Sets how many entries divide the fleet's limits; the number from the settings is the minimum.
    ///
    /// For limits that must not be exceeded, a smaller number takes effect after a minute only.
    pub fn set_entry_count(&mut self, entries: usize, now: Instant) {
        let before = self.known_entries();
        self.live_entries = entries.max(1);
        self.record_loss(before, now);
    }

    /// Sets the largest number of entries that another one is aware of: an entry that has just started does not
    /// know all others yet.
    pub fn set_reported_entries(&mut self, entries: usize, now: Instant) {
        let before = self.known_entries();
        self.reported_entries = entries;
        self.record_loss(before, now);
    }

    /// Remembers that more entries were known until now, if that is so.
    fn record_loss(&mut self, before: usize, now: Instant) {
        if self.known_entries() >= before {
            return;
        }
        while self
            .losses
            .back()
            .is_some_and(|(count, _)| *count <= before)
        {
            self.losses.pop_back();
        }
        self.losses.push_back((before, now));
    }

    /// Returns the largest number of entries that this or another one is aware of.
    pub(super) fn known_entries(&self) -> usize {
        self.live_entries.max(self.reported_entries)
    }

    /// Returns the number of known entries, those included that were lost lately.
    fn recent_entries(&self, now: Instant) -> usize {
        let recent = |(_, at): &&(usize, Instant)| now.duration_since(*at) < ENTRY_MEMORY;
        let before = self.losses.iter().find(recent).map(|(count, _)| *count);
        self.known_entries().max(before.unwrap_or(0))
    }

    /// Returns among how many entries the fleet's limits are divided.
    pub(super) fn entry_count(&self, now: Instant) -> usize {
        self.recent_entries(now).max(self.bounds.entries)
    }

    /// Returns how many entries there may be at most, also just after the start.
    pub(super) fn assumed_entry_count(&self, now: Instant) -> usize {
        self.count_at_start(self.entry_count(now), now)
    }

    /// Returns among how many entries the limits that endpoints state are divided.
    ///
    /// Unlike for other limits, the number from the settings is the minimum only while no other entry is heard
    /// of: what it holds back is not used by any entry.
    pub(super) fn sharing_entry_count(&self, now: Instant) -> usize {
        let known = match self.recent_entries(now) {
            0 | 1 => self.bounds.entries,
            known => known,
        };
        self.count_at_start(known, now)
    }

    /// Returns a larger number than that of the known entries while others may be unknown.
    fn count_at_start(&self, known: usize, now: Instant) -> usize {
        let age = now.duration_since(self.started);
        if age < CONTACT_TIME {
            known.max(STARTUP_ENTRIES)
        } else if age < DISCOVERY_TIME {
            known * 2
        } else {
            known
        }
    }

    /// Lists up to `limit` endpoints that stated lately that they are leaving.
    #[must_use]
    pub fn recent_departures(
        &self,
        limit: usize,
        now: Instant,
    ) -> Vec<(id::Endpoint, Incarnation)> {
        self.departures.recent(limit, now)
    }

    /// Records that another entry heard from an endpoint that it is leaving; returns false if that was
    /// known.
    pub fn record_reported_departure(
        &mut self,
        endpoint: &id::Endpoint,
        incarnation: Incarnation,
        now: Instant,
    ) -> bool {
        self.departures.record(endpoint, incarnation, now)
    }

    /// Returns how far back this entry knows which requests crashed endpoints.
    #[must_use]
    pub fn crash_memory(&self, now: Instant) -> Duration {
        self.caution.memory(now)
    }

    /// Returns what agents are told of refused requests and prompt parts.
    #[must_use]
    pub fn refusals(&self, now: Instant) -> Refusals {
        let limit = MAX_REFUSALS / 2;
        let requests = self.suspects.refusals(limit, now).into_iter();
        let requests = requests.map(|refusal| refusal.map(Subject::Request));
        let parts = self.blame.refusals(limit, now).into_iter();
        let parts = parts.map(|refusal| refusal.map(Subject::Part));
        Refusals {
            memory: self.caution.memory(now),
            refused: requests.chain(parts).collect(),
        }
    }

    /// Applies what an agent remembers of refused requests and prompt parts.
    pub fn merge_refusals(&mut self, refusals: Refusals, now: Instant) {
        for refusal in refusals.refused {
            let Refusal {
                subject,
                age,
                crashes,
            } = refusal;
            match subject {
                Subject::Request(subject) => {
                    let refusal = Refusal {
                        subject,
                        age,
                        crashes,
                    };
                    self.suspects.merge_refusal(&refusal, now);
                }
                Subject::Part(subject) => {
                    let refusal = Refusal {
                        subject,
                        age,
                        crashes,
                    };
                    self.blame.merge_refusal(&refusal, now);
                }
            }
        }
        self.caution.merge(refusals.memory, now);
    }

    /// Records how far back another entry knows which requests crashed endpoints.
    pub fn merge_crash_memory(&mut self, memory: Duration, now: Instant) {
        self.caution.merge(memory, now);
    }

    /// Returns which endpoints were lost lately, for other entries.
    #[must_use]
    pub fn loss_news(&self, now: Instant) -> Vec<Loss> {
        self.restarts.news(now)
    }

    /// Applies what another entry tells of lost endpoints.
    pub fn merge_losses(&mut self, losses: &[Loss], now: Instant) {
        self.restarts.merge(losses, now);
    }

    /// Lists this entry's own load on each endpoint that has any.
    #[must_use]
    pub fn local_loads(&self) -> Vec<(id::Endpoint, Load)> {
        self.loads.local()
    }

    /// Lists the endpoints that this entry itself found to be missing within the last `span`.
    #[must_use]
    pub fn recently_missing(&self, span: Duration, now: Instant) -> Vec<id::Endpoint> {
        self.health.recently_missing(span, now)
    }

    /// Records that another entry found an endpoint to be missing.
    pub fn record_reported_missing(&mut self, endpoint: &id::Endpoint, now: Instant) {
        self.health.record_reported_missing(endpoint, now);
    }

    /// Returns what other entries need to know of prompt parts under which endpoints crash.
    #[must_use]
    pub fn part_news(&self, now: Instant) -> News<Part> {
        self.blame.news(now)
    }

    /// Applies what another entry tells of prompt parts under which endpoints crash.
    pub fn merge_part_news(&mut self, news: &News<Part>, now: Instant) {
        self.blame.merge(news, now);
    }

    /// Returns what other entries need to know of requests under which endpoints crash.
    #[must_use]
    pub fn request_news(&self, now: Instant) -> News<Fingerprint> {
        self.suspects.news(now)
    }

    /// Applies what another entry tells of requests under which endpoints crash.
    pub fn merge_request_news(&mut self, news: &News<Fingerprint>, now: Instant) {
        self.suspects.merge(news, now);
    }

    /// Replaces the load report of another entry.
    pub fn record_report(
        &mut self,
        entry: &id::Process,
        loads: Vec<(id::Endpoint, Load)>,
        now: Instant,
    ) {
        self.loads.record_report(entry, loads, now);
    }
}

/// # Limits that endpoints state
impl Balancer {
    /// Returns what is known of the endpoints that state limits.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Lists up to `limit` statements of endpoints for other entries.
    #[must_use]
    pub fn limit_news(&mut self, limit: usize, now: Instant) -> Vec<limits::Statement> {
        self.limits.news(limit, &mut self.random, now)
    }

    /// Applies what another entry tells of limits; returns what that changes.
    pub fn merge_limits(
        &mut self,
        statements: &[limits::Statement],
        now: Instant,
    ) -> Vec<(id::Endpoint, limits::Change)> {
        self.limits.merge(statements, now)
    }

    /// Takes the credit for endpoints with limits that other entries are to get, by the entry that gets it.
    pub fn hand_over_credit(
        &mut self,
        own: &id::Process,
        others: &[id::Process],
        now: Instant,
    ) -> Vec<(id::Process, Vec<limits::Grant>)> {
        let entries = self.sharing_entry_count(now);
        self.limits
            .hand_over(own, others, entries, &mut self.random, now)
    }

    /// Adds credit that another entry handed over.
    pub fn receive_credit(&mut self, grants: &[limits::Grant], now: Instant) {
        let entries = self.sharing_entry_count(now);
        self.limits.receive(grants, entries, now);
    }
}
