use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use route::{Action, Descriptor, Event, Policy};
use tokio::{
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    time::Instant,
};
use wire::{Attempt, Request, Suspect};

/// Hands events to the routing policy and its actions to the calls that they are for.
///
/// Lock order: `inner` is the only lock and is never held across an await.
#[derive(Clone)]
pub(crate) struct Chooser {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    policy: Box<dyn Policy>,
    calls: HashMap<Request, UnboundedSender<Action>>,
}

impl Chooser {
    /// Creates a chooser around a policy.
    pub(crate) fn new(policy: Box<dyn Policy>) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                policy,
                calls: HashMap::new(),
            })),
        }
    }

    /// Starts to choose for a request.
    pub(crate) fn begin(&self, ask: Descriptor) -> Choice {
        let request = ask.request.clone();
        let (sender, actions) = mpsc::unbounded_channel();
        if let Ok(mut inner) = self.inner.lock() {
            inner.calls.insert(request.clone(), sender);
        }
        self.tell(Event::Begin(ask));
        Choice {
            chooser: self.clone(),
            request,
            actions,
        }
    }

    /// Tells the policy an event and passes its actions on.
    pub(crate) fn tell(&self, event: Event) {
        let Ok(mut inner) = self.inner.lock() else {
            return;
        };
        let actions = inner.policy.handle(event, Instant::now());
        for action in actions {
            if let Some(call) = inner.calls.get(action.request()) {
                let _ = call.send(action);
            }
        }
    }

    fn end(&self, request: &Request) {
        self.tell(Event::Ended {
            request: request.clone(),
        });
        if let Ok(mut inner) = self.inner.lock() {
            inner.calls.remove(request);
        }
    }
}

impl node::Suspicions for Chooser {
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

/// Actions for one request; dropping it tells the policy that the request is over.
pub(crate) struct Choice {
    chooser: Chooser,
    request: Request,
    actions: UnboundedReceiver<Action>,
}

impl Choice {
    /// Waits for the next action; `None` only if the chooser is broken.
    pub(crate) async fn next(&mut self) -> Option<Action> {
        self.actions.recv().await
    }

    /// Waits until the policy leaves an attempt.
    pub(crate) async fn abandoned(&mut self, attempt: Attempt) {
        loop {
            match self.next().await {
                Some(Action::Abandon { attempt: left, .. }) if left == attempt => return,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }

    /// Tells the policy an event.
    pub(crate) fn tell(&self, event: Event) {
        self.chooser.tell(event);
    }
}

impl Drop for Choice {
    fn drop(&mut self) {
        self.chooser.end(&self.request);
    }
}
