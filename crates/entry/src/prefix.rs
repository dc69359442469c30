use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fault::{ErrorKind, Fault};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a body that are read before an endpoint is chosen.
const HEAD: usize = 64 * 1024;
/// Time in which the caller must send them, and each further piece.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);
/// Length of the shortest prefix that is hashed; each next one is twice as long.
const SHORTEST: usize = 256;

/// Beginning of a request's body, and the rest if it is longer.
pub(crate) struct Prefix {
    /// The first bytes.
    pub(crate) bytes: Bytes,
    /// What follows them; `None` if they are the whole body.
    pub(crate) rest: Option<Incoming>,
}

impl Prefix {
    /// Reads the beginning of a body.
    ///
    /// # Errors
    ///
    /// Returns a fault if the body is announced as larger than `limit`, or the caller is slow or gone.
    pub(crate) async fn read(mut body: Incoming, limit: u64) -> Result<Self, Fault> {
        if body.size_hint().lower() > limit {
            return Err(ErrorKind::TooLarge.into());
        }
        let read = Self::fill(&mut body);
        let (bytes, whole) = time::timeout(PATIENCE, read)
            .await
            .map_err(|_| ErrorKind::SlowCaller)??;
        Ok(Self {
            bytes,
            rest: (!whole).then_some(body),
        })
    }

    async fn fill(body: &mut Incoming) -> Result<(Bytes, bool), Fault> {
        let mut bytes = BytesMut::new();
        while bytes.len() < HEAD {
            let Some(frame) = body.frame().await else {
                return Ok((bytes.freeze(), true));
            };
            let frame = frame.map_err(|_| ErrorKind::Malformed)?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        Ok((bytes.freeze(), body.is_end_stream()))
    }

    /// Returns the hashes of growing prefixes, shortest first; equal prompts begin with equal hashes.
    pub(crate) fn hashes(&self) -> Vec<u64> {
        let lengths = std::iter::successors(Some(SHORTEST), |n| n.checked_mul(2));
        let fitting = lengths.take_while(|n| *n <= self.bytes.len());
        let mut hashes: Vec<u64> = fitting.map(|n| xxh3_64(&self.bytes[..n])).collect();
        if hashes.is_empty() {
            hashes.push(xxh3_64(&self.bytes));
        }
        hashes
    }
}
