//! Tests the client of the table against the stand-in, with and without injected faults.

mod support;

use std::time::Duration;

use eelgrassrock_model::Version;
use eelgrassrock_model::table::{Check, Operation, Outcome, Row, Transaction, Write};
use eelgrassrock_standin::Addresses;
use eelgrassrock_standin::fault::Outage;
use eelgrassrock_standin::table::{Faults, Server};
use eelgrassrock_store::table::{Client, Resolution};
use eelgrassrock_store::{Fault, Kind};
use rstest::rstest;
use serde_json::json;
use support::{ClosedPort, answering, settings};

async fn start() -> (Server, Client) {
    let server = Server::start(Addresses::free()).await.unwrap();
    let client = Client::new(server.address(), settings());
    (server, client)
}

/// Returns a transaction that writes a row if it has the given version.
fn put(operation: &str, key: &str, version: u64, value: &str) -> Transaction {
    Transaction {
        operation: Operation(operation.into()),
        checks: vec![Check {
            key: key.into(),
            version: Version(version),
        }],
        writes: vec![Write {
            key: key.into(),
            value: Some(value.into()),
        }],
    }
}

fn row(key: &str, version: u64, operation: &str, value: &str) -> Row {
    Row {
        key: key.into(),
        version: Version(version),
        operation: Operation(operation.into()),
        value: value.into(),
    }
}

fn kind<T>(result: Result<T, Fault>) -> Kind {
    result.err().expect("the call fails").kind
}

#[tokio::test]
async fn writes_reads_and_reports_conflicts() {
    let (_server, client) = start().await;
    let created = client.write(&put("op-1", "home/a", 0, "one")).await;
    let first = Check {
        key: "home/a".into(),
        version: Version(1),
    };
    assert_eq!(created, Outcome::Committed(vec![first]));
    let present = row("home/a", 1, "op-1", "one");
    assert_eq!(client.read("home/a").await, Ok(Some(present.clone())));
    assert_eq!(client.read("home/b").await, Ok(None));

    let conflict = client.write(&put("op-2", "home/a", 0, "two")).await;
    let expected = Outcome::Conflict {
        key: "home/a".into(),
        row: Some(present),
    };
    assert_eq!(conflict, expected);
}

#[tokio::test]
async fn versions_grow_across_deletion() {
    let (_server, client) = start().await;
    client.write(&put("op-1", "home/a", 0, "one")).await;
    let mut deletion = put("op-2", "home/a", 1, "");
    deletion.writes[0].value = None;
    let deleted = Check {
        key: "home/a".into(),
        version: Version(0),
    };
    assert_eq!(
        client.write(&deletion).await,
        Outcome::Committed(vec![deleted])
    );
    assert_eq!(client.read("home/a").await, Ok(None));
    client.write(&put("op-3", "home/a", 0, "two")).await;
    let version = client.read("home/a").await.unwrap().unwrap().version;
    assert!(version > Version(1), "{version} isn't later");
}

#[tokio::test]
async fn scan_follows_all_pages_and_stays_within_the_prefix() {
    const ROWS: usize = 450;
    let (_server, client) = start().await;
    for index in 0..ROWS {
        let key = format!("home/{index:04}");
        client.write(&put("op", &key, 0, "x")).await;
    }
    client.write(&put("op", "homes/1", 0, "x")).await;
    let rows = client.scan("home/").await.unwrap();
    assert_eq!(rows.len(), ROWS);
    assert!(rows.is_sorted_by(|a, b| a.key < b.key));
}

#[tokio::test]
async fn an_incomplete_scan_is_an_error() {
    let (server, client) = start().await;
    for index in 0..300 {
        client
            .write(&put("op", &format!("home/{index:04}"), 0, "x"))
            .await;
    }
    server.set_faults(Faults {
        reads_per_second: Some(1),
        ..Faults::default()
    });
    let retry_after = Duration::from_secs(1);
    assert_eq!(kind(client.scan("home/").await), Kind::Busy { retry_after });
}

#[rstest]
#[case::answer_lost(Faults { lose_answers: 1, ..Faults::default() })]
#[case::answer_cut(Faults { cut_answers: 1, ..Faults::default() })]
#[case::answer_garbled(Faults { garble_answers: 1, ..Faults::default() })]
#[tokio::test]
async fn a_write_with_a_lost_answer_is_resolved_by_its_operation(#[case] faults: Faults) {
    let (server, client) = start().await;
    server.set_faults(faults);
    let transaction = put("op-1", "home/a", 0, "one");
    assert_eq!(client.write(&transaction).await, Outcome::Unknown);
    let committed = Resolution::Committed(row("home/a", 1, "op-1", "one"));
    assert_eq!(client.resolve(&transaction).await, Ok(committed));
}

#[tokio::test]
async fn a_lost_write_is_pending_until_superseded() {
    let (server, client) = start().await;
    server.set_faults(Faults {
        lose_writes: 1,
        ..Faults::default()
    });
    let transaction = put("op-1", "home/a", 0, "one");
    assert_eq!(client.write(&transaction).await, Outcome::Unknown);
    assert_eq!(client.resolve(&transaction).await, Ok(Resolution::Pending));

    client.write(&put("op-2", "home/a", 0, "two")).await;
    let other = Some(row("home/a", 1, "op-2", "two"));
    assert_eq!(
        client.resolve(&transaction).await,
        Ok(Resolution::Superseded(other))
    );
}

#[rstest]
#[case::refuses(Outage::Refuse, Outcome::NotWritten { retry_after: Duration::from_secs(1) })]
#[case::hangs(Outage::Hang, Outcome::Unknown)]
#[case::closes(Outage::Close, Outcome::Unknown)]
#[tokio::test]
async fn an_outage_is_not_reported_as_an_answer(#[case] outage: Outage, #[case] outcome: Outcome) {
    let (server, client) = start().await;
    client.write(&put("op-1", "home/a", 0, "one")).await;
    server.set_faults(Faults {
        outage,
        ..Faults::default()
    });
    assert_eq!(
        client.write(&put("op-2", "home/a", 1, "two")).await,
        outcome
    );
    assert!(client.read("home/a").await.is_err());
    assert!(client.read("home/absent").await.is_err());
    assert!(client.scan("home/").await.is_err());

    server.set_faults(Faults::default());
    let value = client.read("home/a").await.unwrap().unwrap().value;
    assert_eq!(&*value, "one");
}

#[tokio::test]
async fn a_refused_connection_means_not_written() {
    let port = ClosedPort::bind();
    let client = Client::new(port.address(), settings());
    let outcome = client.write(&put("op-1", "home/a", 0, "one")).await;
    assert!(matches!(outcome, Outcome::NotWritten { .. }), "{outcome:?}");
    let kind = kind(client.read("home/a").await);
    assert!(matches!(kind, Kind::Unreachable(_)), "{kind}");
}

#[tokio::test]
async fn a_write_over_the_rate_limit_is_not_written() {
    let (server, client) = start().await;
    server.set_faults(Faults {
        writes_per_second: Some(1),
        ..Faults::default()
    });
    client.write(&put("op-1", "home/a", 0, "one")).await;
    let refused = client.write(&put("op-2", "home/a", 1, "two")).await;
    let retry_after = Duration::from_secs(1);
    assert_eq!(refused, Outcome::NotWritten { retry_after });
    assert_eq!(server.calls().writes, 1);
}

/// The answer to a dropped call may still arrive on its connection. If a later call reused the
/// connection, it would read that answer.
#[tokio::test]
async fn the_connection_of_a_dropped_call_is_not_used_again() {
    let (server, client) = start().await;
    for key in ["home/a", "home/b"] {
        client.write(&put(key, key, 0, key)).await;
    }
    for _ in 0..20 {
        server.set_faults(Faults {
            slow_ms: 100,
            ..Faults::default()
        });
        let dropped = tokio::time::timeout(Duration::from_millis(10), client.read("home/a"));
        assert!(dropped.await.is_err());
        server.set_faults(Faults::default());
        let row = client.read("home/b").await.unwrap().unwrap();
        assert_eq!(&*row.key, "home/b");
    }
}

/// A restart of the table closes the idle connection. The next write detects this before it sends
/// anything and connects again, so its outcome isn't unknown.
#[tokio::test]
async fn a_write_succeeds_after_a_restart_of_the_table() {
    let (server, client) = start().await;
    client.write(&put("op-1", "home/a", 0, "one")).await;
    let address = server.address();
    drop(server);
    let outcome = loop {
        let addresses = Addresses {
            listen: address,
            ..Addresses::free()
        };
        // The start fails until the earlier server has released the port.
        if let Ok(_server) = Server::start(addresses).await {
            break client.write(&put("op-2", "home/a", 0, "two")).await;
        }
        tokio::task::yield_now().await;
    };
    assert!(matches!(outcome, Outcome::Committed(_)), "{outcome:?}");
}

fn a_row(key: &str, version: u64) -> serde_json::Value {
    json!({ "key": key, "version": version, "operation": "op", "value": "x" })
}

#[rstest]
#[case::not_json("{\"key\":".to_owned())]
#[case::no_version(json!({ "key": "home/a", "operation": "op", "value": "x" }).to_string())]
#[case::version_zero(a_row("home/a", 0).to_string())]
#[case::negative_version(a_row("home/a", 1).to_string().replace('1', "-1"))]
#[case::other_key(a_row("home/b", 1).to_string())]
#[tokio::test]
async fn an_invalid_row_is_malformed(#[case] body: String) {
    let client = Client::new(answering("200 OK", body).await, settings());
    let kind = kind(client.read("home/a").await);
    assert!(matches!(kind, Kind::Malformed(_)), "{kind}");
}

#[rstest]
#[case::empty_but_more(json!({ "rows": [], "more": true }))]
#[case::no_more(json!({ "rows": [a_row("home/a", 1)] }))]
#[case::unsorted(json!({ "rows": [a_row("home/b", 1), a_row("home/a", 1)], "more": false }))]
#[case::twice(json!({ "rows": [a_row("home/a", 1), a_row("home/a", 2)], "more": false }))]
#[case::other_prefix(json!({ "rows": [a_row("claim/a", 1)], "more": false }))]
#[case::same_page_again(json!({ "rows": [a_row("home/a", 1)], "more": true }))]
#[tokio::test]
async fn an_invalid_page_is_malformed(#[case] page: serde_json::Value) {
    let client = Client::new(answering("200 OK", page.to_string()).await, settings());
    let kind = kind(client.scan("home/").await);
    assert!(matches!(kind, Kind::Malformed(_)), "{kind}");
}

#[rstest]
#[case::not_json("200 OK", json!("done"))]
#[case::version_missing("200 OK", json!({ "versions": {} }))]
#[case::version_zero("200 OK", json!({ "versions": { "home/a": 0 } }))]
#[case::conflict_without_row("409 Conflict", json!({ "key": "home/a" }))]
#[case::conflict_of_another_key("409 Conflict", json!({ "key": "home/b", "row": null }))]
#[case::conflict_at_the_checked_version("409 Conflict",
    json!({ "key": "home/a", "row": a_row("home/a", 7) }))]
#[case::server_error("500 Internal Server Error", json!({}))]
#[case::refused_without_retry_after("503 Service Unavailable", json!({}))]
#[tokio::test]
async fn an_invalid_answer_to_a_write_is_unknown(
    #[case] status: &'static str,
    #[case] body: serde_json::Value,
) {
    let client = Client::new(answering(status, body.to_string()).await, settings());
    let outcome = client.write(&put("op-1", "home/a", 7, "one")).await;
    assert_eq!(outcome, Outcome::Unknown);
}

#[tokio::test]
async fn an_answer_over_the_size_limit_is_refused() {
    let body = "x".repeat(100 << 10);
    let client = Client::new(answering("200 OK", body).await, settings());
    let limit = 64 << 10;
    assert_eq!(kind(client.read("home/a").await), Kind::Oversized { limit });
}
