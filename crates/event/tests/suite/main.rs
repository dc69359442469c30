//! Tests of the event recorder and its clock.

mod ring_clock;
