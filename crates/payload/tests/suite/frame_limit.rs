use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use futures::{StreamExt as _, stream};
use http_body_util::{BodyExt as _, Limited, StreamBody};
use hyper::body::{Body, Frame};
use payload::{Error, FRAME_BYTES, MIN_FRAMES, collect};

const MIB: usize = 1 << 20;

/// Returns a body that repeats a chunk `count` times, and the number of frames taken from it.
fn repeat(
    chunk: &'static [u8],
    count: usize,
) -> (
    impl Body<Data = Bytes, Error = Infallible>,
    Arc<AtomicUsize>,
) {
    let taken = Arc::<AtomicUsize>::default();
    let counter = taken.clone();
    let frames = stream::iter(0..count).map(move |_| {
        counter.fetch_add(1, Ordering::Relaxed);
        Ok(Frame::data(Bytes::from_static(chunk)))
    });
    (StreamBody::new(frames), taken)
}

/// Guards against a body whose many small chunks are read until its bytes reach the limit. A limit on
/// the bytes alone, as in [`Limited`], takes 209,716 frames from this body.
#[tokio::test]
async fn endless_frames_bounded() {
    let (body, taken) = repeat(b"noise", usize::MAX);
    assert!(Limited::new(body, MIB).collect().await.is_err());
    assert_eq!(taken.load(Ordering::Relaxed), MIB / 5 + 1);
    let (body, taken) = repeat(b"noise", usize::MAX);
    let result = collect(body, MIB).await;
    assert!(matches!(result, Err(Error::Exceeded(_))));
    assert_eq!(taken.load(Ordering::Relaxed), MIB / FRAME_BYTES + 1);
}

/// Guards against empty frames, which add no bytes and would never reach a limit on bytes.
#[tokio::test]
async fn empty_frames_bounded() {
    let (body, taken) = repeat(b"", usize::MAX);
    assert!(collect(body, 4096).await.is_err());
    assert_eq!(taken.load(Ordering::Relaxed), MIN_FRAMES + 1);
}

/// Guards against refusing a body that is within the limit on bytes because of the limit on frames.
#[tokio::test]
async fn body_at_limit_accepted() {
    let (body, _) = repeat(&[7; FRAME_BYTES], MIB / FRAME_BYTES);
    assert_eq!(collect(body, MIB).await.unwrap(), vec![7; MIB]);
    let (body, _) = repeat(b"x", MIN_FRAMES);
    assert_eq!(
        collect(body, MIN_FRAMES).await.unwrap(),
        vec![b'x'; MIN_FRAMES]
    );
    let (body, _) = repeat(b"xy", MIN_FRAMES / 2 + 1);
    assert!(collect(body, MIN_FRAMES).await.is_err());
    let (body, _) = repeat(b"", 3);
    assert!(collect(body, 0).await.unwrap().is_empty());
}
