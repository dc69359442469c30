use std::time::Duration;

use gate::{Event, Status};
use tokio::time;

use crate::{
    admission::Admission,
    engine::{Engine, Health},
    metrics::Metrics,
};

/// Interval between health checks of the engine.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between tick events to the admission policy.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Checks the health of the engine periodically, without end, and reports it to the admission
/// policy.
pub(crate) async fn check(engine: Engine, admission: Admission) {
    let mut last: Option<Health> = None;
    let mut ticks = time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let current = engine.health().await.ok();
        for status in compare(last, current) {
            admission.notify(Event::Status(status));
        }
        last = current;
    }
}

/// Sends tick events to the admission policy without end; it detects a pause of the process by the
/// time between two ticks.
pub(crate) async fn send_ticks(admission: Admission, metrics: Metrics) {
    let mut ticks = time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        admission.notify(Event::Tick);
        metrics.set_load(admission.hint());
    }
}

/// Compares two consecutive health checks, `None` for a failed one, and returns what to report.
fn compare(last: Option<Health>, current: Option<Health>) -> Vec<Status> {
    let Some(health) = current else {
        return vec![Status::Down];
    };
    let mut statuses = Vec::new();
    if last.is_some_and(|last| last.boot != health.boot) {
        statuses.push(Status::Restarted);
    }
    if last.is_none() {
        statuses.push(Status::Up);
    }
    statuses.push(Status::Load {
        running: health.running,
        queued: health.queued,
    });
    statuses
}
