//! Structured log: one JSON object per line.
//!
//! Each object starts with `time` (milliseconds since 1970-01-01 UTC), `level`
//! and `event`. The fields of the event follow.

use std::io::{self, Write};
use std::sync::Arc;
use std::time::SystemTime;

use derive_more::{Display, Error, From};
use eelgrassrock_config::settings::{self, Output};
use serde::Serialize;
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::WriteSink;
use spdlog::{LevelFilter, Record, StringBuf};

pub use eelgrassrock_config::settings::Level;

use crate::queue::Queue;

/// Error that occurs when a logger is created.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The thread that writes the lines can't be started.
    #[display("the log thread can't be started: {_0}")]
    Thread(io::Error),
    /// The logging library refused the configuration.
    #[display("the logger can't be set up: {_0}")]
    Library(spdlog::Error),
}

/// Logger that writes JSON lines. Clones share one queue and one stream.
///
/// ```
/// use eelgrassrock_telemetry::log::{Level, Logger};
/// use serde::Serialize;
///
/// #[derive(Serialize)]
/// struct Routed<'a> {
///     upstream: &'a str,
///     epoch: u64,
/// }
///
/// let logger = Logger::with_stream(std::io::stdout(), Level::Info)?;
/// logger.info("routed", &Routed { upstream: "lookup-1", epoch: 7 });
/// logger.flush();
/// # Ok::<(), eelgrassrock_telemetry::log::Fault>(())
/// ```
#[derive(Clone)]
pub struct Logger(Arc<spdlog::Logger>);

impl Logger {
    /// Creates a logger with the stream and level of the settings.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if its thread can't be started.
    pub fn new(settings: &settings::Log) -> Result<Self, Fault> {
        match settings.output {
            Output::Stderr => Self::with_stream(io::stderr(), settings.level),
            Output::Stdout => Self::with_stream(io::stdout(), settings.level),
        }
    }

    /// Creates a logger that writes the lines of `level` and of more severe
    /// levels to `stream`.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if its thread can't be started.
    pub fn with_stream(stream: impl Write + Send + 'static, level: Level) -> Result<Self, Fault> {
        let sink = WriteSink::builder()
            .target(Queue::new(stream)?)
            .formatter(JsonLines)
            .build_arc()?;
        let logger = spdlog::Logger::builder()
            .sink(sink)
            .level_filter(LevelFilter::MoreSevereEqual(severity(level)))
            .build_arc()?;
        Ok(Self(logger))
    }

    /// Writes one line at the level `info`. The fields must serialize as an
    /// object without the members `time`, `level` and `event`.
    pub fn info(&self, event: &str, fields: &impl Serialize) {
        self.log(Level::Info, event, fields);
    }

    /// Writes one line at the given level. The fields are as in [`Logger::info`].
    pub fn log(&self, level: Level, event: &str, fields: &impl Serialize) {
        let severity = severity(level);
        if self.0.should_log(severity) {
            let payload = payload(event, fields);
            spdlog::log!(logger: self.0, severity, "{}", payload);
        }
    }

    /// Returns whether lines of this level are written.
    pub fn is_enabled(&self, level: Level) -> bool {
        self.0.should_log(severity(level))
    }

    /// Waits until earlier lines are written: at most one second for space in the queue, and one
    /// second for the writing.
    pub fn flush(&self) {
        self.0.flush();
    }
}

fn severity(level: Level) -> spdlog::Level {
    match level {
        Level::Error => spdlog::Level::Error,
        Level::Warn => spdlog::Level::Warn,
        Level::Info => spdlog::Level::Info,
        Level::Debug => spdlog::Level::Debug,
    }
}

/// Returns the event and the fields as members of a JSON object, without its
/// opening brace. If `fields` isn't an object, it becomes the member `value`.
fn payload(event: &str, fields: &impl Serialize) -> String {
    let event = json(&event);
    let fields = json(fields);
    match fields.strip_prefix('{') {
        Some("}") => format!("\"event\":{event}}}"),
        Some(members) => format!("\"event\":{event},{members}"),
        None => format!("\"event\":{event},\"value\":{fields}}}"),
    }
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_else(|fault| {
        let text = format!("not serializable: {fault}");
        serde_json::Value::String(text).to_string()
    })
}

/// Returns the milliseconds since 1970-01-01 UTC.
pub(crate) fn millis(time: SystemTime) -> u128 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

/// Formatter that writes a record as one JSON line.
#[derive(Clone)]
struct JsonLines;

impl Formatter for JsonLines {
    fn format(
        &self,
        record: &Record<'_>,
        line: &mut StringBuf,
        _context: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let time = millis(record.time());
        let level = record.level().as_str();
        let payload = record.payload();
        line.push_str(&format!(
            "{{\"time\":{time},\"level\":\"{level}\",{payload}\n"
        ));
        Ok(())
    }
}
