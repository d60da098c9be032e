//! `bundle status`: shows the bundle in force, or whether a bundle file was rolled.

use std::path::Path;

use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::roll::Record;
use serde::Serialize;

use crate::args::BundleStatus;
use crate::bundle::{format_diff, read};
use crate::output::Output;
use crate::store::{Fault, Store};

/// Bundle in force as `--json` prints it.
#[derive(Serialize)]
struct State<'a> {
    version: u64,
    digest: String,
    approvers: Vec<&'a str>,
    required_approvals: usize,
}

pub(crate) async fn status(arguments: &BundleStatus) -> Output {
    let store = Store::new(&arguments.platform);
    let result = match &arguments.file {
        Some(file) => status_of_file(&store, file).await,
        None => in_force(&store, arguments.json).await,
    };
    result.unwrap_or_else(Output::refused)
}

async fn in_force(store: &Store, json: bool) -> Result<Output, Fault> {
    let current = store.current().await?;
    let Some((bundle, record)) = &current.bundle else {
        let text = if json {
            "null"
        } else {
            "no bundle is in force"
        };
        return Ok(Output::done(text));
    };
    Ok(Output::done(if json {
        format_json(bundle, record)
    } else {
        format_text(bundle, record)
    }))
}

fn approvers(record: &Record) -> Vec<&str> {
    use eelgrassrock_model::Name;
    let approvals = record.approvals.iter();
    approvals
        .map(|approval| approval.approver.as_str())
        .collect()
}

fn format_text(bundle: &Bundle, record: &Record) -> String {
    format!(
        "version {} is in force\ndigest {}\napproved by {}\nthe next bundle needs {} of {} approvers",
        bundle.version(),
        bundle.digest(),
        approvers(record).join(", "),
        bundle.required_approvals(),
        bundle.approvers().len()
    )
}

fn format_json(bundle: &Bundle, record: &Record) -> String {
    let state = State {
        version: bundle.version().0,
        digest: bundle.digest().to_string(),
        approvers: approvers(record),
        required_approvals: bundle.required_approvals(),
    };
    serde_json::to_string(&state).expect("names and numbers are valid JSON")
}

async fn status_of_file(store: &Store, file: &Path) -> Result<Output, Fault> {
    let bundle = match read(file) {
        Ok(bundle) => bundle,
        Err(output) => return Ok(output),
    };
    let version = bundle.version();
    let Some(record) = store.version(version).await? else {
        return Ok(Output::refused(format!(
            "version {version} has not been rolled"
        )));
    };
    if record.digest == bundle.digest() {
        return Ok(Output::done(format!(
            "version {version} was rolled, and it is this bundle"
        )));
    }
    let other = store.bundle(&record).await?;
    Ok(Output::refused(format!(
        "version {version} was rolled, but as another bundle with digest {}; changes from \
         that bundle to this one:\n{}",
        record.digest,
        format_diff(&other, &bundle)
    )))
}
