use std::{error, fmt, pin::pin};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Body;
use quota::{Denial, Lease};

use crate::{Allowance, Exceeded, Message, message::Builder};

/// Error while a body is read.
#[derive(Debug)]
pub enum Error<E> {
    /// The body exceeds its limit.
    Exceeded(Exceeded),
    /// There is no memory for the body.
    Denied(Denial),
    /// The body cannot be read to its end.
    Read(E),
}

impl<E: fmt::Display> fmt::Display for Error<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Exceeded(e) => e.fmt(f),
            Self::Denied(e) => e.fmt(f),
            Self::Read(e) => e.fmt(f),
        }
    }
}

impl<E: error::Error + 'static> error::Error for Error<E> {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Exceeded(_) | Self::Denied(_) => None,
            Self::Read(e) => e.source(),
        }
    }
}

/// Reads a body of at most `limit` bytes into memory.
///
/// The number of frames is limited as by [`Allowance`]. Frames are copied into one buffer, since a
/// small frame that is kept would keep the buffer that it was read into.
///
/// # Errors
///
/// Returns an error if the body exceeds its limit or cannot be read.
pub async fn collect<B>(body: B, limit: usize) -> Result<Bytes, Error<B::Error>>
where
    B: Body<Data = Bytes>,
{
    let mut body = pin!(body);
    let mut allowance = Allowance::new(limit);
    let mut first = Bytes::new();
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(Error::Read)?.into_data() else {
            continue;
        };
        allowance.take(data.len()).map_err(Error::Exceeded)?;
        if first.is_empty() && buffer.is_empty() {
            first = data;
            continue;
        }
        buffer.extend_from_slice(&std::mem::take(&mut first));
        buffer.extend_from_slice(&data);
    }
    Ok(if buffer.is_empty() {
        first
    } else {
        buffer.freeze()
    })
}

/// Reads a body of at most `limit` bytes into memory of a shared account.
///
/// The number of frames is limited as by [`Allowance`]. A body that is larger than [`quota::SMALL_MESSAGE_BYTES`] takes a
/// lease from `make_lease`, which grows as the bytes arrive. `on_progress` is called when the lease has grown.
///
/// # Errors
///
/// Returns an error if the body exceeds its limit, its memory is denied or revoked, or it cannot be read.
pub async fn receive<B>(
    body: B,
    limit: usize,
    make_lease: impl Fn() -> Lease,
    mut on_progress: impl FnMut(),
) -> Result<Message, Error<B::Error>>
where
    B: Body<Data = Bytes>,
{
    let mut body = pin!(body);
    let mut allowance = Allowance::new(limit);
    let mut builder = Builder::new(make_lease);
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = builder.revoked() => return Err(Error::Denied(Denial::Revoked)),
        };
        let Some(frame) = frame else {
            return builder.finish().map_err(Error::Denied);
        };
        let Ok(data) = frame.map_err(Error::Read)?.into_data() else {
            continue;
        };
        allowance.take(data.len()).map_err(Error::Exceeded)?;
        if builder.push(data).await.map_err(Error::Denied)? {
            on_progress();
        }
    }
}
