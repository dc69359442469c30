//! Tests of the ring of events and its clock.

mod ring_clock;
