use std::{thread, time::Duration};

use event::{Event, Kind, MAX_EVENTS, MAX_SKEW, Recorder};
use uhlc::{NTP64, system_time_clock};

/// Clock of a VM that is behind by less than [`MAX_SKEW`].
fn behind() -> NTP64 {
    system_time_clock() - NTP64::from(MAX_SKEW / 2)
}

/// Clock of a VM that is ahead by more than [`MAX_SKEW`].
fn astray() -> NTP64 {
    system_time_clock() + NTP64::from(MAX_SKEW * 2)
}

fn version(number: u64) -> Kind {
    Kind::Version { number }
}

fn last(recorder: &Recorder) -> Event {
    recorder.read(0).pop().unwrap()
}

#[test]
fn cause_first() {
    let (fast, slow) = (
        Recorder::new("fast".into()),
        Recorder::with_clock("slow".into(), behind),
    );
    fast.record(None, version(1));
    slow.observe(fast.stamp());
    slow.record(None, version(2));
    fast.observe(slow.stamp());
    fast.record(None, version(3));
    let effects = [fast.read(1)[0].stamp, last(&slow).stamp, last(&fast).stamp];
    assert!(effects.is_sorted(), "{effects:?}");
}

#[test]
fn astray_ignored() {
    let (own, other) = (
        Recorder::new("own".into()),
        Recorder::with_clock("other".into(), astray),
    );
    own.observe(other.stamp());
    own.record(None, version(1));
    let ahead =
        event::since_epoch(other.stamp()).saturating_sub(event::since_epoch(last(&own).stamp));
    assert!(ahead > MAX_SKEW, "{ahead:?}");
}

#[test]
fn bounded_ring() {
    let recorder = Recorder::new("p".into());
    let count = 2 * MAX_EVENTS as u64;
    for number in 0..count {
        recorder.record(None, version(number));
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
fn rising_stamps() {
    let recorder = Recorder::new("p".into());
    let threads: Vec<_> = (0..4)
        .map(|number| {
            let recorder = recorder.clone();
            thread::spawn(move || (0..500).for_each(|_| recorder.record(None, version(number))))
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
