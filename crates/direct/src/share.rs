//! Counting over sliding windows.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Entries that a process which has just started reckons with, above what the users' sites have.
pub(crate) const UNKNOWN_ENTRIES: usize = 64;

/// Removes the moments that are older than a window.
pub(crate) fn forget(moments: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while moments
        .front()
        .is_some_and(|at| now.duration_since(*at) >= window)
    {
        moments.pop_front();
    }
}
