use std::{sync::Arc, time::Duration};

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    Outcome, Placement,
    call::{Context, millis},
    outlet::Link,
};

/// Logs how a send ended.
pub(crate) fn note(
    context: &Context,
    id: &SmolStr,
    flight: &Flight,
    outcome: &str,
    reason: &str,
    arrived: Instant,
) {
    context.metrics.sends.with_label_values(&[outcome]).inc();
    log::info!(
        request:% = id,
        endpoint:% = flight.placement.endpoint,
        outcome = outcome,
        reason = reason,
        age_ms = millis(arrived.elapsed());
        "send ended"
    );
}

/// Request that is counted at an endpoint until it ends or is dropped.
pub(crate) struct Flight {
    context: Arc<Context>,
    pub(crate) placement: Placement,
    begun: bool,
    ended: bool,
}

impl Flight {
    pub(crate) fn new(context: Arc<Context>, placement: Placement) -> Self {
        Self {
            context,
            placement,
            begun: false,
            ended: false,
        }
    }

    /// Notes that the answer has come a step further.
    pub(crate) fn progress(&self) {
        let now = Instant::now();
        self.context
            .decide(|desk| desk.progressed(&self.placement, now));
    }

    /// Notes that the answer has begun.
    pub(crate) fn begin(&mut self) {
        if !std::mem::replace(&mut self.begun, true) {
            self.context.decide(|desk| desk.began(&self.placement));
        }
    }

    /// Ends the count with an outcome.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.begin();
        let now = Instant::now();
        let paused = self
            .context
            .decide(|desk| desk.ended(&self.placement, outcome, now));
        if paused {
            log::warn!(endpoint:% = self.placement.endpoint, outcome:? = outcome; "endpoint is passed over for a while");
        }
    }

    pub(crate) fn keep(&self, link: Link, keep_alive: Option<Duration>) {
        self.context.outlet.keep(link, keep_alive);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.finish(Outcome::Dropped);
    }
}
