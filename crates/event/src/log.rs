use std::io::{Error, Write};

use conf::Format;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, json_format};
use log::Record;

/// Starts logging to standard error.
///
/// # Errors
///
/// Returns an error if the level cannot be parsed or a logger was started before.
pub fn start(settings: &conf::Log) -> Result<LoggerHandle, FlexiLoggerError> {
    let format = match settings.format {
        Format::Text => text,
        Format::Json => json_format,
    };
    Logger::try_with_str(&settings.level)?
        .log_to_stderr()
        .format(format)
        .start()
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
