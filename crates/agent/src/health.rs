use std::time::Duration;

use gate::{Event, Status};
use tokio::time;

use crate::{
    admit::Gatekeeper,
    engine::{Engine, Health},
    metrics::Metrics,
};

/// Time between two probes.
const PERIOD: Duration = Duration::from_millis(250);

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);

/// Probes the engine for ever and tells the gatekeeper what it learns.
pub(crate) async fn watch(engine: Engine, gatekeeper: Gatekeeper) {
    let mut last: Option<Health> = None;
    let mut ticks = time::interval(PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = engine.health().await.ok();
        for sign in signs(last, now) {
            gatekeeper.tell(Event::Status(sign));
        }
        last = now;
    }
}

/// Tells the gatekeeper that time passes, for ever; it takes a gap for a pause of the process.
pub(crate) async fn tick(gatekeeper: Gatekeeper, metrics: Metrics) {
    let mut ticks = time::interval(TICK);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        gatekeeper.tell(Event::Tick);
        metrics.load(gatekeeper.hint());
    }
}

/// Compares two probes.
fn signs(last: Option<Health>, now: Option<Health>) -> Vec<Status> {
    let Some(health) = now else {
        return vec![Status::Down];
    };
    let mut signs = Vec::new();
    if last.is_some_and(|last| last.boot != health.boot) {
        signs.push(Status::Restarted);
    }
    if last.is_none() {
        signs.push(Status::Up);
    }
    signs.push(Status::Load {
        running: health.running,
        queued: health.queued,
    });
    signs
}
