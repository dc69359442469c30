use std::{net::SocketAddr, num::NonZeroUsize, time::Duration};

use conf::unit;
use expert::{Balancer, Change, Limits, Placement};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use tokio::time::Instant;

use crate::{
    Decision, Delta, Order, Phase, Popularity, Status, Switch,
    delta::normalized,
    engine::{Epoch, Pass, Version},
    relief::Relief,
    switch::{Progress, STANDBYS},
};

/// Interval between the reports of a rank while no change is in progress.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(120);
/// Interval between the reports of a rank while experts are copied.
const PREPARE_REPORT_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between the reports of a rank while a pass is held or about to be; the whole group waits
/// for these reports.
const HOLD_REPORT_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum interval between the reports of a rank per rank of the group while experts are copied, so that
/// the reports of large groups do not saturate their leader's network link.
const REPORT_INTERVAL_PER_RANK: Duration = Duration::from_micros(800);
/// Age at which a rank's report is too old for planning.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1200);
/// Minimum time that ranks get to arm before the held pass is due.
const MIN_ARM_TIME: Duration = Duration::from_millis(150);
/// Time per rank that ranks get to arm; the leader's network link carries their reports one by one.
const ARM_TIME_PER_RANK: Duration = Duration::from_millis(4);
/// Interval between two log lines on the state of the group.
const LOG_INTERVAL: Duration = Duration::from_millis(250);
/// Lower limit on how many passes ahead of the current one a hold is.
const MIN_HOLD_LEAD: Pass = 3;
/// The same for a first response. No lead can mix maps: a pass that is held does not begin until all
/// ranks are armed, and a hold for a pass that has begun is refused. A short one may make the group wait.
const MIN_FIRST_HOLD_LEAD: Pass = 2;
/// Duration of a pass that is assumed until one has been measured.
const DEFAULT_PASS_TIME: Duration = Duration::from_millis(50);
/// Delay before the next change after one that could not be prepared.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);
/// Time without a report after which a rank's agent counts as unresponsive; reports come every 25 ms
/// during a change.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a serving group may lack what a plan needs before this is an alert.
const MAX_UNPLANNED_TIME: Duration = Duration::from_secs(2);
/// Interval between two log lines on such a group.
const ALERT_INTERVAL: Duration = Duration::from_secs(2);

/// Thresholds and limits for changing the expert map of a group.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Maximum time that a rank spends copying experts in one change; passes are slower meanwhile.
    #[serde(rename = "copying")]
    #[serde_as(as = "unit::Span")]
    pub max_copy_time: Duration,
    /// Minimum reduction of the skew for each second that a rank spends copying.
    #[serde(rename = "price")]
    pub copy_price: f64,
    /// Minimum skew, the load of the most loaded rank over the mean, at which the map is changed.
    #[serde(rename = "least_skew")]
    pub min_skew: f64,
    /// Minimum reduction of the skew by a change.
    #[serde(rename = "least_gain")]
    pub min_gain: f64,
    /// Time in which counts decay by a factor of e.
    #[serde(rename = "memory")]
    #[serde_as(as = "unit::Span")]
    pub decay_time: Duration,
    /// Excess of the skew under short-term popularity over that under blended popularity, above which a
    /// plan uses short-term popularity alone.
    #[serde(rename = "sudden")]
    pub sudden_rise: f64,
    /// Share of long-term popularity, over the last seconds, in the popularity that a plan uses;
    /// from 0 to 1.
    #[serde(rename = "lasting")]
    pub long_term_share: f64,
    /// Minimum decayed number of choices per set for a plan.
    #[serde(rename = "least_mass")]
    pub min_choices: f64,
    /// Minimum time between the end of a change and the start of the next.
    #[serde(rename = "rest")]
    #[serde_as(as = "unit::Span")]
    pub cooldown: Duration,
    /// Share of the tightest gap target of the service's routes that the predicted duration of a pass
    /// must exceed for a first response to a sudden change; from 0 to 1.
    pub gap_share: f64,
    /// Maximum time that a rank spends copying experts in a first response.
    #[serde(rename = "first_copying")]
    #[serde_as(as = "unit::Span")]
    pub first_copy_time: Duration,
    /// Minimum number of choices per set since the change for a first response.
    #[serde(rename = "first_mass")]
    pub first_min_choices: f64,
    /// Largest number of counts of all ranks together for a first response. Comparing the samples of groups of 63 and
    /// 72 ranks with 1,728 counts each delayed the switches of a leader with 0.15 of a core.
    #[serde(rename = "first_counts")]
    pub first_max_counts: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            max_copy_time: Duration::from_millis(240),
            copy_price: 0.035,
            min_skew: 1.6,
            min_gain: 0.3,
            decay_time: Duration::from_millis(400),
            sudden_rise: 0.5,
            long_term_share: 0.5,
            min_choices: 20_000.0,
            cooldown: Duration::from_millis(100),
            gap_share: 0.75,
            first_copy_time: Duration::from_millis(60),
            first_min_choices: 5_000.0,
            first_max_counts: 100_000,
        }
    }
}

/// Answer of the leader to the report of a rank.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Instructions {
    /// Order for the rank's engine, to be sent at once.
    pub order: Option<Order>,
    /// Whether the next report must list the experts of the map in use.
    pub list: bool,
    /// Delay before the next report.
    pub pause: Duration,
    /// Change that the rank's agent completes if the leader stops responding.
    pub decision: Option<Decision>,
}

/// Leader of a group: collects the counts of its ranks, plans placements and drives map changes.
#[derive(Debug)]
pub struct Leader {
    tuning: Tuning,
    /// Limits of one change and the time to copy one expert; `None` until the service's configuration
    /// is known.
    limits: Option<(Limits, Duration)>,
    epoch: Epoch,
    /// Number of ranks.
    ranks: usize,
    switch: Switch,
    /// Popularity of the experts; `None` until the number of sets is known from the lists of all ranks.
    popularity: Option<Popularity>,
    /// Placement in use; `None` until it is known.
    placement: Option<Placement>,
    /// Version of `placement`.
    placement_version: Version,
    /// Experts by set that each rank reported, while the placement is unknown.
    lists: Vec<Option<Vec<Vec<u16>>>>,
    reported_at: Vec<Option<Instant>>,
    engines: Vec<Option<SocketAddr>>,
    min_version: Version,
    created_at: Instant,
    /// Time before which no change is planned.
    next_plan_at: Instant,
    logged_at: Option<Instant>,
    /// Time since which the group has served without what a plan needs.
    unplanned_since: Option<Instant>,
    /// Time of the last alert on it.
    alerted_at: Option<Instant>,
    /// Pass and time at which the current measurement began, and the last measured duration of a pass.
    pass_timing: Option<(Pass, Instant, Duration)>,
    relief: Relief,
    /// Whether the last switch that began is a first response to a sudden change.
    is_first_response: bool,
    /// Number of first responses that began since it was last asked for.
    first_responses: u64,
}

impl Leader {
    /// Creates a leader that has no reports of its group yet.
    #[must_use]
    pub fn new(tuning: Tuning, now: Instant) -> Self {
        Self {
            tuning,
            limits: None,
            epoch: 0,
            ranks: 0,
            switch: Switch::new(0),
            popularity: None,
            placement: None,
            placement_version: 0,
            lists: Vec::new(),
            reported_at: Vec::new(),
            engines: Vec::new(),
            min_version: 0,
            created_at: now,
            next_plan_at: now,
            logged_at: None,
            unplanned_since: None,
            alerted_at: None,
            pass_timing: None,
            relief: Relief::default(),
            is_first_response: false,
            first_responses: 0,
        }
    }

    /// Sets the lowest version that a map may get now; it grows by one each millisecond.
    ///
    /// After a restart, a leader must use higher versions than before, so that engines refuse its
    /// earlier orders that are still in flight.
    #[must_use]
    pub const fn min_version(mut self, version: Version) -> Self {
        self.min_version = version;
        self
    }

    /// Returns the epoch of the group.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns a placement as its differences from the one in use; `None` if that one is not known.
    #[must_use]
    pub fn delta(&self, next: &Placement) -> Option<Delta> {
        let current = self.placement.as_ref()?;
        Delta::between(self.placement_version, current, next)
    }

    /// Returns the addresses of the engines of all ranks, once all have reported.
    #[must_use]
    pub fn engines(&self) -> Option<Vec<SocketAddr>> {
        self.engines.iter().copied().collect()
    }

    /// Sets the maximum number of experts per set on a rank, the maximum number of experts per set
    /// that a rank adds in one change, and the time to copy one expert.
    pub fn set_limits(
        &mut self,
        experts_per_set: usize,
        new_experts_per_set: usize,
        copy_time: Duration,
    ) {
        let limits = Limits {
            capacity: experts_per_set,
            copies_per_set: new_experts_per_set,
            total_copies: copies_within(self.tuning.max_copy_time, copy_time),
        };
        self.limits = Some((limits, copy_time));
    }

    /// Sets the duration of a pass of idle engines and the tightest gap target of the service's
    /// routes; without a target, sudden changes get no first response.
    pub fn set_gap_target(&mut self, base_pass_time: Duration, gap_target: Option<Duration>) {
        self.relief.set_gap_target(base_pass_time, gap_target);
    }

    /// Returns how many first responses to sudden changes have begun since the last call.
    pub const fn take_first_responses(&mut self) -> u64 {
        std::mem::replace(&mut self.first_responses, 0)
    }

    /// Processes the report of a rank and returns its instructions.
    pub fn handle_report(&mut self, rank: usize, status: Status, now: Instant) -> Instructions {
        if status.epoch > self.epoch || status.ranks != self.ranks && status.epoch == self.epoch {
            self.reset(&status, now);
        }
        let min_pause = REPORT_INTERVAL_PER_RANK * u32::try_from(self.ranks).unwrap_or(u32::MAX);
        let pause = match self.switch.phase() {
            // The ranks learn sooner of the first response and of the full plan.
            Phase::Idle if self.relief.has_change(now) => PREPARE_REPORT_INTERVAL.max(min_pause),
            Phase::Idle => IDLE_REPORT_INTERVAL,
            Phase::Preparing => PREPARE_REPORT_INTERVAL.max(min_pause),
            _ => HOLD_REPORT_INTERVAL,
        };
        if status.epoch < self.epoch || rank >= self.ranks {
            return Instructions {
                order: None,
                list: false,
                pause: IDLE_REPORT_INTERVAL,
                decision: None,
            };
        }
        self.reported_at[rank] = Some(now);
        self.engines[rank] = Some(status.engine);
        if let Some(popularity) = self
            .popularity
            .as_mut()
            .filter(|_| !status.counts.is_empty())
        {
            popularity.add(&status.counts, now);
            let sets = popularity.sets();
            self.relief.record(
                (rank, self.ranks),
                self.tuning.first_max_counts,
                sets,
                &status.counts,
                now,
            );
        }
        if let Some(list) = &status.list {
            self.record_list(rank, list, status.map);
        }
        if rank == 0 {
            self.measure_pass(status.pass, now);
        }
        let open = status.open;
        self.switch.record_status(rank, status, now);
        if rank == 0 && open {
            self.advance(now);
            self.check_plannable(now);
        } else if rank == 0 {
            self.unplanned_since = None;
        } else if open && self.relief.is_check_due(now) {
            self.notice_change(now);
            if self.relief.has_change(now) {
                self.plan(now);
            }
        }
        Instructions {
            order: self.switch.next_order(rank, now),
            list: self.placement.is_none(),
            pause,
            decision: self.decision().filter(|_| (1..=STANDBYS).contains(&rank)),
        }
    }

    /// Returns the decided change, if there is one and every engine's address is known.
    fn decision(&self) -> Option<Decision> {
        let version = self.switch.decided()?;
        Some(Decision {
            epoch: self.epoch,
            version,
            engines: self.engines()?,
        })
    }

    /// Returns the decided change that cannot proceed because the agent of a rank does not respond.
    #[must_use]
    pub fn overdue(&self, now: Instant) -> Option<Decision> {
        let silent =
            |at: &Option<Instant>| at.is_none_or(|at| now.duration_since(at) > SILENCE_TIMEOUT);
        let arming = matches!(self.switch.phase(), Phase::Arming { .. });
        let decision = self.decision().filter(|_| arming)?;
        self.reported_at.iter().any(silent).then_some(decision)
    }

    /// Discards the state of the group after it has formed in a new epoch or with another size.
    fn reset(&mut self, status: &Status, now: Instant) {
        log::info!(epoch = status.epoch, ranks = status.ranks, map = status.map; "group has formed");
        self.epoch = status.epoch;
        self.ranks = status.ranks;
        self.switch = Switch::new(status.ranks);
        self.placement = self.initial_placement(status);
        self.placement_version = 0;
        self.lists = vec![None; status.ranks];
        self.reported_at = vec![None; status.ranks];
        self.engines = vec![None; status.ranks];
        self.next_plan_at = now;
        self.pass_timing = None;
        self.relief.reset();
        self.is_first_response = false;
    }

    /// Returns the placement of a new group, if the numbers of sets and experts are known from an
    /// earlier epoch.
    fn initial_placement(&self, status: &Status) -> Option<Placement> {
        let popularity = self.popularity.as_ref()?;
        let (sets, experts) = (popularity.sets().get(), popularity.experts()?.get());
        (status.map == 0).then(|| Balancer::initial(sets, experts, status.ranks))
    }

    /// Records the experts of a rank; the placement in use follows from the lists of all ranks.
    fn record_list(&mut self, rank: usize, list: &[Vec<u16>], version: Version) {
        if self.placement.is_some() || self.switch.phase() != &Phase::Idle {
            return;
        }
        self.lists[rank] = Some(list.to_vec());
        let Some(lists) = self.lists.iter().cloned().collect::<Option<Vec<_>>>() else {
            return;
        };
        if lists.len() != self.ranks {
            return;
        }
        let Some(sets) = NonZeroUsize::new(list.len()) else {
            log::warn!(epoch = self.epoch, rank = rank; "engine lists no sets of experts");
            return;
        };
        let experts = |rank: &Vec<Vec<u16>>, set: usize| rank.get(set).cloned().unwrap_or_default();
        let set = |index| lists.iter().map(|rank| experts(rank, index)).collect();
        self.placement = Some((0..sets.get()).map(set).collect());
        self.placement_version = version;
        if self.popularity.as_ref().map(Popularity::sets) != Some(sets) {
            self.popularity = Some(Popularity::new(self.tuning.decay_time, sets));
        }
    }

    /// Measures the duration of a pass, averaged over at least four passes.
    fn measure_pass(&mut self, pass: Pass, now: Instant) {
        let Some((first, since, pass_time)) = self.pass_timing else {
            self.pass_timing = Some((pass, now, DEFAULT_PASS_TIME));
            return;
        };
        let passes = pass.saturating_sub(first);
        if passes >= 4 {
            let count = u32::try_from(passes).unwrap_or(u32::MAX);
            self.pass_timing = Some((pass, now, now.duration_since(since) / count));
            if self.relief.is_configured() {
                let skew = self.short_term_skew();
                self.relief.record_measurement(skew);
            }
        } else if now.duration_since(since) > MAX_REPORT_AGE {
            self.pass_timing = Some((pass, now, pass_time));
        }
    }

    /// Returns the last measured duration of a pass.
    fn pass_time(&self) -> Duration {
        self.pass_timing
            .map_or(DEFAULT_PASS_TIME, |(_, _, pass_time)| pass_time)
    }

    /// Returns how many passes ahead a hold must be to give the ranks time to arm.
    fn hold_lead(&self) -> Pass {
        let may_hold = matches!(
            self.switch.phase(),
            Phase::Preparing | Phase::Holding { .. }
        );
        // The last measurement may be from before the change.
        let (pass_time, min_lead) = if self.is_first_response && may_hold {
            (self.predict_pass(), MIN_FIRST_HOLD_LEAD)
        } else {
            (self.pass_time(), MIN_HOLD_LEAD)
        };
        let pass_time = pass_time.max(Duration::from_millis(1));
        let arm_time = ARM_TIME_PER_RANK * u32::try_from(self.ranks).unwrap_or(u32::MAX);
        let arm_time = arm_time.max(MIN_ARM_TIME);
        let passes = arm_time.as_secs_f64() / pass_time.as_secs_f64();
        (passes.ceil() as Pass).max(min_lead)
    }

    fn advance(&mut self, now: Instant) {
        match self.switch.advance(self.hold_lead(), now) {
            Progress::Unchanged => {}
            Progress::Entered(phase) => {
                log::info!(epoch = self.epoch, phase:? = phase; "switch entered a phase")
            }
            Progress::Ended(Some((version, placement))) => {
                let skew = format_skew(self.skew(&placement));
                log::info!(epoch = self.epoch, map = version, skew = skew; "map is in use");
                self.placement = Some(placement);
                self.placement_version = version;
                // The full plan follows a first response at once.
                let cooldown = if self.relief.awaits_full_plan() {
                    Duration::ZERO
                } else {
                    self.tuning.cooldown
                };
                self.next_plan_at = now + cooldown;
            }
            Progress::Ended(None) => {
                log::warn!(epoch = self.epoch; "switch has ended without a known map");
                self.placement = None;
                self.lists = vec![None; self.ranks];
                self.next_plan_at = now + FAILURE_BACKOFF;
            }
        }
        self.log_state(now);
        self.plan(now);
    }

    /// Returns what a plan lacks, whatever the load.
    fn obstacle(&self, now: Instant) -> Option<&'static str> {
        let silent =
            |at: &Option<Instant>| at.is_none_or(|at| now.duration_since(at) >= MAX_REPORT_AGE);
        if self.reported_at.iter().any(silent) {
            Some("a rank does not report")
        } else if self.limits.is_none() {
            Some("the limits of the service are not known")
        } else if self.placement.is_none() || self.popularity.is_none() {
            Some("the map in use is not known")
        } else {
            None
        }
    }

    /// Logs an alert if the group has been serving without what a plan needs.
    fn check_plannable(&mut self, now: Instant) {
        let Some(reason) = self.obstacle(now) else {
            if self.is_unplannable(now) {
                log::info!(epoch = self.epoch; "group can be planned again");
            }
            self.unplanned_since = None;
            return;
        };
        let since = *self.unplanned_since.get_or_insert(now);
        let due = self
            .alerted_at
            .is_none_or(|at| now.duration_since(at) >= ALERT_INTERVAL);
        if due && self.is_unplannable(now) {
            let age_ms = now.duration_since(since).as_millis() as u64;
            log::warn!(epoch = self.epoch, reason = reason, age_ms = age_ms; "group cannot be planned");
            self.alerted_at = Some(now);
        }
    }

    /// Returns whether the group has been serving for some time without what a plan needs.
    #[must_use]
    pub fn is_unplannable(&self, now: Instant) -> bool {
        self.unplanned_since
            .is_some_and(|since| now.duration_since(since) >= MAX_UNPLANNED_TIME)
    }

    /// Logs the state of the group, at most once per interval.
    fn log_state(&mut self, now: Instant) {
        let due = self
            .logged_at
            .is_none_or(|at| now.duration_since(at) >= LOG_INTERVAL);
        let Some(placement) = self.placement.as_ref().filter(|_| due) else {
            return;
        };
        let skew = format_skew(self.skew(placement));
        let pass_time = self.pass_time();
        log::info!(
            epoch = self.epoch,
            skew = skew,
            choices = self.choices_per_set() as u64,
            pass_ms = pass_time.as_millis() as u64;
            "group state"
        );
        self.logged_at = Some(now);
    }

    /// Returns the skew of a placement, if the popularity of the experts is known.
    fn skew(&self, placement: &Placement) -> Option<f64> {
        Balancer::skew(placement, &self.popularity.as_ref()?.medium_term())
    }

    /// Returns the decayed number of choices per set, zero until the number of sets is known.
    fn choices_per_set(&self) -> f64 {
        self.popularity
            .as_ref()
            .map_or(0.0, Popularity::choices_per_set)
    }

    /// Returns the popularity to plan for: the short-term one alone if the topic has just changed, else
    /// the blended one.
    fn expected_popularity(&self, placement: &Placement) -> Option<Vec<Vec<f64>>> {
        let popularity = self.popularity.as_ref()?;
        let short_term = popularity.short_term();
        let blend = popularity.blend(self.tuning.long_term_share);
        let rise = Balancer::skew(placement, &short_term)? - Balancer::skew(placement, &blend)?;
        Some(if rise > self.tuning.sudden_rise {
            short_term
        } else {
            blend
        })
    }

    /// Returns the skew of the placement in use under short-term popularity.
    fn short_term_skew(&self) -> Option<f64> {
        let popularity = self.popularity.as_ref()?.short_term();
        Balancer::skew(self.placement.as_ref()?, &popularity)
    }

    /// Returns the duration of a pass under the present skew.
    fn predict_pass(&self) -> Duration {
        let skew = self
            .short_term_skew()
            .filter(|_| self.relief.is_configured());
        self.relief.predict_pass(self.pass_time(), skew)
    }

    /// Returns whether passes threaten to exceed the pauses that routes allow.
    fn needs_relief(&self) -> bool {
        self.relief.is_configured()
            && self
                .relief
                .is_needed(self.predict_pass(), self.tuning.gap_share)
    }

    /// Records a sudden change of demand, if there is one that needs a first response.
    fn notice_change(&mut self, now: Instant) {
        self.relief.record_check(now);
        if self.relief.has_change(now) || !self.needs_relief() {
            return;
        }
        let (Some(placement), Some(popularity)) = (&self.placement, &self.popularity) else {
            return;
        };
        let blend = popularity.blend(self.tuning.long_term_share);
        let before = Balancer::skew(placement, &blend);
        let Some((after, before)) = self.short_term_skew().zip(before) else {
            return;
        };
        if after - before > self.tuning.sudden_rise {
            let age = self.relief.begin(now);
            log::info!(
                epoch = self.epoch,
                skew_new = format!("{after:.3}"),
                skew_old = format!("{before:.3}"),
                counts_age_ms = age.map(|age| age.as_millis() as u64);
                "sudden change of demand"
            );
        }
    }

    /// Starts a map change if one is possible and reduces the skew enough.
    fn plan(&mut self, now: Instant) {
        if self.relief.is_configured() {
            self.notice_change(now);
        }
        let recent =
            |at: &Option<Instant>| at.is_some_and(|at| now.duration_since(at) < MAX_REPORT_AGE);
        if now < self.next_plan_at
            || !self.switch.can_start()
            || !self.reported_at.iter().all(recent)
        {
            return;
        }
        let Some((limits, copy_time)) = self.limits else {
            return;
        };
        if self.relief.has_change(now) {
            self.answer_change(limits, copy_time, now);
            return;
        }
        if self.choices_per_set() < self.tuning.min_choices {
            return;
        }
        let placement = self.placement.as_ref();
        let Some(mut popularity) = placement.and_then(|p| self.expected_popularity(p)) else {
            return;
        };
        let Some(mut change) = self.worthwhile_change(limits, copy_time, &popularity) else {
            return;
        };
        if self.needs_relief() {
            match self.relief.settle(None, now) {
                None => return,
                Some(None) => {}
                Some(Some(since)) => {
                    popularity = self.relief.counts(since).unwrap_or(popularity);
                    let newest = self.worthwhile_change(limits, copy_time, &popularity);
                    let Some(newest) = newest else {
                        return;
                    };
                    change = newest;
                }
            }
        }
        self.start(change, false, now);
    }

    /// Starts the first response to a sudden change or, after it, the full plan, from samples that were
    /// counted after the change.
    fn answer_change(&mut self, limits: Limits, copy_time: Duration, now: Instant) {
        let Some(since) = self.relief.settled_since(now) else {
            return;
        };
        let Some(popularity) = self.relief.counts(since) else {
            return;
        };
        let choices = popularity.iter().flatten().sum::<f64>() / popularity.len() as f64;
        if self.relief.awaits_response() {
            if choices < self.tuning.first_min_choices {
                return;
            }
            let first_limits = Limits {
                total_copies: copies_within(self.tuning.first_copy_time, copy_time),
                ..limits
            };
            self.relief.respond(since);
            if let Some(change) = self.worthwhile_change(first_limits, copy_time, &popularity) {
                self.first_responses += 1;
                self.start(change, true, now);
                return;
            }
        }
        if choices < self.tuning.min_choices {
            return;
        }
        let change = self.worthwhile_change(limits, copy_time, &popularity);
        if let Some(popularity) = &mut self.popularity {
            popularity.clear();
            let samples = self.relief.finish(since);
            samples
                .iter()
                .for_each(|(sample, at)| popularity.add(sample, *at));
        }
        if let Some(change) = change {
            self.start(change, false, now);
        }
    }

    /// Returns the best change of the placement in use, if it reduces the skew enough.
    fn worthwhile_change(
        &self,
        limits: Limits,
        copy_time: Duration,
        popularity: &[Vec<f64>],
    ) -> Option<Change> {
        let balancer = Balancer::new(limits, self.tuning.copy_price * copy_time.as_secs_f64());
        let change = balancer.plan(self.placement.as_ref()?, popularity)?;
        let (before, after) = change.skew;
        let is_worthwhile =
            before >= self.tuning.min_skew && before - after >= self.tuning.min_gain;
        is_worthwhile.then_some(change)
    }

    /// Starts a change of the placement in use.
    fn start(&mut self, change: Change, is_first_response: bool, now: Instant) {
        let (before, after) = change.skew;
        let age = now.duration_since(self.created_at).as_millis() as Version;
        let version = self.switch.next_version().max(self.min_version + age);
        log::info!(
            epoch = self.epoch,
            map = version,
            copies = change.copies,
            skew_before = format!("{:.3}", before),
            skew_after = format!("{:.3}", after),
            choices = self.choices_per_set() as u64,
            first_response = is_first_response,
            predicted_pass_ms = self.predict_pass().as_millis() as u64;
            "switch begins"
        );
        self.is_first_response = is_first_response;
        self.switch
            .start(version, normalized(&change.placement), now);
    }
}

/// Returns how many experts a rank can copy in a time, at least one.
fn copies_within(time: Duration, copy_time: Duration) -> usize {
    let copies = time.as_secs_f64() / copy_time.as_secs_f64().max(0.001);
    (copies as usize).max(1)
}

/// Formats a skew for the log.
fn format_skew(skew: Option<f64>) -> String {
    skew.map_or_else(|| "unknown".to_owned(), |skew| format!("{skew:.3}"))
}
