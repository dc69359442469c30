//! Counting over sliding windows.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Removes the moments that are older than a window.
pub(crate) fn forget(moments: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while moments
        .front()
        .is_some_and(|at| now.duration_since(*at) >= window)
    {
        moments.pop_front();
    }
}
