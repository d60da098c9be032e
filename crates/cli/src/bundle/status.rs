//! `bundle status`.

use std::path::Path;

use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::roll::Record;
use serde::Serialize;

use crate::answer::Answer;
use crate::args::BundleStatus;
use crate::bundle::{read, show_diff};
use crate::store::{Fault, Store};

/// State as `--json` prints it.
#[derive(Serialize)]
struct Wire<'a> {
    version: u64,
    digest: String,
    approvers: Vec<&'a str>,
    required_approvals: usize,
}

pub(crate) async fn status(arguments: &BundleStatus) -> Answer {
    let store = Store::new(&arguments.platform);
    let result = match &arguments.file {
        Some(file) => of_file(&store, file).await,
        None => in_force(&store, arguments.json).await,
    };
    result.unwrap_or_else(Answer::refused)
}

async fn in_force(store: &Store, json: bool) -> Result<Answer, Fault> {
    let current = store.current().await?;
    let Some((bundle, record)) = &current.bundle else {
        let text = if json {
            "null"
        } else {
            "no bundle is in force"
        };
        return Ok(Answer::done(text));
    };
    Ok(Answer::done(if json {
        show_json(bundle, record)
    } else {
        show(bundle, record)
    }))
}

fn approvers(record: &Record) -> Vec<&str> {
    use eelgrassrock_model::Name;
    let approvals = record.approvals.iter();
    approvals
        .map(|approval| approval.approver.as_str())
        .collect()
}

fn show(bundle: &Bundle, record: &Record) -> String {
    format!(
        "version {} is in force\ndigest {}\napproved by {}\nthe next bundle needs {} of {} approvers",
        bundle.version(),
        bundle.digest(),
        approvers(record).join(", "),
        bundle.required_approvals(),
        bundle.approvers().len()
    )
}

fn show_json(bundle: &Bundle, record: &Record) -> String {
    let wire = Wire {
        version: bundle.version().0,
        digest: bundle.digest().to_string(),
        approvers: approvers(record),
        required_approvals: bundle.required_approvals(),
    };
    serde_json::to_string(&wire).expect("names and numbers are valid JSON")
}

async fn of_file(store: &Store, file: &Path) -> Result<Answer, Fault> {
    let bundle = match read(file) {
        Ok(bundle) => bundle,
        Err(answer) => return Ok(answer),
    };
    let version = bundle.version();
    let Some(record) = store.version(version).await? else {
        return Ok(Answer::refused(format!(
            "version {version} has not been rolled"
        )));
    };
    if record.digest == bundle.digest() {
        return Ok(Answer::done(format!(
            "version {version} was rolled, and it is this bundle"
        )));
    }
    let other = store.bundle(&record).await?;
    Ok(Answer::refused(format!(
        "version {version} was rolled, but it is another bundle of digest {}; this one would \
         change in it:\n{}",
        record.digest,
        show_diff(&other, &bundle)
    )))
}
