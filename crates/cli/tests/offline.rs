//! Commands that need no platform: checks, keys, help, shells.

mod support;

use std::os::unix::fs::PermissionsExt;

use eelgrassrock_cli::answer::Exit;
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
async fn example_bundles_pass(#[case] name: &str, #[case] line: &str) {
    let path = example(&format!("{name}/bundle.ini"));
    let answer = run(&["bundle", "check", path.to_str().unwrap()]).await;
    assert_eq!(answer.exit, Exit::Done, "{answer:?}");
    assert!(answer.out.lines().any(|found| found == line), "{answer:?}");
}

#[tokio::test]
async fn faults_of_a_bundle_are_listed() {
    let platform = Platform::start().await;
    let file = platform.file("b.ini", &bundle(1).replace("slots = 2", "slots = 0"));
    let answer = run(&["bundle", "check", &file]).await;
    assert_eq!(answer.exit, Exit::Refused);
    assert_eq!(answer.err.lines().count(), 25);
    assert!(answer.err.starts_with(&format!("{file}:")), "{answer:?}");
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
async fn diff_marks_what_no_roll_may_change(
    #[case] from: &str,
    #[case] to: &str,
    #[case] exit: Exit,
    #[case] line: &str,
) {
    let platform = Platform::start().await;
    let old = platform.file("old.ini", &bundle(1));
    let new = platform.file("new.ini", &bundle(2).replacen(from, to, 1));
    let answer = run(&["bundle", "diff", &old, &new]).await;
    assert_eq!(answer.exit, exit);
    assert!(answer.out.starts_with(line), "{answer:?}");
}

#[tokio::test]
async fn key_is_private_and_never_overwritten() {
    let platform = Platform::start().await;
    let path = platform.path("new.key");
    let words = ["bundle", "keygen", "--key-file", path.to_str().unwrap()];
    let answer = run(&words).await;
    assert_eq!(answer.exit, Exit::Done);
    let private = std::fs::read_to_string(&path).unwrap();
    assert!(!answer.out.contains(private.trim()));
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
    let answer = run(&["settings", "check", &good]).await;
    assert_eq!(answer.exit, Exit::Done, "{answer:?}");
    assert!(answer.out.contains("authority = 4 h"));
    assert!(!answer.out.contains("a-very-secret"));
    let bad = platform.file("r.ini", &text.replace("500 ms", "500"));
    let answer = run(&["settings", "check", &bad]).await;
    assert_eq!(answer.exit, Exit::Refused);
    assert!(answer.err.contains("[ownership] lease `500`"), "{answer:?}");
}

const TRACE: &str = r#"{"start":{"router":"r0","address":"10.0.0.1:1","data_centre":"z0","nonce":"1","lease_ms":500,"heartbeat_ms":100,"drift_ppm":1000,"authority_ms":60000,"seed":0}}
{"bounds":{"least_moves":0,"imbalance":1.0,"churn":1.0,"worst_unavailable_ms":0}}
"#;

#[tokio::test]
async fn replay_prints_measures() {
    let platform = Platform::start().await;
    let file = platform.file("trace.jsonl", TRACE);
    let answer = run(&["replay", &file]).await;
    assert_eq!(answer.exit, Exit::Done, "{answer:?}");
    assert!(answer.out.contains("\nmoves: 0\n"), "{answer:?}");
    let answer = run(&["replay", "--json", &file]).await;
    let measures: serde_json::Value = serde_json::from_str(&answer.out).unwrap();
    assert_eq!(measures["moves"], 0);
}

#[rstest]
#[case::bound("\"imbalance\":1.0", "\"imbalance\":-1.0", "line 2: ")]
#[case::line("{\"bounds\"", "{\"bonds\"", "line 2: ")]
#[tokio::test]
async fn trace_that_fails_is_refused(#[case] from: &str, #[case] to: &str, #[case] part: &str) {
    let platform = Platform::start().await;
    let file = platform.file("trace.jsonl", &TRACE.replace(from, to));
    let answer = run(&["replay", &file]).await;
    assert_eq!(answer.exit, Exit::Refused, "{answer:?}");
    assert!(
        answer.err.starts_with(&format!("{file}: {part}")),
        "{answer:?}"
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
async fn wrong_arguments_end_as_usage(#[case] words: &[&str], #[case] part: &str) {
    let answer = run(words).await;
    assert_eq!(answer.exit, Exit::Usage, "{answer:?}");
    assert!(answer.err.contains(part), "{answer:?}");
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
    assert!(long.out.contains("Example:\n"), "{}", long.out);
    assert!(!short.out.contains("Example:"), "{}", short.out);
}

#[rstest]
#[case(&["completions", "bash"], "_eelgrassrock")]
#[case(&["man"], ".TH eelgrassrock 1")]
#[tokio::test]
async fn shells_and_manual(#[case] words: &[&str], #[case] part: &str) {
    let answer = run(words).await;
    assert!(
        answer.exit == Exit::Done && answer.out.contains(part),
        "{answer:?}"
    );
}

#[rstest]
#[case(&["bundle", "check", "/nonexistent.ini"], 1)]
#[case(&["bundle", "check"], 2)]
#[case(&["--version"], 0)]
fn process_exits_with_the_code(#[case] words: &[&str], #[case] code: i32) {
    let program = env!("CARGO_BIN_EXE_eelgrassrock");
    let output = std::process::Command::new(program)
        .args(words)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(code));
}
