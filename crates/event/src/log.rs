use std::io::{Error, Write};

use conf::{Format, Level};
use flexi_logger::{
    DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle, json_format,
};
use log::{LevelFilter, Record};

/// Starts the logger, which writes to standard error.
///
/// # Errors
///
/// Returns an error if a logger is already running.
pub fn start(settings: &conf::Log) -> Result<LoggerHandle, FlexiLoggerError> {
    let format = match settings.format {
        Format::Text => write_text,
        Format::Json => json_format,
    };
    Logger::with(specification(settings))
        .log_to_stderr()
        .format(format)
        .start()
}

fn specification(settings: &conf::Log) -> LogSpecification {
    let mut builder = LogSpecification::builder();
    builder.default(level_filter(settings.level));
    for (module, level) in &settings.modules {
        builder.module(module, level_filter(*level));
    }
    builder.build()
}

pub(crate) const fn level_filter(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
        Level::Trace => LevelFilter::Trace,
    }
}

/// Writes one line of plain text: time, level, module and message.
fn write_text(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), Error> {
    let module = record.module_path().unwrap_or("-");
    write!(
        out,
        "{} {:5} {module}: {}",
        now.format_rfc3339(),
        record.level(),
        record.args()
    )
}
