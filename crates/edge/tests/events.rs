//! Every event that a router logs is listed on the page for operators.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Collects the event names from the first arguments of log calls, and of calls that pass a name on
/// to one.
fn events(folder: &Path, found: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            events(&path, found);
            continue;
        }
        let text = fs::read_to_string(&path).unwrap();
        for call in [".note(", ".warn(", "log.request(", ".info("] {
            for (start, _) in text.match_indices(call) {
                let rest = text[start + call.len()..].trim_start();
                if let Some(name) = rest
                    .strip_prefix('"')
                    .and_then(|rest| rest.split('"').next())
                {
                    found.insert(name.to_owned());
                }
            }
        }
    }
}

#[test]
fn the_operators_page_lists_every_event() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = BTreeSet::new();
    events(&root.join("src"), &mut found);
    assert!(found.len() > 8, "{found:?}");
    let page = fs::read_to_string(root.join("../../docs/OPERATIONS.md")).unwrap();
    let missing: Vec<&String> = found
        .iter()
        .filter(|name| !page.contains(&format!("`{name}`")))
        .collect();
    assert!(missing.is_empty(), "docs/OPERATIONS.md lacks {missing:?}");
}
