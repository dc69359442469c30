//! Helpers for sliding windows and for limits that entries share.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Least number of entries that a process assumes just after its start, when it may not have heard of
/// all others.
pub(crate) const STARTUP_ENTRIES: usize = 256;

/// Removes the times that are older than the window.
pub(crate) fn remove_expired(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times
        .front()
        .is_some_and(|at| now.duration_since(*at) >= window)
    {
        times.pop_front();
    }
}
