use std::{thread, time::Duration};

use event::{Event, Kind, MAX_EVENTS, MAX_SKEW, Recorder};
use uhlc::{NTP64, system_time_clock};

/// Returns the time of a clock that is behind by less than [`MAX_SKEW`].
fn slow_clock() -> NTP64 {
    system_time_clock() - NTP64::from(MAX_SKEW / 2)
}

/// Returns the time of a clock that is ahead by more than [`MAX_SKEW`].
fn skewed_clock() -> NTP64 {
    system_time_clock() + NTP64::from(MAX_SKEW * 2)
}

fn version_event(number: u64) -> Kind {
    Kind::Version { number }
}

fn last_event(recorder: &Recorder) -> Event {
    recorder.read(0).pop().unwrap()
}

#[test]
fn stamps_respect_causality() {
    let (fast, slow) = (
        Recorder::new("fast".into()),
        Recorder::with_clock("slow".into(), slow_clock),
    );
    fast.record(None, version_event(1));
    slow.observe(fast.stamp());
    slow.record(None, version_event(2));
    fast.observe(slow.stamp());
    fast.record(None, version_event(3));
    let effects = [
        fast.read(1)[0].stamp,
        last_event(&slow).stamp,
        last_event(&fast).stamp,
    ];
    assert!(effects.is_sorted(), "{effects:?}");
}

#[test]
fn excessive_skew_ignored() {
    let (local, remote) = (
        Recorder::new("local".into()),
        Recorder::with_clock("remote".into(), skewed_clock),
    );
    local.observe(remote.stamp());
    local.record(None, version_event(1));
    let lead = event::since_epoch(remote.stamp())
        .saturating_sub(event::since_epoch(last_event(&local).stamp));
    assert!(lead > MAX_SKEW, "{lead:?}");
}

#[test]
fn oldest_events_dropped() {
    let recorder = Recorder::new("p".into());
    let count = 2 * MAX_EVENTS as u64;
    for number in 0..count {
        recorder.record(None, version_event(number));
    }
    let events = recorder.read(0);
    assert_eq!(events.len(), MAX_EVENTS);
    assert_eq!(events[0].sequence, count + 1 - MAX_EVENTS as u64);
    assert!(
        events
            .windows(2)
            .all(|w| w[0].sequence + 1 == w[1].sequence)
    );
}

#[test]
fn concurrent_stamps_rise() {
    let recorder = Recorder::new("p".into());
    let threads: Vec<_> = (0..4)
        .map(|number| {
            let recorder = recorder.clone();
            thread::spawn(move || {
                (0..500).for_each(|_| recorder.record(None, version_event(number)))
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    let events = recorder.read(0);
    assert!(
        events
            .windows(2)
            .all(|w| w[0].stamp < w[1].stamp && w[0].sequence < w[1].sequence)
    );
    assert!(event::since_epoch(events[0].stamp) > Duration::ZERO);
}
