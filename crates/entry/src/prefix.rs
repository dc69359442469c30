use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fault::{ErrorKind, Fault};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use quota::{Denial, Lease};
use tokio::time;
use xxhash_rust::xxh3::xxh3_64;

/// Length of the prefix of a body that is read before an endpoint is chosen, in bytes.
///
/// The last chunk that is read may exceed it.
const PREFIX_BYTES: usize = 64 * 1024;
/// Time in which the client must send the prefix, and each later chunk of the body.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Memory that a buffer takes for each byte, as it doubles when it is full.
const BUFFER_GROWTH: usize = 2;
/// Length of the shortest hashed prefix, in bytes; each further one is twice as long.
const MIN_HASHED_BYTES: usize = 256;

/// Buffered start of a request body, and the unread remainder.
pub(crate) struct Prefix {
    /// Bytes that were read.
    pub(crate) bytes: Bytes,
    /// Remainder of the body; `None` if `bytes` is the complete body.
    pub(crate) rest: Option<Incoming>,
    /// Memory of the bytes and of the request's head.
    pub(crate) lease: Lease,
}

impl Prefix {
    /// Reads the start of a body into memory that is taken with `lease`.
    ///
    /// # Errors
    ///
    /// Returns a fault if the announced length exceeds `limit` bytes, the client is too slow, its memory is denied or
    /// revoked, or the body can't be read.
    pub(crate) async fn read(mut body: Incoming, limit: u64, lease: Lease) -> Result<Self, Fault> {
        if body.size_hint().lower() > limit {
            return Err(ErrorKind::TooLarge.into());
        }
        let read = Self::read_bytes(&mut body, &lease);
        let (bytes, complete) = tokio::select! {
            read = time::timeout(READ_TIMEOUT, read) => read.map_err(|_| ErrorKind::SlowClient)??,
            () = lease.revoked() => return Err(Denial::Revoked.into()),
        };
        lease.protect()?;
        Ok(Self {
            bytes,
            rest: (!complete).then_some(body),
            lease,
        })
    }

    /// Reads up to the length of the prefix, or [`payload::MIN_FRAMES`] frames; returns the bytes and whether they are the whole body.
    async fn read_bytes(body: &mut Incoming, lease: &Lease) -> Result<(Bytes, bool), Fault> {
        let mut bytes = BytesMut::new();
        let mut frames = 0;
        while bytes.len() < PREFIX_BYTES && frames < payload::MIN_FRAMES {
            frames += 1;
            let Some(frame) = body.frame().await else {
                return Ok((bytes.freeze(), true));
            };
            let frame = frame.map_err(|_| ErrorKind::Malformed)?;
            if let Ok(data) = frame.into_data() {
                lease.grow(BUFFER_GROWTH * data.len()).await?;
                bytes.extend_from_slice(&data);
            }
        }
        Ok((bytes.freeze(), body.is_end_stream()))
    }

    /// Returns the hashes of prefixes of increasing length, shortest first.
    ///
    /// Prompts with a common start have equal first hashes. A body shorter than the shortest prefix
    /// has one hash, of all its bytes.
    pub(crate) fn hashes(&self) -> Vec<u64> {
        let lengths = std::iter::successors(Some(MIN_HASHED_BYTES), |n| n.checked_mul(2));
        let available = lengths.take_while(|n| *n <= self.bytes.len());
        let mut hashes: Vec<u64> = available.map(|n| xxh3_64(&self.bytes[..n])).collect();
        if hashes.is_empty() {
            hashes.push(xxh3_64(&self.bytes));
        }
        hashes
    }
}
