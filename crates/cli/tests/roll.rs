//! Approvals and rolls of bundles, also concurrently and with lost responses of the table.

mod support;

use eelgrassrock_cli::args;
use eelgrassrock_cli::output::Exit;
use eelgrassrock_cli::store::{Store, WriteResult};
use eelgrassrock_config::bundle::Bundle;
use eelgrassrock_config::roll::Record;
use eelgrassrock_model::Version;
use eelgrassrock_standin::fault::Outage;
use eelgrassrock_standin::{objects, table};
use proptest::prelude::*;
use rstest::rstest;
use support::{Platform, bundle};

#[tokio::test]
async fn approved_bundles_come_into_force_in_turn() {
    let platform = Platform::start().await;
    assert_eq!(platform.in_force().await, serde_json::Value::Null);
    platform.roll_first().await;
    let file = platform.file("v2.ini", &bundle(2));
    platform.approve_by_two(&file).await;
    assert_eq!(platform.roll(&file).await.exit, Exit::Done);
    let state = platform.in_force().await;
    assert_eq!(state["version"], 2);
    assert_eq!(state["approvers"], serde_json::json!(["imena", "keza"]));
    let again = platform.roll(&file).await;
    assert!(again.exit == Exit::Done && again.stdout.contains("in force already"));
}

#[rstest]
#[case::none(&[])]
#[case::one(&["imena"])]
#[case::one_twice(&["imena", "imena"])]
#[tokio::test]
async fn too_few_approvals_are_refused(#[case] approvers: &[&str]) {
    let platform = Platform::start().await;
    let file = platform.file("v1.ini", &bundle(1));
    for approver in approvers {
        assert_eq!(platform.approve(&file, approver).await.exit, Exit::Done);
    }
    let output = platform.roll(&file).await;
    assert_eq!(output.exit, Exit::Refused);
    let count = usize::from(!approvers.is_empty());
    assert!(
        output
            .stderr
            .contains(&format!("{count} of 2 required approvals")),
        "{output:?}"
    );
    assert_eq!(platform.in_force().await, serde_json::Value::Null);
}

#[rstest]
#[case::forged("keza", "imena", "the signature is not by the key")]
#[case::unknown_approver("asta", "asta", "no such approver")]
#[tokio::test]
async fn approval_that_would_not_count_is_refused(
    #[case] approver: &str,
    #[case] signer: &str,
    #[case] reason: &str,
) {
    let platform = Platform::start().await;
    let file = platform.file("v1.ini", &bundle(1));
    let output = platform.approve_with(&file, approver, signer).await;
    assert_eq!(output.exit, Exit::Refused);
    assert!(output.stderr.contains(reason), "{output:?}");
}

#[tokio::test]
async fn approval_does_not_cover_another_text() {
    let platform = Platform::start().await;
    let signed = platform.file("signed.ini", &bundle(1));
    platform.approve_by_two(&signed).await;
    let other = platform.file("other.ini", &bundle(1).replace("weight = 1", "weight = 9"));
    let output = platform.roll(&other).await;
    assert_eq!(output.exit, Exit::Refused);
    assert!(
        output.stderr.contains("0 of 2 required approvals"),
        "{output:?}"
    );
}

#[rstest]
#[case::lower(1)]
#[case::gap(4)]
#[tokio::test]
async fn version_that_does_not_follow_is_refused(#[case] version: u64) {
    let platform = Platform::start().await;
    platform.roll_first().await;
    let text = bundle(version).replace("deadline = 30 s", "deadline = 31 s");
    let file = platform.file("other.ini", &text);
    let output = platform.roll(&file).await;
    assert_eq!(output.exit, Exit::Refused);
    assert!(output.stderr.contains("version 2 is next"), "{output:?}");
    assert_eq!(
        output.stderr.contains("deadline 30 s -> 31 s"),
        version == 1,
        "{output:?}"
    );
    assert_eq!(platform.in_force().await["version"], 1);
}

#[tokio::test]
async fn change_of_shard_count_is_refused() {
    let platform = Platform::start().await;
    platform.roll_first().await;
    let file = platform.file(
        "v2.ini",
        &bundle(2).replacen("shards = 256", "shards = 512", 1),
    );
    let output = platform.approve(&file, "imena").await;
    assert_eq!(output.exit, Exit::Refused);
    assert!(
        output
            .stderr
            .contains("service `lookup`: shards 256 -> 512"),
        "{output:?}"
    );
    assert_eq!(platform.roll(&file).await.exit, Exit::Refused);
}

/// Runs two approved rolls of version 2 concurrently, with `faults` in the table, and
/// returns their exit statuses. Checks that `bundle status` agrees with each known result.
async fn roll_concurrently(platform: &Platform, faults: table::Faults) -> [Exit; 2] {
    platform.roll_first().await;
    let texts = ["31 s", "32 s"]
        .map(|deadline| bundle(2).replace("deadline = 30 s", &format!("deadline = {deadline}")));
    let files =
        [("a.ini", &texts[0]), ("b.ini", &texts[1])].map(|(name, text)| platform.file(name, text));
    for file in &files {
        platform.approve_by_two(file).await;
    }
    platform.table.set_faults(faults);
    let (a, b) = tokio::join!(platform.roll(&files[0]), platform.roll(&files[1]));
    platform.table.set_faults(table::Faults::default());
    let in_force = platform.in_force().await;
    assert_eq!(in_force["version"], 2);
    for (output, file) in [(&a, &files[0]), (&b, &files[1])] {
        let status = platform.run(&["bundle", "status", file]).await;
        match output.exit {
            Exit::Done => assert_eq!(status.exit, Exit::Done, "{output:?}"),
            Exit::Unknown => assert!(output.stderr.contains("eelgrassrock bundle status")),
            _ => assert_eq!(status.exit, Exit::Refused, "{output:?}"),
        }
        if output.exit == Exit::Refused {
            assert!(
                output.stderr.contains("version 2 is in force")
                    || output.stderr.contains("version 2 in force"),
                "{output:?}"
            );
            assert!(output.stderr.contains("deadline 3"), "{output:?}");
        }
    }
    [a.exit, b.exit]
}

#[tokio::test]
async fn exactly_one_of_two_concurrent_rolls_takes_effect() {
    let platform = Platform::start().await;
    // The slow table lets both rolls read before either of them writes.
    let slow = table::Faults {
        slow_ms: 50,
        ..table::Faults::default()
    };
    let mut exits = roll_concurrently(&platform, slow).await;
    exits.sort_by_key(|exit| exit.code());
    assert_eq!(exits, [Exit::Done, Exit::Refused]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, ..ProptestConfig::default() })]

    /// Guards against wrong results of concurrent rolls when the table loses requests or
    /// responses: at most one roll reports success, none reports success without having
    /// taken effect, and none reports refusal although it took effect.
    #[test]
    fn concurrent_rolls_with_lost_calls_report_their_results(
        lose_answers in 0u32..4,
        lose_writes in 0u32..4,
        cut_answers in 0u32..2,
        slow_ms in 0u64..30,
    ) {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let faults = table::Faults { lose_answers, lose_writes, cut_answers, slow_ms, ..table::Faults::default() };
        let exits = runtime.block_on(async {
            let platform = Platform::start().await;
            roll_concurrently(&platform, faults).await
        });
        prop_assert!(exits.iter().filter(|exit| **exit == Exit::Done).count() <= 1);
        prop_assert!(exits.iter().any(|exit| *exit != Exit::Refused));
    }
}

#[rstest]
#[case::lost_response(table::Faults { lose_answers: 1, ..table::Faults::default() })]
#[case::lost_responses(table::Faults { lose_answers: 3, ..table::Faults::default() })]
#[case::lost_write(table::Faults { lose_writes: 1, ..table::Faults::default() })]
#[case::garbled(table::Faults { garble_answers: 1, ..table::Faults::default() })]
#[tokio::test]
async fn lost_response_is_resolved_by_reading_back(#[case] faults: table::Faults) {
    let platform = Platform::start().await;
    let file = platform.file("v1.ini", &bundle(1));
    platform.approve_by_two(&file).await;
    platform.table.set_faults(faults);
    let output = platform.roll(&file).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
    assert_eq!(platform.in_force().await["version"], 1);
}

/// Guards against a row that was written to the table without the command: the bundle
/// that it names must not declare the approvers of the next one.
#[tokio::test]
async fn unapproved_bundle_in_the_table_is_refused() {
    let platform = Platform::start().await;
    platform.roll_first().await;
    let store = Store::new(&args::Platform {
        table: platform.table.address(),
        objects: platform.objects.address(),
    });
    let forged = Bundle::parse("v2.ini", &bundle(2)).unwrap();
    let row_version = store.current().await.unwrap().row_version;
    store.put(&forged).await.unwrap();
    let record = Record::new(&forged, Vec::new());
    assert_eq!(store.roll(row_version, &record).await, WriteResult::Done);
    let file = platform.file("v3.ini", &bundle(3));
    for words in [["bundle", "status", "--json"], ["bundle", "roll", &file]] {
        let output = platform.run(&words).await;
        assert_eq!(output.exit, Exit::Refused, "{output:?}");
        assert!(
            output
                .stderr
                .contains("version 2 came into force without passing the check"),
            "{output:?}"
        );
        assert!(
            output.stderr.contains("0 of 2 required approvals"),
            "{output:?}"
        );
    }
}

/// The response to the write is lost and the response to reading back is cut off. The
/// command then sends the write again, which conflicts with its own first attempt.
#[tokio::test]
async fn conflict_with_own_write_counts_as_done() {
    let platform = Platform::start().await;
    let store = Store::new(&args::Platform {
        table: platform.table.address(),
        objects: platform.objects.address(),
    });
    let record = Record::new(&Bundle::parse("v1.ini", &bundle(1)).unwrap(), Vec::new());
    platform.table.set_faults(table::Faults {
        lose_answers: 1,
        cut_answers: 2,
        ..table::Faults::default()
    });
    assert_eq!(store.roll(Version(0), &record).await, WriteResult::Done);
    assert_eq!(platform.table.calls().writes, 2);
    assert_eq!(store.roll(Version(0), &record).await, WriteResult::Conflict);
}

/// The table applies the write but loses the response, and its reads fail as well.
#[tokio::test]
async fn roll_that_cannot_be_read_back_is_unknown() {
    let platform = Platform::start().await;
    let file = platform.file("v1.ini", &bundle(1));
    platform.approve_by_two(&file).await;
    let writes = platform.table.calls().writes;
    let rolled = platform.roll(&file);
    let outage = async {
        platform.table.set_faults(table::Faults {
            lose_answers: 9,
            ..table::Faults::default()
        });
        while platform.table.calls().writes == writes {
            tokio::task::yield_now().await;
        }
        platform.table.set_faults(table::Faults {
            outage: Outage::Close,
            ..table::Faults::default()
        });
    };
    let (output, ()) = tokio::join!(rolled, outage);
    assert_eq!(output.exit, Exit::Unknown, "{output:?}");
    let command = format!(
        "eelgrassrock bundle status {file} --table {}",
        platform.table.address()
    );
    assert!(output.stderr.contains(&command), "{output:?}");
    platform.table.set_faults(table::Faults::default());
    let status = platform.run(&["bundle", "status", &file]).await;
    assert_eq!(status.exit, Exit::Done, "{status:?}");
}

#[rstest]
#[case::refuses(Outage::Refuse)]
#[case::closes(Outage::Close)]
#[tokio::test]
async fn roll_without_table_is_refused(#[case] outage: Outage) {
    let platform = Platform::start().await;
    let file = platform.file("v1.ini", &bundle(1));
    platform.approve_by_two(&file).await;
    platform.table.set_faults(table::Faults {
        outage,
        ..table::Faults::default()
    });
    let output = platform.roll(&file).await;
    assert_eq!(output.exit, Exit::Refused, "{output:?}");
    assert!(
        output.stderr.contains("version 1 was not rolled"),
        "{output:?}"
    );
}

#[tokio::test]
async fn roll_without_object_store_changes_nothing() {
    let platform = Platform::start().await;
    let file = platform.file("v1.ini", &bundle(1));
    platform.approve_by_two(&file).await;
    platform.objects.set_faults(objects::Faults {
        outage: Outage::Close,
        ..objects::Faults::default()
    });
    assert_eq!(platform.roll(&file).await.exit, Exit::Refused);
    platform.objects.set_faults(objects::Faults::default());
    assert_eq!(platform.in_force().await, serde_json::Value::Null);
}

#[tokio::test]
async fn bundle_status_reports_whether_a_file_was_rolled() {
    let platform = Platform::start().await;
    platform.roll_first().await;
    let next = platform.file("v2.ini", &bundle(2));
    let output = platform.run(&["bundle", "status", &next]).await;
    assert!(output.exit == Exit::Refused && output.stderr.contains("has not been rolled"));
    let other = platform.file("o.ini", &bundle(1).replace("weight = 1", "weight = 9"));
    let output = platform.run(&["bundle", "status", &other]).await;
    assert!(
        output.exit == Exit::Refused && output.stderr.contains("weight 1 -> 9"),
        "{output:?}"
    );
    let text = platform.run(&["bundle", "status"]).await;
    assert!(text.stdout.contains("approved by imena, keza"), "{text:?}");
}
