//! Approving and rolling bundles, also at once and with lost answers.

mod support;

use eelgrassrock_cli::answer::Exit;
use eelgrassrock_cli::args;
use eelgrassrock_cli::store::{Change, Store};
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
    assert!(again.exit == Exit::Done && again.out.contains("in force already"));
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
    let answer = platform.roll(&file).await;
    assert_eq!(answer.exit, Exit::Refused);
    let count = usize::from(!approvers.is_empty());
    assert!(
        answer
            .err
            .contains(&format!("{count} of 2 required approvals")),
        "{answer:?}"
    );
    assert_eq!(platform.in_force().await, serde_json::Value::Null);
}

#[rstest]
#[case::forged("keza", "imena", "the signature is not by the key")]
#[case::stranger("asta", "asta", "no such approver")]
#[tokio::test]
async fn approval_in_vain_is_refused_at_once(
    #[case] approver: &str,
    #[case] signer: &str,
    #[case] reason: &str,
) {
    let platform = Platform::start().await;
    let file = platform.file("v1.ini", &bundle(1));
    let answer = platform.approve_with(&file, approver, signer).await;
    assert_eq!(answer.exit, Exit::Refused);
    assert!(answer.err.contains(reason), "{answer:?}");
}

#[tokio::test]
async fn approval_does_not_cover_another_text() {
    let platform = Platform::start().await;
    let signed = platform.file("signed.ini", &bundle(1));
    platform.approve_by_two(&signed).await;
    let other = platform.file("other.ini", &bundle(1).replace("weight = 1", "weight = 9"));
    let answer = platform.roll(&other).await;
    assert_eq!(answer.exit, Exit::Refused);
    assert!(
        answer.err.contains("0 of 2 required approvals"),
        "{answer:?}"
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
    let answer = platform.roll(&file).await;
    assert_eq!(answer.exit, Exit::Refused);
    assert!(answer.err.contains("version 2 is next"), "{answer:?}");
    assert_eq!(
        answer.err.contains("deadline 30 s -> 31 s"),
        version == 1,
        "{answer:?}"
    );
    assert_eq!(platform.in_force().await["version"], 1);
}

#[tokio::test]
async fn change_that_routers_would_disagree_about_is_refused() {
    let platform = Platform::start().await;
    platform.roll_first().await;
    let file = platform.file(
        "v2.ini",
        &bundle(2).replacen("shards = 256", "shards = 512", 1),
    );
    let answer = platform.approve(&file, "imena").await;
    assert_eq!(answer.exit, Exit::Refused);
    assert!(
        answer.err.contains("service `lookup`: shards 256 -> 512"),
        "{answer:?}"
    );
    assert_eq!(platform.roll(&file).await.exit, Exit::Refused);
}

/// Two rolls of version 2, each approved. The table is slow, so that both read
/// before either writes.
async fn roll_at_once(platform: &Platform, faults: table::Faults) -> [Exit; 2] {
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
    for (answer, file) in [(&a, &files[0]), (&b, &files[1])] {
        let asked = platform.run(&["bundle", "status", file]).await;
        match answer.exit {
            Exit::Done => assert_eq!(asked.exit, Exit::Done, "{answer:?}"),
            Exit::Unknown => assert!(answer.err.contains("eelgrassrock bundle status")),
            _ => assert_eq!(asked.exit, Exit::Refused, "{answer:?}"),
        }
        if answer.exit == Exit::Refused {
            assert!(
                answer.err.contains("version 2 is in force")
                    || answer.err.contains("version 2 in force"),
                "{answer:?}"
            );
            assert!(answer.err.contains("deadline 3"), "{answer:?}");
        }
    }
    [a.exit, b.exit]
}

#[tokio::test]
async fn of_two_rolls_at_once_exactly_one_wins() {
    let platform = Platform::start().await;
    let slow = table::Faults {
        slow_ms: 50,
        ..table::Faults::default()
    };
    let mut exits = roll_at_once(&platform, slow).await;
    exits.sort_by_key(|exit| exit.code());
    assert_eq!(exits, [Exit::Done, Exit::Refused]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, ..ProptestConfig::default() })]

    /// Whatever is lost, at most one of two rolls is told that it took effect,
    /// none that didn't is told so, and none that did is told the contrary.
    #[test]
    fn two_rolls_at_once_with_losses(
        lose_answers in 0u32..4,
        lose_writes in 0u32..4,
        cut_answers in 0u32..2,
        slow_ms in 0u64..30,
    ) {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let faults = table::Faults { lose_answers, lose_writes, cut_answers, slow_ms, ..table::Faults::default() };
        let exits = runtime.block_on(async {
            let platform = Platform::start().await;
            roll_at_once(&platform, faults).await
        });
        prop_assert!(exits.iter().filter(|exit| **exit == Exit::Done).count() <= 1);
        prop_assert!(exits.iter().any(|exit| *exit != Exit::Refused));
    }
}

#[rstest]
#[case::answer(table::Faults { lose_answers: 1, ..table::Faults::default() })]
#[case::answers(table::Faults { lose_answers: 3, ..table::Faults::default() })]
#[case::write(table::Faults { lose_writes: 1, ..table::Faults::default() })]
#[case::garbled(table::Faults { garble_answers: 1, ..table::Faults::default() })]
#[tokio::test]
async fn lost_answer_is_read_back(#[case] faults: table::Faults) {
    let platform = Platform::start().await;
    let file = platform.file("v1.ini", &bundle(1));
    platform.approve_by_two(&file).await;
    platform.table.set_faults(faults);
    let answer = platform.roll(&file).await;
    assert_eq!(answer.exit, Exit::Done, "{answer:?}");
    assert_eq!(platform.in_force().await["version"], 1);
}

/// A row that was written around the command appoints no approvers.
#[tokio::test]
async fn bundle_that_was_not_approved_is_not_believed() {
    let platform = Platform::start().await;
    platform.roll_first().await;
    let store = Store::new(&args::Platform {
        table: platform.table.address(),
        objects: platform.objects.address(),
    });
    let forged = Bundle::parse("v2.ini", &bundle(2)).unwrap();
    let row = store.current().await.unwrap().row;
    store.put(&forged).await.unwrap();
    let record = Record::new(&forged, Vec::new());
    assert_eq!(store.roll(row, &record).await, Change::Done);
    let file = platform.file("v3.ini", &bundle(3));
    for words in [["bundle", "status", "--json"], ["bundle", "roll", &file]] {
        let answer = platform.run(&words).await;
        assert_eq!(answer.exit, Exit::Refused, "{answer:?}");
        assert!(
            answer
                .err
                .contains("version 2 came into force without the rule"),
            "{answer:?}"
        );
        assert!(
            answer.err.contains("0 of 2 required approvals"),
            "{answer:?}"
        );
    }
}

/// The answer of the write is lost and that of reading back is cut, so the
/// write is sent again and conflicts with itself.
#[tokio::test]
async fn conflict_with_the_own_write_is_no_loss() {
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
    assert_eq!(store.roll(Version(0), &record).await, Change::Done);
    assert_eq!(platform.table.calls().writes, 2);
    assert_eq!(store.roll(Version(0), &record).await, Change::Conflict);
}

/// The table takes each write and loses the answer, and its reads fail as well.
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
    let (answer, ()) = tokio::join!(rolled, outage);
    assert_eq!(answer.exit, Exit::Unknown, "{answer:?}");
    let command = format!(
        "eelgrassrock bundle status {file} --table {}",
        platform.table.address()
    );
    assert!(answer.err.contains(&command), "{answer:?}");
    platform.table.set_faults(table::Faults::default());
    let asked = platform.run(&["bundle", "status", &file]).await;
    assert_eq!(asked.exit, Exit::Done, "{asked:?}");
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
    let answer = platform.roll(&file).await;
    assert_eq!(answer.exit, Exit::Refused, "{answer:?}");
    assert!(
        answer.err.contains("version 1 was not rolled"),
        "{answer:?}"
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
async fn bundle_status_tells_of_a_file() {
    let platform = Platform::start().await;
    platform.roll_first().await;
    let next = platform.file("v2.ini", &bundle(2));
    let answer = platform.run(&["bundle", "status", &next]).await;
    assert!(answer.exit == Exit::Refused && answer.err.contains("has not been rolled"));
    let other = platform.file("o.ini", &bundle(1).replace("weight = 1", "weight = 9"));
    let answer = platform.run(&["bundle", "status", &other]).await;
    assert!(
        answer.exit == Exit::Refused && answer.err.contains("weight 1 -> 9"),
        "{answer:?}"
    );
    let text = platform.run(&["bundle", "status"]).await;
    assert!(text.out.contains("approved by imena, keza"), "{text:?}");
}
