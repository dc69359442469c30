use std::io::{Error, Write};

use conf::{Format, Level};
use flexi_logger::{
    DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle, json_format,
};
use log::{LevelFilter, Record};

/// Starts logging to standard error.
///
/// # Errors
///
/// Returns an error if a logger was started before.
pub fn start(settings: &conf::Log) -> Result<LoggerHandle, FlexiLoggerError> {
    let format = match settings.format {
        Format::Text => text,
        Format::Json => json_format,
    };
    Logger::with(specification(settings))
        .log_to_stderr()
        .format(format)
        .start()
}

fn specification(settings: &conf::Log) -> LogSpecification {
    let mut builder = LogSpecification::builder();
    builder.default(filter(settings.level));
    for (module, level) in &settings.modules {
        builder.module(module, filter(*level));
    }
    builder.build()
}

pub(crate) const fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
        Level::Trace => LevelFilter::Trace,
    }
}

/// Writes one line for people: time, level, module and message.
fn text(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> Result<(), Error> {
    let module = record.module_path().unwrap_or("-");
    write!(
        out,
        "{} {:5} {module}: {}",
        now.format_rfc3339(),
        record.level(),
        record.args()
    )
}
