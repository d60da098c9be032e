//! `bundle`: checks, keys, approvals and rolls.

use std::path::Path;

use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::diff;

use crate::answer::Answer;

pub(crate) mod approve;
pub(crate) mod check;
pub(crate) mod keygen;
pub(crate) mod roll;
pub(crate) mod status;

/// Reads the bundle file at `path`.
///
/// # Errors
///
/// Returns the answer that lists every fault.
fn read(path: &Path) -> Result<Bundle, Answer> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|fault| {
        Answer::refused(format!(
            "{name}: the file can't be read: {fault}; allowed: a readable file in UTF-8"
        ))
    })?;
    Bundle::parse(&name, &text).map_err(Answer::refused)
}

/// Returns the changes from `old` to `new`, a line for each.
fn show_diff(old: &Bundle, new: &Bundle) -> String {
    let changes = diff::diff(old, new);
    if changes.is_empty() {
        return "  nothing differs but the version".to_owned();
    }
    let line = |change: &diff::Change| match change.refusal() {
        Some(reason) => format!("! {change}: not allowed, {reason}"),
        None => format!("  {change}"),
    };
    let lines: Vec<String> = changes.iter().map(line).collect();
    lines.join("\n")
}
