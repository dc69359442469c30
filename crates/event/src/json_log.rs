use std::{
    collections::BTreeMap,
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use conf::Level;
use flexi_logger::{
    DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle, writers::LogWriter,
};
use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};

use smol_str::SmolStr;

use crate::log::filter;

/// Lines that wait for standard output at most; more are dropped and counted.
const QUEUE: usize = 2048;
/// Lines that are written in a second at most, so that overload does not turn into log load.
const RATE: u64 = 400;
/// Crates of the system, which log at the level of the settings.
const AREAS: [&str; 6] = ["direct", "event", "fleet", "node", "platform", "steer"];
/// Span over which the rate is counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Starts logging to standard output, one JSON object a line, each with the name of the process.
///
/// Callers never wait: a line that finds the queue full or the rate used up is dropped, and the
/// next line that is written tells how many were.
///
/// # Errors
///
/// Returns an error if a logger was started before.
pub fn start_json_log(process: &str, level: Level) -> Result<LoggerHandle, FlexiLoggerError> {
    let (sender, receiver) = sync_channel(QUEUE);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = dropped.clone();
    thread::spawn(move || write_lines(&receiver, &counted, &mut io::stdout().lock()));
    let mut specification = LogSpecification::builder();
    // Libraries log each remote call at the level at which the system logs decisions.
    specification.default(filter(level.min(Level::Warn)));
    for area in AREAS {
        specification.module(area, filter(level));
    }
    let process = process.into();
    let writer = Lines {
        process,
        sender,
        dropped,
    };
    Logger::with(specification.build())
        .log_to_writer(Box::new(writer))
        .start()
}

struct Lines {
    process: SmolStr,
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter for Lines {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let line = format(&self.process, now, record);
        match self.sender.try_send(line) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                Ok(())
            }
            Err(TrySendError::Disconnected(_)) => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Makes one line: time, process, level, what happened, and the record's own fields.
fn format(process: &SmolStr, now: &mut DeferredNow, record: &Record<'_>) -> Vec<u8> {
    let mut fields = Fields::default();
    let text = |value: String| serde_json::Value::String(value);
    let time = now
        .now_utc_owned()
        .format("%Y-%m-%dT%H:%M:%S%.3fZ")
        .to_string();
    fields.0.insert("time".into(), text(time));
    fields.0.insert("process".into(), text(process.to_string()));
    fields.0.insert(
        "level".into(),
        text(record.level().to_string().to_lowercase()),
    );
    fields
        .0
        .insert("event".into(), text(record.args().to_string()));
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("incomplete".into(), true.into());
    }
    let mut line = serde_json::to_vec(&fields.0).unwrap_or_default();
    line.push(b'\n');
    line
}

#[derive(Default)]
struct Fields(BTreeMap<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(truth) = value.to_bool() {
            truth.into()
        } else {
            serde_json::Value::String(value.to_string())
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Writes lines until all senders are gone, at most [`RATE`] in a [`WINDOW`].
fn write_lines(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64, out: &mut dyn Write) {
    let (mut start, mut written) = (Instant::now(), 0);
    while let Ok(line) = lines.recv() {
        if start.elapsed() >= WINDOW {
            (start, written) = (Instant::now(), 0);
        }
        if written >= RATE {
            dropped.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        written += 1;
        let lost = dropped.swap(0, Ordering::Relaxed);
        let mut text = line;
        if lost > 0 {
            let note = format!(
                "{{\"event\":\"log lines dropped\",\"level\":\"warn\",\"count\":{lost}}}\n"
            );
            text.extend_from_slice(note.as_bytes());
        }
        // Standard output is gone for good if a write fails; there is nowhere to tell it.
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
