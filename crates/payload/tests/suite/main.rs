//! Tests of the limits on bodies.

mod frame_limit;
