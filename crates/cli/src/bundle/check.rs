//! `bundle check` and `bundle diff`: validate and compare bundle files.

use std::path::Path;

use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::diff;

use crate::bundle::{format_diff, read};
use crate::output::{Exit, Output};

pub(crate) fn check(file: &Path) -> Output {
    match read(file) {
        Ok(bundle) => Output::done(format_text(&bundle)),
        Err(output) => output,
    }
}

pub(crate) fn diff(old: &Path, new: &Path) -> Output {
    let (old, new) = match (read(old), read(new)) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(old), Err(new)) => return Output::refused(old.stderr + &new.stderr),
        (Err(output), _) | (_, Err(output)) => return output,
    };
    let mut output = Output::done(format_diff(&old, &new));
    let is_refused = |change: &diff::Change| change.refusal().is_some();
    if diff::diff(&old, &new).iter().any(is_refused) {
        output.exit = Exit::Refused;
    }
    output
}

/// Formats the contents of a bundle, one line for each service, route and partner.
fn format_text(bundle: &Bundle) -> String {
    let fleet = bundle.fleet();
    let mut lines = vec![
        format!(
            "version {}, replaces {}",
            bundle.version(),
            bundle.replaces()
        ),
        format!("digest {}", bundle.digest()),
    ];
    for (name, service) in bundle.services() {
        let upstreams = fleet.upstreams.values();
        let count = upstreams
            .filter(|upstream| upstream.service == *name)
            .count();
        let shards = service.shards.get();
        let key = &service.key;
        lines.push(format!(
            "service {name}: {count} upstreams, {shards} shards, key by {key}"
        ));
    }
    for route in bundle.routes() {
        let (method, prefix, service) = (&route.method, &route.prefix, &route.service);
        let class = &route.class.name;
        lines.push(format!("route {class}: {method} {prefix} to {service}"));
    }
    for (name, partner) in &fleet.partners {
        lines.push(format!("partner {name}: weight {}", partner.weight));
    }
    let required = bundle.required_approvals();
    let approvers = bundle.approvers().len();
    lines.push(format!(
        "the next bundle needs {required} of {approvers} approvers"
    ));
    lines.join("\n")
}
