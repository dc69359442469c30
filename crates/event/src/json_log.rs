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

use crate::log::level_filter;

/// Maximum number of lines in the queue to standard output; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2048;
/// Maximum number of lines written per [`RATE_WINDOW`], so that overload does not cause excessive
/// logging.
const MAX_LINES_PER_WINDOW: u64 = 400;
/// Time for which the end of a process may be delayed to write its last lines; on a busy machine the thread that writes
/// them may not run for a while.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// Crates that log at the level from the settings; others log at most warnings.
const CRATES: [&str; 7] = [
    "direct", "event", "fleet", "node", "platform", "quota", "steer",
];
/// Period over which written lines are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Starts the logger, which writes one JSON object per line, with the name of the process, to
/// standard output.
///
/// Logging never blocks: a line is dropped if the queue is full or the rate limit is reached, and
/// the next line written is followed by one with the number of dropped lines.
///
/// # Errors
///
/// Returns an error if a logger is already running.
pub fn start_json_log(process: &str, level: Level) -> Result<LoggerHandle, FlexiLoggerError> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer_dropped = dropped.clone();
    thread::spawn(move || write_lines(&receiver, &writer_dropped, &mut io::stdout().lock()));
    let mut specification = LogSpecification::builder();
    // Libraries log every remote call at the level at which these crates log their decisions, so they
    // are limited to warnings.
    specification.default(level_filter(level.min(Level::Warn)));
    for name in CRATES {
        specification.module(name, level_filter(level));
    }
    let process = process.into();
    let writer = QueueWriter {
        process,
        sender,
        dropped,
    };
    Logger::with(specification.build())
        .log_to_writer(Box::new(writer))
        .start()
}

/// What the writing thread receives.
enum Entry {
    Line(Vec<u8>),
    /// Asks for an acknowledgement once all lines before it are written.
    Flush(SyncSender<()>),
}

struct QueueWriter {
    process: SmolStr,
    sender: SyncSender<Entry>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let line = format_line(&self.process, now, record);
        match self.sender.try_send(Entry::Line(line)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                Ok(())
            }
            Err(TrySendError::Disconnected(_)) => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Waits until the lines so far are written, at most [`FLUSH_TIMEOUT`].
    fn flush(&self) -> io::Result<()> {
        let (done, is_done) = sync_channel(1);
        let sent = self.sender.try_send(Entry::Flush(done));
        sent.map_err(|_| io::Error::from(io::ErrorKind::WouldBlock))?;
        is_done
            .recv_timeout(FLUSH_TIMEOUT)
            .map_err(|_| io::ErrorKind::TimedOut.into())
    }
}

/// Formats a record as a JSON line: time, process, level, message, and the record's key-values.
fn format_line(process: &SmolStr, now: &mut DeferredNow, record: &Record<'_>) -> Vec<u8> {
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
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            serde_json::Value::String(value.to_string())
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Writes lines until all senders are dropped, within the rate limit.
fn write_lines(entries: &Receiver<Entry>, dropped: &AtomicU64, out: &mut dyn Write) {
    let (mut window_start, mut written) = (Instant::now(), 0);
    while let Ok(entry) = entries.recv() {
        let line = match entry {
            Entry::Line(line) => line,
            Entry::Flush(done) => {
                // A writer that no longer waits has nothing to be told.
                done.try_send(()).ok();
                continue;
            }
        };
        if window_start.elapsed() >= RATE_WINDOW {
            (window_start, written) = (Instant::now(), 0);
        }
        if written >= MAX_LINES_PER_WINDOW {
            dropped.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        written += 1;
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        let mut text = line;
        if dropped_lines > 0 {
            let notice = format!(
                "{{\"event\":\"log lines dropped\",\"level\":\"warn\",\"count\":{dropped_lines}}}\n"
            );
            text.extend_from_slice(notice.as_bytes());
        }
        // A failed write means that standard output is closed; there is nowhere to report it.
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
