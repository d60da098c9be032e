//! No input makes the parsers panic, and every fault has a line within its file.

mod support;

use eelgrassrock_config::approval::Key;
use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::key::Source;
use eelgrassrock_config::roll::Record;
use eelgrassrock_config::route::Prefix;
use eelgrassrock_config::settings::Settings;
use http::{HeaderMap, Method, Uri};
use proptest::prelude::*;
use support::{FakeEnvironment, bundle, bundle_text};

/// Texts that resemble INI closely enough to reach the checks of sections and values.
fn ini_like() -> impl Strategy<Value = String> {
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

/// Valid bundles in which one range of bytes is replaced by random text.
fn damaged_bundle() -> impl Strategy<Value = String> {
    let length = bundle_text(1).len();
    (0..length, 0usize..40, ".{0,8}").prop_map(|(start, span, patch)| {
        let mut text = bundle_text(1);
        let end = (start + span).min(text.len());
        text.replace_range(start..end, &patch);
        text
    })
}

/// Checks that parsing `text` reports no fault beyond its last line.
fn assert_faults_are_within(text: &str) {
    let lines = u32::try_from(text.split(['\n', '\r']).count()).unwrap();
    let environment = FakeEnvironment::variable("SECRET", "0123456789abcdef");
    let settings = Settings::parse("f", text, &environment).err();
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
    fn any_text_is_parsed_or_refused(text in any::<String>()) {
        assert_faults_are_within(&text);
        let _ = (Record::from_json(&text).is_ok(), Key::parse(&text).is_ok());
        let _ = (Source::parse(&text), Prefix::parse(&text));
    }

    #[test]
    fn ini_like_text_is_parsed_or_refused(text in ini_like()) {
        assert_faults_are_within(&text);
    }

    #[test]
    fn damaged_bundle_is_parsed_or_refused(text in damaged_bundle()) {
        assert_faults_are_within(&text);
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

    /// Percent-encoding any bytes of a key must yield the same key, because two encodings
    /// would otherwise select two shards.
    #[test]
    fn percent_encoding_does_not_change_the_key(name in "[a-z0-9]{1,20}", escaped in any::<u32>()) {
        let encoded: String = name.char_indices().map(|(index, c)| {
            let plain = escaped >> (index % 32) & 1 == 0;
            if plain { c.to_string() } else { format!("%{:02X}", u32::from(c)) }
        }).collect();
        let uri: Uri = format!("/lookups/{encoded}x").parse().unwrap();
        let matched = bundle(1).route(&Method::GET, &uri, &HeaderMap::new()).unwrap();
        prop_assert_eq!(matched.key, format!("{name}x").into_bytes());
    }
}
