use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use conf::id;
use event::{Kind, Recorder};
use fault::{ErrorKind, Fault};
use gate::{Action, Descriptor, Event, Outcome, Policy};
use tokio::{sync::oneshot, time::Instant};
use wire::{Attempt, Hint, Request, Suspect};

/// Hands events to the admission policy and its actions to the attempts that they are for.
///
/// Lock order: `inner` is the only lock and is never held across an await.
#[derive(Clone)]
pub(crate) struct Gatekeeper {
    inner: Arc<Mutex<Inner>>,
    endpoint: id::Endpoint,
    recorder: Recorder,
}

type Target = (Request, Attempt);

struct Inner {
    policy: Box<dyn Policy>,
    waiting: HashMap<Target, oneshot::Sender<Result<(), Fault>>>,
}

impl Gatekeeper {
    /// Creates a gatekeeper around a policy.
    pub(crate) fn new(policy: Box<dyn Policy>, endpoint: id::Endpoint, recorder: Recorder) -> Self {
        Self {
            endpoint,
            recorder,
            inner: Arc::new(Mutex::new(Inner {
                policy,
                waiting: HashMap::new(),
            })),
        }
    }

    /// Waits until an attempt is admitted.
    ///
    /// # Errors
    ///
    /// Returns the policy's refusal; the attempt has not been run then.
    pub(crate) async fn admit(&self, ask: Descriptor) -> Result<Slot, Fault> {
        let target = (ask.request.clone(), ask.attempt);
        let (sender, receiver) = oneshot::channel();
        if let Ok(mut inner) = self.inner.lock() {
            inner.waiting.insert(target.clone(), sender);
        }
        let slot = Slot {
            gatekeeper: self.clone(),
            target,
            outcome: None,
            failed: AtomicBool::new(false),
        };
        self.tell(Event::Offer(ask));
        receiver
            .await
            .unwrap_or_else(|_| Err(ErrorKind::Overloaded.into()))?;
        Ok(slot)
    }

    /// Tells the policy an event and passes its actions on.
    pub(crate) fn tell(&self, event: Event) {
        let Ok(mut inner) = self.inner.lock() else {
            return;
        };
        let before = inner.policy.hint().limit;
        let actions = inner.policy.handle(event, Instant::now());
        let limit = inner.policy.hint().limit;
        if limit != before {
            let endpoint = self.endpoint.clone();
            self.recorder.record(None, Kind::Limit { endpoint, limit });
        }
        for action in actions {
            let (request, attempt) = action.target();
            let waiting = inner.waiting.remove(&(request.clone(), attempt));
            let verdict = match action {
                Action::Admit { .. } => Ok(()),
                Action::Refuse { fault, .. } => Err(fault),
            };
            if let Some(sender) = waiting {
                let _ = sender.send(verdict);
            }
        }
    }

    /// Returns the load.
    pub(crate) fn hint(&self) -> Hint {
        self.inner
            .lock()
            .map(|inner| inner.policy.hint())
            .unwrap_or_default()
    }

    fn forget(&self, target: &Target) {
        if let Ok(mut inner) = self.inner.lock() {
            inner.waiting.remove(target);
        }
    }
}

impl node::Suspicions for Gatekeeper {
    fn list(&self) -> Vec<Suspect> {
        let inner = self.inner.lock();
        inner.map_or_else(
            |_| Vec::new(),
            |inner| inner.policy.suspects(Instant::now()),
        )
    }

    fn merge(&self, suspects: &[Suspect]) {
        self.tell(Event::Suspects(suspects.to_vec()));
    }
}

/// Place of an attempt, from its offer until it is over.
pub(crate) struct Slot {
    gatekeeper: Gatekeeper,
    target: Target,
    outcome: Option<Outcome>,
    /// Whether the engine answered with an error of its own.
    failed: AtomicBool,
}

impl Slot {
    /// Tells that the first piece of an answer arrived.
    pub(crate) fn first(&self) {
        let (request, attempt) = self.target.clone();
        self.gatekeeper.tell(Event::FirstChunk { request, attempt });
    }

    /// Tells that the engine answered with an error of its own.
    pub(crate) fn fail(&self) {
        self.failed.store(true, Ordering::Relaxed);
    }

    /// Gives the place back after a run.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        let failed = outcome == Outcome::Done && self.failed.load(Ordering::Relaxed);
        self.outcome = Some(if failed { Outcome::Failed } else { outcome });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.gatekeeper.forget(&self.target);
        let (request, attempt) = self.target.clone();
        let event = match self.outcome {
            Some(outcome) => Event::Finished {
                request,
                attempt,
                outcome,
            },
            None => Event::Withdrawn { request, attempt },
        };
        self.gatekeeper.tell(event);
    }
}
