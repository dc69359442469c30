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

/// Passes events to the routing policy, and the policy's actions to the requests they are for.
///
/// Lock order: `inner` is the only lock and is not held across an await.
#[derive(Clone)]
pub(crate) struct Dispatcher {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    policy: Box<dyn Policy>,
    subscribers: HashMap<Request, UnboundedSender<Action>>,
}

impl Dispatcher {
    /// Creates a dispatcher that owns a policy.
    pub(crate) fn new(policy: Box<dyn Policy>) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                policy,
                subscribers: HashMap::new(),
            })),
        }
    }

    /// Registers a request with the policy and returns the receiver of its actions.
    pub(crate) fn begin(&self, descriptor: Descriptor) -> Subscription {
        let request = descriptor.request.clone();
        let (sender, actions) = mpsc::unbounded_channel();
        if let Ok(mut inner) = self.inner.lock() {
            inner.subscribers.insert(request.clone(), sender);
        }
        self.notify(Event::Begin(descriptor));
        Subscription {
            dispatcher: self.clone(),
            request,
            actions,
        }
    }

    /// Passes an event to the policy and sends the resulting actions to their requests.
    pub(crate) fn notify(&self, event: Event) {
        let Ok(mut inner) = self.inner.lock() else {
            return;
        };
        let actions = inner.policy.handle(event, Instant::now());
        for action in actions {
            if let Some(sender) = inner.subscribers.get(action.request()) {
                let _ = sender.send(action);
            }
        }
    }

    fn end(&self, request: &Request) {
        self.notify(Event::Ended {
            request: request.clone(),
        });
        if let Ok(mut inner) = self.inner.lock() {
            inner.subscribers.remove(request);
        }
    }
}

impl node::Suspicions for Dispatcher {
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

/// Receives the actions for one request; dropping it reports to the policy that the request ended.
pub(crate) struct Subscription {
    dispatcher: Dispatcher,
    request: Request,
    actions: UnboundedReceiver<Action>,
}

impl Subscription {
    /// Waits for the next action; returns `None` only if the dispatcher's lock is poisoned.
    pub(crate) async fn next(&mut self) -> Option<Action> {
        self.actions.recv().await
    }

    /// Waits until the policy abandons an attempt; other actions are discarded.
    pub(crate) async fn abandoned(&mut self, attempt: Attempt) {
        loop {
            match self.next().await {
                Some(Action::Abandon {
                    attempt: abandoned, ..
                }) if abandoned == attempt => return,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }

    /// Passes an event to the policy.
    pub(crate) fn notify(&self, event: Event) {
        self.dispatcher.notify(event);
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.dispatcher.end(&self.request);
    }
}
