//! Environment, bundles and assertions that the tests share.
#![allow(dead_code, reason = "each test file uses a part")]

use eelgrassrock_config::Report;
use eelgrassrock_config::approval::Key;
use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::secret::Environment;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Environment with one variable and no files.
pub(crate) struct FakeEnvironment {
    name: String,
    value: String,
}

impl FakeEnvironment {
    pub(crate) fn variable(name: &str, value: &str) -> Self {
        Self {
            name: name.to_owned(),
            value: value.to_owned(),
        }
    }
}

impl Environment for FakeEnvironment {
    fn file(&self, _path: &str) -> Result<String, String> {
        Err("no such file".to_owned())
    }

    fn variable(&self, name: &str) -> Option<String> {
        (name == self.name).then(|| self.value.clone())
    }
}

/// Returns the private key that is derived from the seed `number`. The approver `aN`
/// has the key with the number N.
pub(crate) fn key(number: u64) -> Key {
    Key::generate(&mut StdRng::seed_from_u64(number))
}

/// Returns the text of a bundle with the approvers `a1`, `a2` and `a3`, two of
/// whom must approve the next bundle.
pub(crate) fn bundle_text(version: u64) -> String {
    let approvers: String = (1..=3)
        .map(|number| {
            format!(
                "[approver a{number}]\npublic-key = {}\n",
                key(number).public()
            )
        })
        .collect();
    format!(
        "[bundle]\nversion = {version}\nreplaces = {}\n{BODY}{approvers}",
        version - 1
    )
}

pub(crate) fn bundle(version: u64) -> Bundle {
    parse(&bundle_text(version))
}

pub(crate) fn parse(text: &str) -> Bundle {
    Bundle::parse("fleet.ini", text).unwrap_or_else(|report| panic!("{report}"))
}

/// Body of a bundle. Its first line is line 4 of the whole text.
const BODY: &str = "\
[service lookup]
shards = 64
goal = balance
key = segment 2
[service manifest]
shards = 16
key = query departure
[service hold]
shards = 16
key = header x-departure
[route lookup]
service = lookup
method = GET
path = /lookups
repeat = idempotent
patience = wait
deadline = 10 s
[route lookup-issue]
service = lookup
method = POST
path = /lookups
repeat = once
patience = prompt 200 ms
deadline = 5 s
[route deep]
service = manifest
method = GET
path = /lookups/special
repeat = idempotent
patience = wait
deadline = 10 s
[route hold]
service = hold
method = POST
path = /holds
repeat = once
patience = prompt 200 ms
deadline = 5 s
needs-idempotency-key = no
[upstream l1]
service = lookup
data-centre = kigali-a
address = 10.0.0.1:80
slots = 2
connections = 110
checks-orders = yes
[upstream m1]
service = manifest
data-centre = kigali-b
address = 10.0.0.2:80
slots = 2
connections = 110
[upstream h1]
service = hold
data-centre = kigali-b
address = 10.0.0.3:80
slots = 2
connections = 110
checks-idempotency = yes
[partner brokers]
weight = 2
credential-sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
[approvals]
required = 2
";

/// Asserts that the report has exactly one fault, whose text contains all of
/// `parts`.
pub(crate) fn assert_one_fault(report: &Report, parts: &[&str]) {
    let text = report.to_string();
    assert_eq!(report.faults().len(), 1, "{text}");
    for part in parts {
        assert!(text.contains(part), "`{part}` is not in: {text}");
    }
}
