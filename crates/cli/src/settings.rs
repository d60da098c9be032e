//! `settings check`: validates a settings file and prints the effective settings.

use std::path::Path;

use eelgrassrock_config::settings::Settings;

use crate::output::Output;

pub(crate) fn check(file: &Path) -> Output {
    match Settings::read(file) {
        Ok(settings) => Output::done(settings),
        Err(report) => Output::refused(report),
    }
}
