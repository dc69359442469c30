use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    time,
};
use tokio_util::sync::CancellationToken;

use crate::{Slot, throttle::Throttle};

/// Delay after a connection could not be accepted.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What a connection waits for that may give way, in the order in which connections do.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Wait {
    /// The client must send the head of a request, or close the connection.
    Head,
    /// The client must read what was sent.
    Reading,
    /// The client must send the body of a request.
    Body,
}

/// Client connections of a process.
///
/// At the limit, a new connection takes the place of the one that has waited for its client for longest: one that is idle,
/// else one whose client does not read, else one whose client does not send the body. While the process owes an answer on
/// all of them, new connections wait. Lock order: `state` is the only lock and is never held across an await.
#[derive(Clone)]
pub struct Connections {
    shared: Arc<Shared>,
}

struct Shared {
    limit: usize,
    state: Mutex<State>,
    /// Notified when a connection has ended or may give way.
    changed: Notify,
}

#[derive(Default)]
struct State {
    connections: HashMap<u64, Connection>,
    /// Connections that may give way, by what they wait for and by their last progress.
    waiting: BTreeMap<(Wait, u64), u64>,
    next_connection: u64,
    next_progress: u64,
    /// Number of connections that were told to close, and have not yet.
    closing: usize,
    revoked: u64,
    log: Throttle,
}

/// State of an open connection.
#[derive(Default)]
pub(crate) struct Connection {
    /// Number of requests whose answers have not ended.
    pub(crate) exchanges: usize,
    /// Number of these whose bodies have not ended.
    pub(crate) receiving: usize,
    /// Whether the client does not read what was sent.
    pub(crate) is_blocked: bool,
    /// Last progress; `None` once the connection was told to close.
    progress: Option<u64>,
    revocation: CancellationToken,
}

impl Connections {
    /// Creates an empty set that has room for `limit` connections.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            shared: Arc::new(Shared {
                limit,
                state: Mutex::default(),
                changed: Notify::new(),
            }),
        }
    }

    /// Accepts the next connection, and waits until there is room for it; retries after a failure.
    pub async fn accept(&self, listener: &TcpListener) -> (TcpStream, Arc<Slot>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => return (stream, Arc::new(self.admit().await)),
                Err(e) => {
                    log::warn!(reason:% = e; "connection could not be accepted");
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Returns the slot of a new, idle connection; waits until there is room for it.
    pub async fn admit(&self) -> Slot {
        loop {
            let changed = self.shared.changed.notified();
            tokio::pin!(changed);
            // A change between the attempt and the wait must not be missed.
            changed.as_mut().enable();
            if let Some((id, revocation)) = self.lock().try_admit(self.shared.limit) {
                return Slot::new(self.clone(), id, revocation);
            }
            changed.await;
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().connections.len()
    }

    /// Returns whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many connections have given way so far.
    #[must_use]
    pub fn revoked(&self) -> u64 {
        self.lock().revoked
    }

    /// Changes what a connection waits for, which counts as progress.
    pub(crate) fn record(&self, id: u64, change: impl FnOnce(&mut Connection)) {
        let may_give_way = self.lock().record(id, change);
        if may_give_way {
            self.shared.changed.notify_waiters();
        }
    }

    pub(crate) fn remove(&self, id: u64) {
        self.lock().remove(id);
        self.shared.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is ignored: the counts stay usable after a panic.
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Adds an idle connection if there is room; else tells another one to close, unless enough were told.
    fn try_admit(&mut self, limit: usize) -> Option<(u64, CancellationToken)> {
        if self.connections.len() >= limit {
            if self.connections.len() - self.closing >= limit {
                self.revoke_slowest();
            }
            return None;
        }
        let id = self.next_connection;
        self.next_connection += 1;
        let revocation = CancellationToken::new();
        let connection = Connection {
            progress: Some(self.next_progress),
            revocation: revocation.clone(),
            ..Connection::default()
        };
        self.connections.insert(id, connection);
        self.record(id, |_| {});
        Some((id, revocation))
    }

    fn revoke_slowest(&mut self) {
        let Some((_, id)) = self.waiting.pop_first() else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.progress = None;
            connection.revocation.cancel();
            self.closing += 1;
            self.revoked += 1;
        }
        if self.log.allows() {
            log::warn!(connections = self.connections.len(), closed = self.revoked; "connection limit is reached; those that wait for their clients for longest are closed");
        }
    }

    /// Changes what a connection waits for, which counts as progress; returns whether it may give way.
    fn record(&mut self, id: u64, change: impl FnOnce(&mut Connection)) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        let before = connection.wait();
        change(connection);
        let Some(progress) = connection.progress.replace(self.next_progress) else {
            connection.progress = None;
            return false;
        };
        if let Some(wait) = before {
            self.waiting.remove(&(wait, progress));
        }
        let after = connection.wait();
        if let Some(wait) = after {
            self.waiting.insert((wait, self.next_progress), id);
        }
        self.next_progress += 1;
        after.is_some()
    }

    fn remove(&mut self, id: u64) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        match (connection.progress, connection.wait()) {
            (Some(progress), Some(wait)) => {
                self.waiting.remove(&(wait, progress));
            }
            (Some(_), None) => {}
            (None, _) => self.closing -= 1,
        }
    }
}

impl Connection {
    /// Returns what the connection waits for; `None` if the process owes an answer.
    const fn wait(&self) -> Option<Wait> {
        if self.is_blocked {
            return Some(Wait::Reading);
        }
        match (self.exchanges, self.receiving) {
            (0, _) => Some(Wait::Head),
            (exchanges, receiving) if receiving == exchanges => Some(Wait::Body),
            _ => None,
        }
    }
}
