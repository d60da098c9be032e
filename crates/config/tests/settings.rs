//! Parsing of settings: each fault is reported with its location and the allowed values.

mod support;

use std::time::Duration;

use eelgrassrock_config::settings::{Level, Settings};
use eelgrassrock_config::{Kind, Report};
use rstest::rstest;
use support::{FakeEnvironment, assert_one_fault};

const VALID: &str = "\
[router]
name = r1
data-centre = kigali-a
[listen]
callers = 10.0.0.1:8080
peers = 10.0.0.1:7400
peers-http = 10.0.0.1:7401
admin = 10.0.0.1:7402
[platform]
table = 10.0.0.9:1
objects = 10.0.0.9:2
vms = 10.0.0.9:3
[secret]
environment = SECRET
[ownership]
lease = 900 ms
[log]
level = warn
";

fn parse(text: &str) -> Result<Settings, Report> {
    Settings::parse(
        "r.ini",
        text,
        &FakeEnvironment::variable("SECRET", "0123456789abcdef"),
    )
}

#[rstest]
fn reads_values_and_defaults() {
    let settings = parse(VALID).unwrap();
    assert_eq!(settings.router.name.to_string(), "r1");
    assert_eq!(settings.listen.peers_http, "10.0.0.1:7401".parse().unwrap());
    assert_eq!(settings.ownership.lease, Duration::from_millis(900));
    assert_eq!(settings.ownership.authority, Duration::from_hours(4));
    assert_eq!(settings.log.level, Level::Warn);
    assert_eq!(settings.secret.expose(), "0123456789abcdef");
}

#[rstest]
fn printed_settings_parse_again_and_hide_the_secret() {
    let settings = parse(VALID).unwrap();
    let shown = settings.to_string();
    assert!(!shown.contains("0123456789abcdef"));
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
    assert_eq!(parse(&shown).unwrap(), settings);
}

#[rstest]
#[case::host_name("10.0.0.1:8080", "localhost:8080", &["r.ini:5: [listen] callers `localhost:8080`", "an IP address and a port"])]
#[case::any_address("10.0.0.1:8080", "0.0.0.0:8080", &["r.ini:5:", "0.0.0.0"])]
#[case::no_port("10.0.0.1:7402", "10.0.0.1:0", &["r.ini:8: [listen] admin `10.0.0.1:0`"])]
#[case::other_port("10.0.0.1:7401", "10.0.0.1:7409", &["r.ini:7: [listen] peers-http `10.0.0.1:7409`", "`10.0.0.1:7401`, the port after `peers`"])]
#[case::same_address("10.0.0.1:7402", "10.0.0.1:8080", &["r.ini:8:", "another listener", "of its own"])]
#[case::name("name = r1", "name = R1", &["r.ini:2: [router] name `R1`", "a-z, 0-9"])]
#[case::missing_key("name = r1\n", "", &["r.ini:1: [router] name:", "missing"])]
#[case::unknown_key("name = r1", "name = r1\nnmae = r2", &["r.ini:3: [router] nmae `r2`: unknown key", "`name`, `data-centre`"])]
#[case::duplicate_key("name = r1", "name = r1\nname = r2", &["r.ini:3: [router] name `r2`", "first in line 2"])]
#[case::unknown_section("[log]", "[lgo]", &["r.ini:17: [lgo]: unknown section", "[log]"])]
#[case::duplicate_section("[log]\n", "[log]\n[log]\n", &["r.ini:18: [log]", "first in line 17"])]
#[case::missing_section("[secret]\nenvironment = SECRET\n", "", &["r.ini: [secret]: the section is missing"])]
#[case::no_unit("900 ms", "900", &["r.ini:16: [ownership] lease `900`", "100 ms to 1 min"])]
#[case::out_of_range("900 ms", "9 ms", &["lease `9 ms`", "100 ms to 1 min"])]
#[case::few_heartbeats("900 ms", "200 ms", &["r.ini:16: [ownership] lease `200 ms`", "a third"])]
#[case::short_authority("900 ms", "900 ms\nauthority = 1 s", &["r.ini:17:", "at least twice"])]
#[case::level("warn", "loud", &["r.ini:18: [log] level `loud`", "`error` or `warn`"])]
#[case::two_secrets("environment = SECRET", "environment = SECRET\nfile = /s", &["r.ini:14:", "either `file` or `environment`"])]
#[case::no_secret("environment = SECRET", "", &["r.ini:13: [secret] file:", "either `file` or `environment`"])]
#[case::unset_secret("SECRET", "OTHER", &["r.ini:14: [secret] environment `OTHER`", "not set", "16 visible"])]
#[case::missing_file("environment = SECRET", "file = /s", &["r.ini:14: [secret] file `/s`", "no such file"])]
#[case::no_section("[router]", "a = b\n[router]", &["r.ini:1: a `b`", "below a `[section]`"])]
#[case::no_value("[router]", "nonsense\n[router]", &["r.ini:1: `nonsense`", "`key = value`"])]
#[case::open_bracket("[log]", "[log", &["r.ini:17:", "`[log`", "`[section]`"])]
fn fault_names_location_and_allowed_values(
    #[case] from: &str,
    #[case] to: &str,
    #[case] parts: &[&str],
) {
    assert!(VALID.contains(from));
    let report = parse(&VALID.replacen(from, to, 1)).unwrap_err();
    if to == "[log" {
        // The lines below an invalid heading count as part of the previous section, which
        // causes further faults.
        assert_eq!(report.faults()[0].kind, Kind::Syntax);
        parts
            .iter()
            .for_each(|part| assert!(report.to_string().contains(part), "{report}"));
        return;
    }
    assert_one_fault(&report, parts);
}

#[rstest]
fn short_secret_is_refused_and_not_shown() {
    let environment = FakeEnvironment::variable("SECRET", "short");
    let report = Settings::parse("r.ini", VALID, &environment).unwrap_err();
    assert_one_fault(&report, &["too short", "16 visible"]);
    assert!(!report.to_string().contains("`short`"));
}

#[rstest]
fn all_faults_are_reported_sorted_by_line() {
    let text = VALID
        .replace("r1", "R1")
        .replace("900 ms", "900")
        .replace("vms", "vsm");
    let report = parse(&text).unwrap_err();
    let lines: Vec<u32> = report.faults().iter().map(|fault| fault.line).collect();
    assert_eq!(lines, [2, 9, 12, 16]);
}

#[rstest]
fn unreadable_file_is_reported() {
    let report = Settings::read("/nonexistent/r.ini".as_ref()).unwrap_err();
    assert_one_fault(&report, &["/nonexistent/r.ini:", "can't be read", "UTF-8"]);
}
