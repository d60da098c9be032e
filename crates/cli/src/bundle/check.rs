//! `bundle check` and `bundle diff`.

use std::path::Path;

use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::diff;

use crate::answer::{Answer, Exit};
use crate::bundle::{read, show_diff};

pub(crate) fn check(file: &Path) -> Answer {
    match read(file) {
        Ok(bundle) => Answer::done(show(&bundle)),
        Err(answer) => answer,
    }
}

pub(crate) fn diff(old: &Path, new: &Path) -> Answer {
    let (old, new) = match (read(old), read(new)) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(old), Err(new)) => return Answer::refused(old.err + &new.err),
        (Err(answer), _) | (_, Err(answer)) => return answer,
    };
    let mut answer = Answer::done(show_diff(&old, &new));
    let refused = |change: &diff::Change| change.refusal().is_some();
    if diff::diff(&old, &new).iter().any(refused) {
        answer.exit = Exit::Refused;
    }
    answer
}

/// Returns what a bundle declares, a line for each thing.
fn show(bundle: &Bundle) -> String {
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
