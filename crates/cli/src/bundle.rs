//! The `bundle` commands: checks, comparisons, keys, approvals, rolls and status.

use std::path::Path;

use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::diff;

use crate::output::Output;

pub(crate) mod approve;
pub(crate) mod check;
pub(crate) mod keygen;
pub(crate) mod roll;
pub(crate) mod status;

/// Reads the bundle file at `path`.
///
/// # Errors
///
/// Returns the output that lists all faults.
fn read(path: &Path) -> Result<Bundle, Output> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        Output::refused(format!(
            "{name}: the file can't be read: {error}; allowed: a readable file in UTF-8"
        ))
    })?;
    Bundle::parse(&name, &text).map_err(Output::refused)
}

/// Formats the changes from `old` to `new`, one per line. Refused changes start with `!`.
fn format_diff(old: &Bundle, new: &Bundle) -> String {
    let changes = diff::diff(old, new);
    if changes.is_empty() {
        return "  only the version differs".to_owned();
    }
    let line = |change: &diff::Change| match change.refusal() {
        Some(reason) => format!("! {change}: not allowed, {reason}"),
        None => format!("  {change}"),
    };
    let lines: Vec<String> = changes.iter().map(line).collect();
    lines.join("\n")
}
