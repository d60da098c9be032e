//! `bundle approve`: signs a bundle and stores the approval.

use eelgrassrock_config::approval::Key;
use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::roll::{self, Refusal, Verdict};

use crate::args::Approve;
use crate::bundle::{format_diff, read};
use crate::output::Output;
use crate::store::{Store, WriteResult};

pub(crate) async fn approve(arguments: &Approve) -> Output {
    let (bundle, key) = match (read(&arguments.file), read_key(arguments)) {
        (Ok(bundle), Ok(key)) => (bundle, key),
        (Err(output), _) | (_, Err(output)) => return output,
    };
    let store = Store::new(&arguments.platform);
    let in_force = match store.current().await {
        Ok(current) => current.bundle.map(|(bundle, _)| bundle),
        Err(error) => return Output::refused(error),
    };
    let approval = key.approve(arguments.approver.clone(), &bundle);
    let verdict = roll::check(in_force.as_ref(), &bundle, std::slice::from_ref(&approval));
    if let Some(refusals) = other_refusals(&verdict) {
        return Output::refused(refusals);
    }
    match store.approve(&approval).await {
        Ok(result) => report(arguments, in_force.as_ref(), &bundle, &result),
        Err(error) => Output::refused(error),
    }
}

fn read_key(arguments: &Approve) -> Result<Key, Output> {
    let path = arguments.key_file.display();
    let text = std::fs::read_to_string(&arguments.key_file)
        .map_err(|error| Output::refused(format!("{path}: the key can't be read: {error}")))?;
    Key::parse(&text).map_err(|error| {
        Output::refused(format!(
            "{path}: {error}; allowed: a file that `eelgrassrock bundle keygen` wrote"
        ))
    })
}

/// Returns the reasons why the bundle can't be rolled even with further approvals.
/// It is no such reason that this approval alone isn't enough.
fn other_refusals(verdict: &Verdict) -> Option<String> {
    let Verdict::Refused(refusals) = verdict else {
        return None;
    };
    let needs_more_approvals =
        |refusal: &&Refusal| matches!(refusal, Refusal::Approvals { found: 1, .. });
    let other_refusals = refusals
        .iter()
        .filter(|refusal| !needs_more_approvals(refusal));
    let lines: Vec<String> = other_refusals.map(ToString::to_string).collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}

fn report(
    arguments: &Approve,
    in_force: Option<&Bundle>,
    bundle: &Bundle,
    result: &WriteResult,
) -> Output {
    let (approver, version) = (&arguments.approver, bundle.version());
    match result {
        WriteResult::Done => {
            let differs = in_force.map_or_else(
                || "  this is the first bundle".to_owned(),
                |old| format_diff(old, bundle),
            );
            Output::done(format!(
                "{approver} approved version {version}, digest {}\n{differs}",
                bundle.digest()
            ))
        }
        WriteResult::Conflict | WriteResult::NotWritten => {
            Output::refused("the approval was not stored: the table refused the write; try again")
        }
        WriteResult::Unknown => Output::unknown(
            "the approval may have been stored; run the same command again to store or confirm it",
        ),
    }
}
