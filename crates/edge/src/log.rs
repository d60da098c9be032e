//! Structured log of a process, with a rate limit for lines about single requests.

use std::cell::Cell;

use eelgrassrock_telemetry::log::{Level, Logger};
use prometheus_client::metrics::counter::Counter;
use serde::Serialize;

use crate::clock;
use crate::settings;

/// Log of a process.
pub(crate) struct Log {
    logger: Logger,
    settings: settings::Log,
    second: Cell<u64>,
    lines: Cell<u32>,
    suppressed: Cell<u64>,
    suppressed_total: Counter,
    answered: Cell<u64>,
}

#[derive(Serialize)]
struct SuppressedLine {
    lines: u64,
}

impl Log {
    /// Creates a log. `suppressed` counts the lines beyond the rate limit.
    pub(crate) fn new(logger: Logger, settings: settings::Log, suppressed: Counter) -> Self {
        Self {
            logger,
            settings,
            second: Cell::new(0),
            lines: Cell::new(0),
            suppressed: Cell::new(0),
            suppressed_total: suppressed,
            answered: Cell::new(0),
        }
    }

    /// Logs an event at level info.
    pub(crate) fn info(&self, event: &str, fields: &impl Serialize) {
        self.logger.log(Level::Info, event, fields);
    }

    /// Logs an event that needs attention, at level warn.
    pub(crate) fn warn(&self, event: &str, fields: &impl Serialize) {
        self.logger.log(Level::Warn, event, fields);
    }

    /// Logs an event of a single request, or only counts it if the limit for this second is
    /// reached.
    pub(crate) fn request(&self, event: &str, fields: &impl Serialize) {
        let second = clock::now().as_millis() / 1_000;
        if self.second.replace(second) != second {
            self.lines.set(0);
            let lines = self.suppressed.replace(0);
            if lines > 0 {
                self.logger
                    .log(Level::Warn, "lines left out", &SuppressedLine { lines });
            }
        }
        if self.lines.get() >= self.settings.max_lines_per_s {
            self.suppressed.set(self.suppressed.get() + 1);
            self.suppressed_total.inc();
            return;
        }
        self.lines.set(self.lines.get() + 1);
        self.logger.log(Level::Info, event, fields);
    }

    /// Whether to log the next request that was answered without incident.
    pub(crate) fn should_sample(&self) -> bool {
        let count = self.answered.get();
        self.answered.set(count + 1);
        count.is_multiple_of(self.settings.sample.max(1))
    }

    pub(crate) fn flush(&self) {
        self.logger.flush();
    }
}
