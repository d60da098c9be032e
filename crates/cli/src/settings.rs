//! `settings check`.

use std::path::Path;

use eelgrassrock_config::settings::Settings;

use crate::answer::Answer;

pub(crate) fn check(file: &Path) -> Answer {
    match Settings::read(file) {
        Ok(settings) => Answer::done(settings),
        Err(report) => Answer::refused(report),
    }
}
