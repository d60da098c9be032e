//! `bundle approve`.

use eelgrassrock_config::approval::Key;
use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::roll::{self, Refusal, Verdict};

use crate::answer::Answer;
use crate::args::Approve;
use crate::bundle::{read, show_diff};
use crate::store::{Change, Store};

pub(crate) async fn approve(arguments: &Approve) -> Answer {
    let (bundle, key) = match (read(&arguments.file), read_key(arguments)) {
        (Ok(bundle), Ok(key)) => (bundle, key),
        (Err(answer), _) | (_, Err(answer)) => return answer,
    };
    let store = Store::new(&arguments.platform);
    let in_force = match store.current().await {
        Ok(current) => current.bundle.map(|(bundle, _)| bundle),
        Err(fault) => return Answer::refused(fault),
    };
    let approval = key.approve(arguments.approver.clone(), &bundle);
    let verdict = roll::check(in_force.as_ref(), &bundle, std::slice::from_ref(&approval));
    if let Some(refusals) = objections(&verdict) {
        return Answer::refused(refusals);
    }
    match store.approve(&approval).await {
        Ok(change) => answer(arguments, in_force.as_ref(), &bundle, &change),
        Err(fault) => Answer::refused(fault),
    }
}

fn read_key(arguments: &Approve) -> Result<Key, Answer> {
    let path = arguments.key_file.display();
    let text = std::fs::read_to_string(&arguments.key_file)
        .map_err(|fault| Answer::refused(format!("{path}: the key can't be read: {fault}")))?;
    Key::parse(&text).map_err(|fault| {
        Answer::refused(format!(
            "{path}: {fault}; allowed: a file that `eelgrassrock bundle keygen` wrote"
        ))
    })
}

/// Returns why the approval would be in vain. That others must sign as well is
/// no objection.
fn objections(verdict: &Verdict) -> Option<String> {
    let Verdict::Refused(refusals) = verdict else {
        return None;
    };
    let only_more_needed =
        |refusal: &&Refusal| matches!(refusal, Refusal::Approvals { found: 1, .. });
    let objections = refusals.iter().filter(|refusal| !only_more_needed(refusal));
    let lines: Vec<String> = objections.map(ToString::to_string).collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}

fn answer(
    arguments: &Approve,
    in_force: Option<&Bundle>,
    bundle: &Bundle,
    change: &Change,
) -> Answer {
    let (approver, version) = (&arguments.approver, bundle.version());
    match change {
        Change::Done => {
            let differs = in_force.map_or_else(
                || "  it is the first bundle".to_owned(),
                |old| show_diff(old, bundle),
            );
            Answer::done(format!(
                "{approver} approved version {version}, digest {}\n{differs}",
                bundle.digest()
            ))
        }
        Change::Conflict | Change::NotWritten => Answer::refused(
            "the approval was not stored: the table refused the write; try the same again",
        ),
        Change::Unknown => Answer::unknown(
            "the approval may have been stored; the same command again stores or confirms it",
        ),
    }
}
