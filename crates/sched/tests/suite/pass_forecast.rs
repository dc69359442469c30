use std::time::Duration;

use conf::id;
use fleet::Engine;
use sched::{Forecast, Load};
use tokio::time::Instant;

const GAP_TARGET: Duration = Duration::from_millis(120);
const SLOTS: f64 = 12.0;
/// Duration of a pass without requests.
const BASE: Duration = Duration::from_millis(30);
/// Time beyond the base with all slots taken, while the experts are evenly loaded and after a sudden change of
/// demand; half of it does not depend on the load.
const EVEN: Duration = Duration::from_millis(32);
const SKEWED: Duration = Duration::from_millis(100);

fn load(requests: f64) -> Load {
    Load {
        requests,
        slots: SLOTS,
    }
}

/// Returns the duration of a pass under a load.
fn pass_time(excess: Duration, requests: f64) -> Duration {
    BASE + excess.mul_f64(0.5 + 0.5 * requests / SLOTS)
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

fn engine() -> Engine {
    Engine {
        step_time: Duration::from_millis(6),
        step_time_per_request: Duration::from_micros(300),
        steps_per_pass: 5,
        prompt_rate: 60_000.0,
        expert_slots: 6,
        max_new_experts: 2,
        copy_time: Duration::from_millis(100),
        form_time: Duration::from_millis(600),
        zone_delays: Vec::new(),
    }
}

/// Entry with streams in one group.
struct Replay {
    forecast: Forecast,
    service: id::Service,
    group: group::Key,
    now: Instant,
    /// Distances of predictions from the passes.
    errors: Vec<Duration>,
}

impl Replay {
    fn new() -> Self {
        Self {
            forecast: Forecast::new(),
            service: "drafts".into(),
            group: ("drafts".into(), "g1".into()),
            now: Instant::now(),
            errors: Vec::new(),
        }
    }

    /// Records the gap of several streams, a millisecond apart.
    fn record(&mut self, gap: Duration, requests: f64, streams: u64) {
        self.now += gap;
        for stream in 0..streams {
            let at = self.now + Duration::from_millis(stream);
            let (service, group) = (&self.service, Some(&self.group));
            let error =
                self.forecast
                    .record_gap(service, group, &engine(), gap, load(requests), at);
            self.errors.extend(error);
        }
    }

    /// Plays passes with an excess and load for a time.
    fn play(&mut self, span: Duration, excess: Duration, requests: f64) {
        let end = self.now + span;
        while self.now < end {
            self.record(pass_time(excess, requests), requests, 3);
        }
    }

    fn comfortable_load(&self) -> f64 {
        let (service, group) = (&self.service, Some(&self.group));
        let forecast = &self.forecast;
        forecast.comfortable_load(service, group, &engine(), SLOTS, GAP_TARGET, self.now)
    }

    fn pass(&self, requests: f64) -> Duration {
        let group = Some(&self.group);
        let forecast = &self.forecast;
        forecast.pass(&self.service, group, &engine(), load(requests), self.now)
    }
}

fn assert_near(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < 0.05, "{actual}, not {expected}");
}

/// Load pattern: a burst fills the engines, and the experts in demand change during it. Failure: passes of over
/// 120 ms are not predicted before the next burst.
#[test]
fn skew_in_burst() {
    let mut replay = Replay::new();
    replay.play(Duration::from_secs(2), EVEN, 4.0);
    replay.play(Duration::from_secs(1), EVEN, 11.0);
    assert_near(replay.comfortable_load(), SLOTS);
    replay.play(Duration::from_millis(600), SKEWED, 11.0);
    let bearable = ((0.95 * 120.0 - 30.0) / 100.0 - 0.5) / 0.5 * SLOTS;
    assert_near(replay.comfortable_load(), bearable);
    replay.play(Duration::from_secs(2), EVEN, 4.0);
    assert_near(replay.comfortable_load(), bearable);
    assert_near(millis(replay.pass(4.0)), millis(pass_time(EVEN, 4.0)));
}

/// Failure: a stall of the group, such as while it forms again, is taken for load.
#[test]
fn stall_ignored() {
    let mut replay = Replay::new();
    replay.play(Duration::from_secs(1), EVEN, 8.0);
    for _ in 0..3 {
        replay.record(Duration::from_millis(700), 8.0, 3);
    }
    replay.play(Duration::from_millis(300), EVEN, 8.0);
    assert_near(replay.comfortable_load(), SLOTS);
    assert_near(millis(replay.pass(8.0)), millis(pass_time(EVEN, 8.0)));
}

/// Failures: a single late pass, one slow client, or the events at the end of a stream change the forecast.
#[test]
fn outliers_ignored() {
    let mut replay = Replay::new();
    replay.play(Duration::from_secs(1), EVEN, 8.0);
    replay.record(Duration::from_millis(350), 8.0, 3);
    for _ in 0..4 {
        replay.record(pass_time(EVEN, 8.0), 8.0, 3);
        let slow = Duration::from_millis(300);
        let (service, group) = (replay.service.clone(), replay.group.clone());
        let forecast = &mut replay.forecast;
        forecast.record_gap(
            &service,
            Some(&group),
            &engine(),
            slow,
            load(8.0),
            replay.now,
        );
    }
    replay.record(Duration::from_millis(2), 8.0, 1);
    assert_near(replay.comfortable_load(), SLOTS);
    let spread = millis(replay.pass(8.0));
    replay.play(Duration::from_millis(600), EVEN, 8.0);
    assert!(
        spread > millis(pass_time(EVEN, 8.0)) + 0.2,
        "the late pass was recorded: {spread} ms"
    );
    assert_near(millis(replay.pass(8.0)), millis(pass_time(EVEN, 8.0)));
}

/// Failure: an entry without streams limits the load, or one group that of another.
#[test]
fn unknown_group_unlimited() {
    let mut replay = Replay::new();
    assert_near(replay.comfortable_load(), SLOTS);
    let published = Duration::from_micros(1500).mul_f64(SLOTS);
    assert_near(millis(replay.pass(4.0)), millis(pass_time(published, 4.0)));
    replay.play(Duration::from_secs(1), SKEWED, 11.0);
    let other = ("drafts".into(), "g2".into());
    for group in [None, Some(&other)] {
        let (service, engine) = (&replay.service, engine());
        let forecast = &replay.forecast;
        let comfortable =
            forecast.comfortable_load(service, group, &engine, SLOTS, GAP_TARGET, replay.now);
        assert_near(comfortable, SLOTS);
    }
}

/// Failure: one bad second limits the load for ever, or no longer when the streams stop.
#[test]
fn peak_expires() {
    let mut replay = Replay::new();
    replay.play(Duration::from_secs(1), SKEWED, 11.0);
    let peak = replay.comfortable_load();
    assert!(peak < SLOTS - 1.0, "{peak}");
    replay.now += Duration::from_secs(19);
    assert_near(replay.comfortable_load(), peak);
    replay.forecast.remove_expired(replay.now);
    assert_near(replay.comfortable_load(), peak);
    replay.now += Duration::from_secs(1);
    assert_near(replay.comfortable_load(), SLOTS);
    replay.play(Duration::from_millis(500), EVEN, 4.0);
    assert_near(replay.comfortable_load(), SLOTS);
}

/// Failures: with hardly any load, the excess is a division by almost nothing; long passes at a start, while the
/// load of others is not known yet, limit the load for 20 s.
#[test]
fn idle_group() {
    let mut replay = Replay::new();
    for _ in 0..40 {
        replay.record(BASE + Duration::from_millis(3), 0.0, 2);
        replay.record(BASE + Duration::from_millis(3), 0.02, 2);
    }
    for _ in 0..4 {
        replay.record(Duration::from_millis(190), 1.0, 2);
    }
    assert_near(replay.comfortable_load(), SLOTS);
    assert_near(millis(replay.pass(0.0)), 30.0);
}

/// Failure: limits below half of the slots, where the base alone exceeds the target.
#[test]
fn half_of_slots() {
    let mut replay = Replay::new();
    replay.play(Duration::from_secs(1), Duration::from_millis(300), 10.0);
    assert_near(replay.comfortable_load(), SLOTS / 2.0);
}

/// Failure: errors are measured against predictions that were made from the same gaps.
#[test]
fn prediction_errors() {
    let mut replay = Replay::new();
    replay.play(Duration::from_secs(1), EVEN, 8.0);
    assert!(replay.errors.len() > 5, "{:?}", replay.errors);
    let most = replay.errors.iter().max().copied();
    assert!(most < Some(Duration::from_millis(1)), "{most:?}");
    replay.errors.clear();
    replay.play(Duration::from_millis(450), SKEWED, 8.0);
    let expected = pass_time(SKEWED, 8.0) - pass_time(EVEN, 8.0);
    // A prediction follows from the passes that have ended by then. The one made at the end of the first pass after
    // the change knows of even passes only; the one made a pass later, 113 ms before the third pass, knows more.
    let millisecond = Duration::from_millis(1);
    let full = replay
        .errors
        .iter()
        .filter(|e| e.abs_diff(expected) < millisecond);
    assert_eq!(full.count(), 2, "{:?}", replay.errors);
}
