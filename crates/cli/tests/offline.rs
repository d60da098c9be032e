//! Commands that need no platform: checks, comparisons, keys, traces, help and completions.

mod support;

use std::os::unix::fs::PermissionsExt;

use eelgrassrock_cli::output::Exit;
use rstest::rstest;
use support::{Platform, bundle, example, run};

#[rstest]
#[case::umuhanga(
    "umuhanga",
    "service label: 11 upstreams, 256 shards, key by segment 2"
)]
#[case::sneslaede(
    "sneslaede",
    "service manifest: 13 upstreams, 256 shards, key by query departure"
)]
#[case::first("first", "partner brokers: weight 1")]
#[tokio::test]
async fn example_bundles_are_valid(#[case] name: &str, #[case] line: &str) {
    let path = example(&format!("{name}/bundle.ini"));
    let output = run(&["bundle", "check", path.to_str().unwrap()]).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
    assert!(
        output.stdout.lines().any(|found| found == line),
        "{output:?}"
    );
}

#[tokio::test]
async fn faults_of_a_bundle_are_listed() {
    let platform = Platform::start().await;
    let file = platform.file("b.ini", &bundle(1).replace("slots = 2", "slots = 0"));
    let output = run(&["bundle", "check", &file]).await;
    assert_eq!(output.exit, Exit::Refused);
    assert_eq!(output.stderr.lines().count(), 25);
    assert!(output.stderr.starts_with(&format!("{file}:")), "{output:?}");
}

#[rstest]
#[case::allowed(
    "weight = 1",
    "weight = 4",
    Exit::Done,
    "  partner `chemists`: weight 1 -> 4"
)]
#[case::refused(
    "shards = 256",
    "shards = 64",
    Exit::Refused,
    "! service `lookup`: shards 256 -> 64"
)]
#[tokio::test]
async fn diff_marks_refused_changes(
    #[case] from: &str,
    #[case] to: &str,
    #[case] exit: Exit,
    #[case] line: &str,
) {
    let platform = Platform::start().await;
    let old = platform.file("old.ini", &bundle(1));
    let new = platform.file("new.ini", &bundle(2).replacen(from, to, 1));
    let output = run(&["bundle", "diff", &old, &new]).await;
    assert_eq!(output.exit, exit);
    assert!(output.stdout.starts_with(line), "{output:?}");
}

#[tokio::test]
async fn key_is_private_and_never_overwritten() {
    let platform = Platform::start().await;
    let path = platform.path("new.key");
    let words = ["bundle", "keygen", "--key-file", path.to_str().unwrap()];
    let output = run(&words).await;
    assert_eq!(output.exit, Exit::Done);
    let private = std::fs::read_to_string(&path).unwrap();
    assert!(!output.stdout.contains(private.trim()));
    assert_eq!(
        std::fs::metadata(&path).unwrap().permissions().mode() & 0o777,
        0o600
    );
    assert_eq!(run(&words).await.exit, Exit::Refused);
    assert_eq!(std::fs::read_to_string(&path).unwrap(), private);
}

#[tokio::test]
async fn settings_check_hides_the_secret() {
    let platform = Platform::start().await;
    let secret = platform.file("secret", "a-very-secret-text-0123\n");
    let text = std::fs::read_to_string(example("first/router.ini")).unwrap();
    let text = text.replace(
        "environment = EELGRASSROCK_SECRET",
        &format!("file = {secret}"),
    );
    let good = platform.file("r.ini", &text);
    let output = run(&["settings", "check", &good]).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
    assert!(output.stdout.contains("authority = 4 h"));
    assert!(!output.stdout.contains("a-very-secret"));
    let bad = platform.file("r.ini", &text.replace("500 ms", "500"));
    let output = run(&["settings", "check", &bad]).await;
    assert_eq!(output.exit, Exit::Refused);
    assert!(
        output.stderr.contains("[ownership] lease `500`"),
        "{output:?}"
    );
}

const TRACE: &str = r#"{"start":{"router":"r0","address":"10.0.0.1:1","data_centre":"z0","nonce":"1","lease_ms":500,"heartbeat_ms":100,"drift_ppm":1000,"authority_ms":60000,"seed":0}}
{"bounds":{"least_moves":0,"imbalance":1.0,"churn":1.0,"worst_unavailable_ms":0}}
"#;

#[tokio::test]
async fn replay_prints_metrics() {
    let platform = Platform::start().await;
    let file = platform.file("trace.jsonl", TRACE);
    let output = run(&["replay", &file]).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
    assert!(output.stdout.contains("\nmoves: 0\n"), "{output:?}");
    let output = run(&["replay", "--json", &file]).await;
    let measures: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(measures["moves"], 0);
}

#[rstest]
#[tokio::test]
async fn recorded_traces_replay(#[values("losses", "departure")] name: &str) {
    let trace = example(&format!("../testdata/ownership/{name}.jsonl"));
    let output = run(&["replay", trace.to_str().unwrap()]).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
    assert!(output.stdout.contains("\nchurn: 1.00\n"), "{output:?}");
}

#[rstest]
#[case::bound("\"imbalance\":1.0", "\"imbalance\":-1.0", "line 2: ")]
#[case::line("{\"bounds\"", "{\"bonds\"", "line 2: ")]
#[tokio::test]
async fn failing_trace_is_refused(#[case] from: &str, #[case] to: &str, #[case] part: &str) {
    let platform = Platform::start().await;
    let file = platform.file("trace.jsonl", &TRACE.replace(from, to));
    let output = run(&["replay", &file]).await;
    assert_eq!(output.exit, Exit::Refused, "{output:?}");
    assert!(
        output.stderr.starts_with(&format!("{file}: {part}")),
        "{output:?}"
    );
}

#[rstest]
#[case::nothing(&[], "Usage")]
#[case::unknown(&["bundel"], "bundle")]
#[case::no_file(&["bundle", "check"], "<FILE>")]
#[case::address(&["bundle", "status", "--table", "table:1", "--objects", "127.0.0.1:1"], "--table `table:1` is not allowed")]
#[case::approver(&["bundle", "approve", "f", "--key-file", "k", "--approver", "A", "--table", "127.0.0.1:1", "--objects", "127.0.0.1:1"], "--approver `A`")]
#[case::shell(&["completions", "dos"], "bash")]
#[tokio::test]
async fn invalid_arguments_exit_as_usage_errors(#[case] words: &[&str], #[case] part: &str) {
    let output = run(words).await;
    assert_eq!(output.exit, Exit::Usage, "{output:?}");
    assert!(output.stderr.contains(part), "{output:?}");
}

#[rstest]
#[case::settings(&["settings", "check"])]
#[case::check(&["bundle", "check"])]
#[case::diff(&["bundle", "diff"])]
#[case::keygen(&["bundle", "keygen"])]
#[case::approve(&["bundle", "approve"])]
#[case::roll(&["bundle", "roll"])]
#[case::bundle_status(&["bundle", "status"])]
#[case::status(&["status"])]
#[case::replay(&["replay"])]
#[case::completions(&["completions"])]
#[case::man(&["man"])]
#[tokio::test]
async fn long_help_has_an_example(#[case] words: &[&str]) {
    let long = run(&[words, &["--help"]].concat()).await;
    let short = run(&[words, &["-h"]].concat()).await;
    assert_eq!((long.exit, short.exit), (Exit::Done, Exit::Done));
    assert!(long.stdout.contains("Example:\n"), "{}", long.stdout);
    assert!(!short.stdout.contains("Example:"), "{}", short.stdout);
}

#[rstest]
#[case(&["completions", "bash"], "_eelgrassrock")]
#[case(&["man"], ".TH eelgrassrock 1")]
#[tokio::test]
async fn completions_and_manual_are_printed(#[case] words: &[&str], #[case] part: &str) {
    let output = run(words).await;
    assert!(
        output.exit == Exit::Done && output.stdout.contains(part),
        "{output:?}"
    );
}

#[rstest]
#[case(&["bundle", "check", "/nonexistent.ini"], 1)]
#[case(&["bundle", "check"], 2)]
#[case(&["--version"], 0)]
fn process_exits_with_the_code_of_the_result(#[case] words: &[&str], #[case] code: i32) {
    let program = env!("CARGO_BIN_EXE_eelgrassrock");
    let output = std::process::Command::new(program)
        .args(words)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(code));
}
