//! Lines about decisions, bounded under load.

use std::cell::Cell;

use eelgrassrock_telemetry::log::{Level, Logger};
use prometheus_client::metrics::counter::Counter;
use serde::Serialize;

use crate::clock;
use crate::settings;

/// Log of one process.
pub(crate) struct Log {
    logger: Logger,
    settings: settings::Log,
    second: Cell<u64>,
    lines: Cell<u32>,
    left_out: Cell<u64>,
    left_out_total: Counter,
    answered: Cell<u64>,
}

#[derive(Serialize)]
struct LeftOut {
    lines: u64,
}

impl Log {
    /// Creates a log. `left_out` counts the lines beyond the bound.
    pub(crate) fn new(logger: Logger, settings: settings::Log, left_out: Counter) -> Self {
        Self {
            logger,
            settings,
            second: Cell::new(0),
            lines: Cell::new(0),
            left_out: Cell::new(0),
            left_out_total: left_out,
            answered: Cell::new(0),
        }
    }

    /// Writes a line about what the process believes.
    pub(crate) fn note(&self, event: &str, fields: &impl Serialize) {
        self.logger.log(Level::Info, event, fields);
    }

    /// Writes a line about something that needs attention.
    pub(crate) fn warn(&self, event: &str, fields: &impl Serialize) {
        self.logger.log(Level::Warn, event, fields);
    }

    /// Writes a line about a single request, or counts it as left out if there
    /// have been too many in this second.
    pub(crate) fn request(&self, event: &str, fields: &impl Serialize) {
        let second = clock::now().as_millis() / 1_000;
        if self.second.replace(second) != second {
            self.lines.set(0);
            let lines = self.left_out.replace(0);
            if lines > 0 {
                self.logger
                    .log(Level::Warn, "lines left out", &LeftOut { lines });
            }
        }
        if self.lines.get() >= self.settings.max_lines_per_s {
            self.left_out.set(self.left_out.get() + 1);
            self.left_out_total.inc();
            return;
        }
        self.lines.set(self.lines.get() + 1);
        self.logger.log(Level::Info, event, fields);
    }

    /// Whether the next answered request without any event gets a line.
    pub(crate) fn samples(&self) -> bool {
        let count = self.answered.get();
        self.answered.set(count + 1);
        count.is_multiple_of(self.settings.sample.max(1))
    }

    pub(crate) fn flush(&self) {
        self.logger.flush();
    }
}
