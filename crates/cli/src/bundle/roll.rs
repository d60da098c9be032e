//! `bundle roll`: brings an approved bundle into force.

use std::path::Path;

use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::roll::{self, Record, Refusal, Verdict};

use crate::args::Platform;
use crate::bundle::{format_diff, read};
use crate::output::Output;
use crate::store::{Current, Fault, Store, WriteResult};

pub(crate) async fn roll(file: &Path, platform: &Platform) -> Output {
    let next = match read(file) {
        Ok(next) => next,
        Err(output) => return output,
    };
    let store = Store::new(platform);
    let result = roll_checked(&store, file, platform, &next).await;
    result.unwrap_or_else(|error| {
        Output::refused(format!(
            "version {} was not rolled: {error}",
            next.version()
        ))
    })
}

async fn roll_checked(
    store: &Store,
    file: &Path,
    platform: &Platform,
    next: &Bundle,
) -> Result<Output, Fault> {
    let current = store.current().await?;
    let in_force = current.bundle.as_ref().map(|(bundle, _)| bundle);
    if in_force.is_some_and(|old| old.digest() == next.digest()) {
        return Ok(Output::done(format!(
            "version {} is in force already",
            next.version()
        )));
    }
    let approvals = store.approvals(next.digest()).await?;
    let approvals = match roll::check(in_force, next, &approvals) {
        Verdict::Accepted(approvals) => approvals,
        Verdict::Refused(refusals) => return Ok(refused(&refusals, &current, next)),
    };
    store.put(next).await?;
    let record = Record::new(next, approvals);
    match store.roll(current.row_version, &record).await {
        WriteResult::Done => Ok(done(next)),
        WriteResult::Conflict => report_conflict(store, next).await,
        WriteResult::NotWritten => Ok(Output::refused(format!(
            "version {} was not rolled: the table refused the write; try again",
            next.version()
        ))),
        WriteResult::Unknown => Ok(unknown(file, platform, next)),
    }
}

fn done(next: &Bundle) -> Output {
    Output::done(format!(
        "version {} is in force, digest {}",
        next.version(),
        next.digest()
    ))
}

fn unknown(file: &Path, platform: &Platform, next: &Bundle) -> Output {
    Output::unknown(format!(
        "version {} may have been rolled: the response of the table was lost. To find out, run:\n  \
         eelgrassrock bundle status {} {platform}",
        next.version(),
        file.display()
    ))
}

fn refused(refusals: &[Refusal], current: &Current, next: &Bundle) -> Output {
    let lines = refusals.iter().map(|refusal| format!("  {refusal}"));
    let lines: Vec<String> = lines.collect();
    let mut text = format!(
        "version {} was not rolled:\n{}",
        next.version(),
        lines.join("\n")
    );
    if let Some((in_force, _)) = &current.bundle
        && in_force.version() >= next.version()
    {
        text.push_str(&format_differences(in_force, next));
    }
    Output::refused(text)
}

/// Reports which version another roll brought into force, and how `next` differs from it.
async fn report_conflict(store: &Store, next: &Bundle) -> Result<Output, Fault> {
    let current = store.current().await?;
    let Some((winner, _)) = &current.bundle else {
        return Ok(Output::refused(
            "the row of the bundle in force no longer exists",
        ));
    };
    Ok(Output::refused(format!(
        "version {} was not rolled: another roll took effect first, and version {} is in force{}",
        next.version(),
        winner.version(),
        format_differences(winner, next)
    )))
}

fn format_differences(winner: &Bundle, next: &Bundle) -> String {
    format!(
        "\nversion {} in force has digest {}; changes from it to this bundle:\n{}",
        winner.version(),
        winner.digest(),
        format_diff(winner, next)
    )
}
