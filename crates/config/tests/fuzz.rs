//! No input makes the readers panic, and no fault lies outside of its file.

mod support;

use eelgrassrock_config::approval::Key;
use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::key::Source;
use eelgrassrock_config::roll::Record;
use eelgrassrock_config::route::Prefix;
use eelgrassrock_config::settings::Settings;
use http::{HeaderMap, Method, Uri};
use proptest::prelude::*;
use support::{Given, bundle, bundle_text};

/// Texts that look like INI often enough to reach the inner rules.
fn ini() -> impl Strategy<Value = String> {
    let word = prop_oneof![
        Just("bundle"),
        Just("service a"),
        Just("upstream a"),
        Just("router"),
        Just("route a"),
        Just("version"),
        Just("key"),
        Just("address"),
        Just("name"),
        Just("="),
        Just("["),
        Just("]"),
        Just("\n"),
        Just("\r"),
        Just(";"),
        Just(" "),
        Just("segment 2"),
        Just("1"),
        Just("prompt 1 ms"),
        Just("18446744073709551616 min"),
        Just("é"),
        Just("\u{feff}"),
    ];
    prop::collection::vec(word, 0..60).prop_map(|words| words.concat())
}

/// Good bundles with one damaged stretch.
fn damaged() -> impl Strategy<Value = String> {
    let length = bundle_text(1).len();
    (0..length, 0usize..40, ".{0,8}").prop_map(|(start, span, patch)| {
        let mut text = bundle_text(1);
        let end = (start + span).min(text.len());
        text.replace_range(start..end, &patch);
        text
    })
}

fn check_lines(text: &str) {
    let lines = u32::try_from(text.split(['\n', '\r']).count()).unwrap();
    let given = Given::variable("SECRET", "0123456789abcdef");
    let settings = Settings::parse("f", text, &given).err();
    let bundle = Bundle::parse("f", text).err();
    for report in settings.iter().chain(&bundle) {
        assert!(!report.faults().is_empty());
        assert!(
            report.faults().iter().all(|fault| fault.line <= lines),
            "{report}"
        );
    }
}

proptest! {
    #[test]
    fn any_text_is_read_or_refused(text in any::<String>()) {
        check_lines(&text);
        let _ = (Record::from_json(&text).is_ok(), Key::parse(&text).is_ok());
        let _ = (Source::parse(&text), Prefix::parse(&text));
    }

    #[test]
    fn near_ini_is_read_or_refused(text in ini()) {
        check_lines(&text);
    }

    #[test]
    fn damaged_bundle_is_read_or_refused(text in damaged()) {
        check_lines(&text);
    }

    #[test]
    fn any_target_is_routed_or_refused(target in "/[!-~]{0,40}") {
        if let Ok(uri) = target.parse::<Uri>() {
            let bundle = bundle(1);
            for method in [Method::GET, Method::POST] {
                if let Ok(matched) = bundle.route(&method, &uri, &HeaderMap::new()) {
                    prop_assert!(!matched.key.is_empty());
                }
            }
        }
    }

    /// One key has one spelling: escaping any of its bytes changes nothing.
    #[test]
    fn escapes_do_not_change_the_key(name in "[a-z0-9]{1,20}", escaped in any::<u32>()) {
        let spelled: String = name.char_indices().map(|(index, c)| {
            let plain = escaped >> (index % 32) & 1 == 0;
            if plain { c.to_string() } else { format!("%{:02X}", u32::from(c)) }
        }).collect();
        let uri: Uri = format!("/lookups/{spelled}x").parse().unwrap();
        let matched = bundle(1).route(&Method::GET, &uri, &HeaderMap::new()).unwrap();
        prop_assert_eq!(matched.key, format!("{name}x").into_bytes());
    }
}
