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

/// Time in which an entry whose stream broke must resume the answer over another stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which the entry must acknowledge the last bytes of a stream.
pub(crate) const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);

/// Id of a request and number of an attempt at it.
type AttemptId = (Request, Attempt);

/// Outputs by attempt, from which an entry can resume an answer after its stream broke.
///
/// Lock order: `inner` is the only lock and is not held across an await.
#[derive(Clone, Default)]
pub(crate) struct Outputs {
    inner: Arc<Mutex<HashMap<AttemptId, Arc<Output>>>>,
}

impl Outputs {
    /// Creates the output of an attempt.
    pub(crate) fn open(&self, request: &Request, attempt: Attempt) -> Arc<Output> {
        let id = (request.clone(), attempt);
        let output = Arc::new(Output {
            id: id.clone(),
            buffer: watch::Sender::new(Buffer::default()),
            closed: CancellationToken::new(),
        });
        if let Ok(mut inner) = self.inner.lock() {
            inner.insert(id, output.clone());
        }
        output
    }

    /// Returns the output of an attempt, if it is still open.
    pub(crate) fn find(&self, request: &Request, attempt: Attempt) -> Option<Arc<Output>> {
        let inner = self.inner.lock().ok()?;
        inner.get(&(request.clone(), attempt)).cloned()
    }

    /// Closes an output that has no reader any more and removes it.
    pub(crate) fn close(&self, output: &Output) {
        output.closed.cancel();
        if let Ok(mut inner) = self.inner.lock() {
            inner.remove(&output.id);
        }
    }
}

/// Buffered answer of one attempt, written from the engine's response and read by the entry.
pub(crate) struct Output {
    id: AttemptId,
    buffer: watch::Sender<Buffer>,
    /// Cancelled when the output is closed.
    closed: CancellationToken,
}

/// How a reader of an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ending {
    /// It received the complete answer, or the fault that ended it.
    Complete,
    /// It cancelled the rest of the answer.
    Cancelled,
    /// Its stream broke; it may resume the answer over another one.
    Disconnected,
    /// Another reader replaced it.
    Replaced,
}

/// # Writing
impl Output {
    /// Writes the head of the answer.
    pub(crate) fn begin(&self, head: Head) {
        self.buffer.send_modify(|buffer| buffer.set_head(head));
    }

    /// Writes bytes of the body; waits while the buffer is full, and discards them after
    /// [`Outputs::close`].
    pub(crate) async fn push(&self, data: Bytes) {
        let mut watch = self.buffer.subscribe();
        tokio::select! {
            _ = watch.wait_for(Buffer::has_room) => {}
            () = self.closed.cancelled() => return,
        }
        self.buffer.send_modify(|buffer| buffer.push(data));
    }

    /// Writes the end of the answer, or the fault that ended it early.
    pub(crate) fn finish(&self, end: Result<Checksum, Fault>) {
        self.buffer.send_modify(|buffer| buffer.finish(end));
    }

    /// Waits until the output is closed.
    pub(crate) async fn closed(&self) {
        self.closed.cancelled().await;
    }
}

/// # Reading
impl Output {
    /// Attaches a reader that already has the first `offset` bytes of the body.
    pub(crate) fn attach(&self, offset: u64) -> Cursor {
        let mut cursor = None;
        self.buffer
            .send_modify(|buffer| cursor = Some(buffer.attach(offset)));
        cursor.unwrap_or_else(|| Buffer::default().attach(offset))
    }

    /// Sends the answer from the position of a cursor until the answer or the reader ends.
    pub(crate) async fn read(&self, sender: &mut Sender<Reply>, mut cursor: Cursor) -> Ending {
        let mut watch = self.buffer.subscribe();
        loop {
            watch.borrow_and_update();
            let mut item = Item::Pending;
            self.buffer.send_if_modified(|buffer| {
                item = buffer.pull(&mut cursor);
                matches!(item, Item::Data(..))
            });
            let last = matches!(item, Item::End(_) | Item::Failed(_));
            let reply = match item {
                Item::Replaced => return Ending::Replaced,
                Item::Pending => {
                    if watch.changed().await.is_err() {
                        return Ending::Cancelled;
                    }
                    continue;
                }
                item => self.reply(item),
            };
            if let Some(reply) = reply
                && let Err(e) = sender.send(&reply).await
            {
                return classify_error(&e);
            }
            if last {
                return flush(sender).await;
            }
        }
    }

    fn reply(&self, item: Item) -> Option<Reply> {
        let (request, attempt) = self.id.clone();
        match item {
            Item::Head(head) => Some(Reply::Head(head)),
            Item::Data(offset, data) => Some(Reply::Data {
                request,
                attempt,
                offset,
                data,
            }),
            Item::End(checksum) => Some(Reply::End {
                request,
                attempt,
                checksum,
            }),
            Item::Failed(fault) => Some(Reply::Failed { fault }),
            Item::Pending | Item::Replaced => None,
        }
    }

    /// Waits until another reader is attached after `lost` was disconnected; returns whether one
    /// is.
    pub(crate) async fn reattached(&self, lost: Cursor) -> bool {
        let mut watch = self.buffer.subscribe();
        let attached = watch.wait_for(|buffer| buffer.reader() != lost.reader());
        matches!(time::timeout(RESUME_TIMEOUT, attached).await, Ok(Ok(_)))
    }
}

/// Distinguishes an entry that reset its stream from a link that broke.
pub(crate) fn classify_error(error: &io::Error) -> Ending {
    if error.kind() == io::ErrorKind::ConnectionReset {
        Ending::Cancelled
    } else {
        Ending::Disconnected
    }
}

/// Finishes a stream and waits until the entry has received all of it, so that the process may
/// exit.
pub(crate) async fn flush(sender: &mut Sender<Reply>) -> Ending {
    sender.finish();
    match time::timeout(FLUSH_TIMEOUT, sender.stopped()).await {
        Ok(true) => Ending::Complete,
        Ok(false) | Err(_) => Ending::Disconnected,
    }
}
