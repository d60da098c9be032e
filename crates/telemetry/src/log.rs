//! JSON lines: one for each decision.
//!
//! Each line is one JSON object. It starts with `time` (milliseconds since
//! 1970-01-01 UTC), `level` and `event`; the fields of the decision follow.

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

/// Error of setting up a logger.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The thread that writes can't be started.
    #[display("the log thread can't be started: {_0}")]
    Thread(io::Error),
    /// The logging library refused the set-up.
    #[display("the logger can't be set up: {_0}")]
    Library(spdlog::Error),
}

/// Logger that writes JSON lines. Clones share one stream.
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
/// let logger = Logger::to(std::io::stdout(), Level::Info)?;
/// logger.decide("routed", &Routed { upstream: "lookup-1", epoch: 7 });
/// logger.flush();
/// # Ok::<(), eelgrassrock_telemetry::log::Fault>(())
/// ```
#[derive(Clone)]
pub struct Logger(Arc<spdlog::Logger>);

impl Logger {
    /// Creates a logger as the settings say.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if its thread can't be started.
    pub fn new(settings: &settings::Log) -> Result<Self, Fault> {
        match settings.output {
            Output::Stderr => Self::to(io::stderr(), settings.level),
            Output::Stdout => Self::to(io::stdout(), settings.level),
        }
    }

    /// Creates a logger that writes to `stream` what is at least as important
    /// as `level`.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if its thread can't be started.
    pub fn to(stream: impl Write + Send + 'static, level: Level) -> Result<Self, Fault> {
        let sink = WriteSink::builder()
            .target(Queue::new(stream)?)
            .formatter(Lines)
            .build_arc()?;
        let logger = spdlog::Logger::builder()
            .sink(sink)
            .level_filter(LevelFilter::MoreSevereEqual(severity(level)))
            .build_arc()?;
        Ok(Self(logger))
    }

    /// Writes one line for a decision, at the level `info`. The decision must
    /// serialize as an object without the fields `time`, `level` and `event`.
    pub fn decide(&self, event: &str, decision: &impl Serialize) {
        self.log(Level::Info, event, decision);
    }

    /// Writes one line with the given fields.
    pub fn log(&self, level: Level, event: &str, fields: &impl Serialize) {
        let severity = severity(level);
        if self.0.should_log(severity) {
            let payload = payload(event, fields);
            spdlog::log!(logger: self.0, severity, "{}", payload);
        }
    }

    /// Tells whether lines of this level are written.
    pub fn writes(&self, level: Level) -> bool {
        self.0.should_log(severity(level))
    }

    /// Waits until earlier lines are written, for a second at most.
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
/// opening brace. Fields that aren't an object become the member `value`.
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
struct Lines;

impl Formatter for Lines {
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
