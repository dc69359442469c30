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

/// Passes events to the admission policy, and the policy's verdicts to the attempts they are for.
///
/// Lock order: `inner` is the only lock and is not held across an await.
#[derive(Clone)]
pub(crate) struct Admission {
    inner: Arc<Mutex<Inner>>,
    endpoint: id::Endpoint,
    recorder: Recorder,
}

/// Id of a request and number of an attempt at it.
type AttemptId = (Request, Attempt);

struct Inner {
    policy: Box<dyn Policy>,
    waiting: HashMap<AttemptId, oneshot::Sender<Result<(), Fault>>>,
}

impl Admission {
    /// Creates the admission to an endpoint, which owns the policy.
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

    /// Waits until the policy admits an attempt; dropping the future withdraws the attempt.
    ///
    /// # Errors
    ///
    /// Returns the policy's refusal, in which case the attempt has not been run.
    pub(crate) async fn admit(&self, descriptor: Descriptor) -> Result<Slot, Fault> {
        let id = (descriptor.request.clone(), descriptor.attempt);
        let (sender, receiver) = oneshot::channel();
        if let Ok(mut inner) = self.inner.lock() {
            inner.waiting.insert(id.clone(), sender);
        }
        let slot = Slot {
            admission: self.clone(),
            id,
            outcome: None,
            server_error: AtomicBool::new(false),
        };
        self.notify(Event::Offer(descriptor));
        receiver
            .await
            .unwrap_or_else(|_| Err(ErrorKind::Overloaded.into()))?;
        Ok(slot)
    }

    /// Passes an event to the policy and sends the resulting verdicts to the attempts that wait.
    ///
    /// Records an event if the limit of attempts in flight changed.
    pub(crate) fn notify(&self, event: Event) {
        let Ok(mut inner) = self.inner.lock() else {
            return;
        };
        let old_limit = inner.policy.hint().limit;
        let actions = inner.policy.handle(event, Instant::now());
        let limit = inner.policy.hint().limit;
        if limit != old_limit {
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

    /// Returns the current load and limit of the endpoint.
    pub(crate) fn hint(&self) -> Hint {
        self.inner
            .lock()
            .map(|inner| inner.policy.hint())
            .unwrap_or_default()
    }

    fn remove_waiting(&self, id: &AttemptId) {
        if let Ok(mut inner) = self.inner.lock() {
            inner.waiting.remove(id);
        }
    }
}

impl node::Suspicions for Admission {
    fn list(&self) -> Vec<Suspect> {
        let inner = self.inner.lock();
        inner.map_or_else(
            |_| Vec::new(),
            |inner| inner.policy.suspects(Instant::now()),
        )
    }

    fn merge(&self, suspects: &[Suspect]) {
        self.notify(Event::Suspects(suspects.to_vec()));
    }
}

/// Slot of an attempt, from its offer to the policy until its end.
///
/// Dropping it reports the outcome of a finished run to the policy, or else withdraws the attempt.
pub(crate) struct Slot {
    admission: Admission,
    id: AttemptId,
    /// Outcome of the run; `None` if it did not finish.
    outcome: Option<Outcome>,
    /// Whether the engine answered with a server error.
    server_error: AtomicBool,
}

impl Slot {
    /// Reports to the policy that the engine began to answer.
    pub(crate) fn report_first_chunk(&self) {
        let (request, attempt) = self.id.clone();
        self.admission
            .notify(Event::FirstChunk { request, attempt });
    }

    /// Marks that the engine answered with a server error, so that a complete answer counts as
    /// failed.
    pub(crate) fn mark_server_error(&self) {
        self.server_error.store(true, Ordering::Relaxed);
    }

    /// Releases the slot after a run.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        let failed = outcome == Outcome::Done && self.server_error.load(Ordering::Relaxed);
        self.outcome = Some(if failed { Outcome::Failed } else { outcome });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.admission.remove_waiting(&self.id);
        let (request, attempt) = self.id.clone();
        let event = match self.outcome {
            Some(outcome) => Event::Finished {
                request,
                attempt,
                outcome,
            },
            None => Event::Withdrawn { request, attempt },
        };
        self.admission.notify(event);
    }
}
