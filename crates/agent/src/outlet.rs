use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use fault::Fault;
use once::{Buffer, Cursor, Item};
use tokio::{sync::watch, time};
use tokio_util::sync::CancellationToken;
use wire::{Attempt, Checksum, Head, Reply, Request, Sender};

/// Time for which a run waits for its entry to come back over a new link.
const GRACE: Duration = Duration::from_secs(5);
/// Time in which the other side must acknowledge the last bytes of an answer.
pub(crate) const FLUSH: Duration = Duration::from_secs(10);

type Target = (Request, Attempt);

/// Running answers, by attempt, for entries that come back after their link broke.
///
/// Lock order: `inner` is the only lock and is never held across an await.
#[derive(Clone, Default)]
pub(crate) struct Outlets {
    inner: Arc<Mutex<HashMap<Target, Arc<Outlet>>>>,
}

impl Outlets {
    /// Opens the outlet of an attempt.
    pub(crate) fn open(&self, request: &Request, attempt: Attempt) -> Arc<Outlet> {
        let target = (request.clone(), attempt);
        let outlet = Arc::new(Outlet {
            target: target.clone(),
            feed: watch::Sender::new(Buffer::default()),
            left: CancellationToken::new(),
        });
        if let Ok(mut inner) = self.inner.lock() {
            inner.insert(target, outlet.clone());
        }
        outlet
    }

    /// Returns the outlet of an attempt, if its answer is still kept.
    pub(crate) fn find(&self, request: &Request, attempt: Attempt) -> Option<Arc<Outlet>> {
        let inner = self.inner.lock().ok()?;
        inner.get(&(request.clone(), attempt)).cloned()
    }

    /// Forgets an outlet that nobody comes back to.
    pub(crate) fn close(&self, outlet: &Outlet) {
        outlet.left.cancel();
        if let Ok(mut inner) = self.inner.lock() {
            inner.remove(&outlet.target);
        }
    }
}

/// Answer of one attempt on its way from the engine to the entry.
pub(crate) struct Outlet {
    target: Target,
    feed: watch::Sender<Buffer>,
    left: CancellationToken,
}

/// How a reader ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Read {
    /// It has the whole answer, or knows that there is none.
    Done,
    /// It does not want the rest.
    Left,
    /// Its link broke; it may come back.
    Lost,
    /// Another reader took its place.
    Replaced,
}

/// # Writing
impl Outlet {
    /// Passes the head on.
    pub(crate) fn begin(&self, head: Head) {
        self.feed.send_modify(|feed| feed.set_head(head));
    }

    /// Passes bytes on; waits while the reader is behind, and drops them once it has left.
    pub(crate) async fn push(&self, data: Bytes) {
        let mut watch = self.feed.subscribe();
        tokio::select! {
            _ = watch.wait_for(Buffer::has_room) => {}
            () = self.left.cancelled() => return,
        }
        self.feed.send_modify(|feed| feed.push(data));
    }

    /// Ends the answer.
    pub(crate) fn finish(&self, end: Result<Checksum, Fault>) {
        self.feed.send_modify(|feed| feed.finish(end));
    }

    /// Waits until nobody comes back for the answer.
    pub(crate) async fn left(&self) {
        self.left.cancelled().await;
    }
}

/// # Reading
impl Outlet {
    /// Attaches a reader that has the body up to `offset`.
    pub(crate) fn attach(&self, offset: u64) -> Cursor {
        let mut cursor = None;
        self.feed
            .send_modify(|feed| cursor = Some(feed.attach(offset)));
        cursor.unwrap_or_else(|| Buffer::default().attach(offset))
    }

    /// Sends the answer from a cursor on, until its end or that of the reader.
    pub(crate) async fn read(&self, sender: &mut Sender<Reply>, mut cursor: Cursor) -> Read {
        let mut watch = self.feed.subscribe();
        loop {
            watch.borrow_and_update();
            let mut pull = Item::Pending;
            self.feed.send_if_modified(|feed| {
                pull = feed.pull(&mut cursor);
                matches!(pull, Item::Data(..))
            });
            let last = matches!(pull, Item::End(_) | Item::Failed(_));
            let reply = match pull {
                Item::Replaced => return Read::Replaced,
                Item::Pending => {
                    if watch.changed().await.is_err() {
                        return Read::Left;
                    }
                    continue;
                }
                pull => self.reply(pull),
            };
            if let Some(reply) = reply
                && let Err(e) = sender.send(&reply).await
            {
                return ended(&e);
            }
            if last {
                return flush(sender).await;
            }
        }
    }

    fn reply(&self, pull: Item) -> Option<Reply> {
        let (request, attempt) = self.target.clone();
        match pull {
            Item::Head(head) => Some(Reply::Head(head)),
            Item::Data(offset, data) => Some(Reply::Data {
                request,
                attempt,
                offset,
                data,
            }),
            Item::End(seal) => Some(Reply::End {
                request,
                attempt,
                checksum: seal,
            }),
            Item::Failed(fault) => Some(Reply::Failed { fault }),
            Item::Pending | Item::Replaced => None,
        }
    }

    /// Waits for a lost reader to come back; returns whether another one is attached.
    pub(crate) async fn regained(&self, lost: Cursor) -> bool {
        let mut watch = self.feed.subscribe();
        let back = watch.wait_for(|feed| feed.reader() != lost.reader());
        matches!(time::timeout(GRACE, back).await, Ok(Ok(_)))
    }
}

/// Tells a reader that stopped from a link that broke.
pub(crate) fn ended(error: &io::Error) -> Read {
    if error.kind() == io::ErrorKind::ConnectionReset {
        Read::Left
    } else {
        Read::Lost
    }
}

/// Ends a stream and waits until the other side has all of it, so that the process may end.
pub(crate) async fn flush(sender: &mut Sender<Reply>) -> Read {
    sender.finish();
    match time::timeout(FLUSH, sender.stopped()).await {
        Ok(true) => Read::Done,
        Ok(false) | Err(_) => Read::Lost,
    }
}
