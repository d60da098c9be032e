//! `bundle roll`.

use std::path::Path;

use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::roll::{self, Record, Refusal, Verdict};

use crate::answer::Answer;
use crate::args::Platform;
use crate::bundle::{read, show_diff};
use crate::store::{Change, Current, Fault, Store};

pub(crate) async fn roll(file: &Path, platform: &Platform) -> Answer {
    let next = match read(file) {
        Ok(next) => next,
        Err(answer) => return answer,
    };
    let store = Store::new(platform);
    let result = roll_checked(&store, file, platform, &next).await;
    result.unwrap_or_else(|fault| {
        Answer::refused(format!(
            "version {} was not rolled: {fault}",
            next.version()
        ))
    })
}

async fn roll_checked(
    store: &Store,
    file: &Path,
    platform: &Platform,
    next: &Bundle,
) -> Result<Answer, Fault> {
    let current = store.current().await?;
    let in_force = current.bundle.as_ref().map(|(bundle, _)| bundle);
    if in_force.is_some_and(|old| old.digest() == next.digest()) {
        return Ok(Answer::done(format!(
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
    match store.roll(current.row, &record).await {
        Change::Done => Ok(done(next)),
        Change::Conflict => lost(store, next).await,
        Change::NotWritten => Ok(Answer::refused(format!(
            "version {} was not rolled: the table refused the write; try the same again",
            next.version()
        ))),
        Change::Unknown => Ok(unknown(file, platform, next)),
    }
}

fn done(next: &Bundle) -> Answer {
    Answer::done(format!(
        "version {} is in force, digest {}",
        next.version(),
        next.digest()
    ))
}

fn unknown(file: &Path, platform: &Platform, next: &Bundle) -> Answer {
    Answer::unknown(format!(
        "version {} may have been rolled: the answer of the table was lost. This tells:\n  \
         eelgrassrock bundle status {} {platform}",
        next.version(),
        file.display()
    ))
}

fn refused(refusals: &[Refusal], current: &Current, next: &Bundle) -> Answer {
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
        text.push_str(&differences(in_force, next));
    }
    Answer::refused(text)
}

/// Tells which version won, and what differs.
async fn lost(store: &Store, next: &Bundle) -> Result<Answer, Fault> {
    let current = store.current().await?;
    let Some((winner, _)) = &current.bundle else {
        return Ok(Answer::refused(
            "the row of the bundle in force has vanished",
        ));
    };
    Ok(Answer::refused(format!(
        "version {} was not rolled: another roll was first, and version {} is in force{}",
        next.version(),
        winner.version(),
        differences(winner, next)
    )))
}

fn differences(winner: &Bundle, next: &Bundle) -> String {
    format!(
        "\nversion {} in force has digest {}; this bundle would change in it:\n{}",
        winner.version(),
        winner.digest(),
        show_diff(winner, next)
    )
}
