//! Invalid rows are reported and not used.

mod simulation;

use std::time::Duration;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::{Epoch, Term, Version};
use eelgrassrock_ownership::row::{Entry, Home, decode_block, encode_block};
use eelgrassrock_ownership::{Decision, DecisionKind, Event, Reason, Route, Unavailability};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use simulation::{Config, Simulation, router, service, upstream};

#[rstest]
#[case::no_json("x", "can't be read")]
#[case::newer(r#"{"format":2,"runs":[]}"#, "format 2 is unknown")]
#[case::short(r#"{"format":1,"runs":[{"count":1,"epoch":0}]}"#, "add up")]
#[case::long(r#"{"format":1,"runs":[{"count":9,"epoch":0}]}"#, "add up")]
#[case::epoch(r#"{"format":1,"runs":[{"count":4,"owner":"a","epoch":0}]}"#, "epoch")]
#[case::prior(
    r#"{"format":1,"runs":[{"count":4,"owner":"a","epoch":2,"prior":"a","prior_term":1}]}"#,
    "equals"
)]
#[case::term(
    r#"{"format":1,"runs":[{"count":4,"owner":"a","epoch":2,"prior":"b"}]}"#,
    "term"
)]
fn invalid_block_is_refused(#[case] value: &str, #[case] reason: &str) {
    let fault = decode_block(value, 4).unwrap_err().to_string();
    assert!(fault.contains(reason), "{fault}");
}

#[rstest]
#[case::newer(r#"{"format":7}"#, "format 7 is unknown")]
#[case::term(
    r#"{"format":1,"router":"r","nonce":"","address":"1.1.1.1:1","term":0,"authority_ms":1,"lease_ms":1,"priors":[]}"#,
    "term"
)]
fn invalid_home_is_refused(#[case] value: &str, #[case] reason: &str) {
    let fault = Home::decode(value).unwrap_err().to_string();
    assert!(fault.contains(reason), "{fault}");
}

fn entry() -> impl Strategy<Value = Entry> {
    (0..4usize, 1..4u64, prop::option::of(1..4u64)).prop_map(|(owner, epoch, term)| Entry {
        owner: Some(upstream(owner)),
        epoch: Epoch(epoch),
        prior: term.map(|_| upstream(owner + 1)),
        prior_term: term.map(Term),
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn block_round_trips(entries in prop::collection::vec(entry(), 1..256)) {
        let value = encode_block(&entries);
        prop_assert_eq!(decode_block(&value, entries.len() as u32).unwrap(), entries);
    }

    #[test]
    fn decoding_any_value_does_not_panic(value in ".{0,80}", len in 0u32..300) {
        let _ = decode_block(&value, len);
        let _ = Home::decode(&value);
    }
}

/// Overwrites a row with invalid contents and sends it to all routers.
fn corrupt_row(sim: &mut Simulation, key: &str) {
    let mut row = sim.table.rows[key].clone();
    row.version = Version(row.version.0 + 1_000);
    row.value = r#"{"format":2}"#.into();
    sim.table.rows.insert(key.into(), row.clone());
    sim.send_all(&Event::Rows(vec![row]));
    sim.run_for(Duration::from_secs(3));
}

fn is_reported(decision: &Decision, corrupted: &str) -> bool {
    let named = matches!(&decision.what, DecisionKind::BadRow { key, .. } if key == corrupted);
    named && decision.reason == Reason::Invalid
}

#[rstest]
#[case::block("shards/lookup/0", 64)]
#[case::home("home/u0", 22)]
fn corrupted_row_is_reported_and_no_longer_used(#[case] key: &str, #[case] lost: usize) {
    let mut sim = Simulation::serving(Config::default());
    corrupt_row(&mut sim, key);
    assert_eq!(sim.unserved().len(), lost);
    let route = sim.nodes[&router(0)].machine.route(&service(), Shard(0));
    let absent = [Unavailability::Unknown, Unavailability::NoHome].map(Route::Unavailable);
    assert!(absent.contains(&route), "{route:?}");
    for node in sim.nodes.values() {
        let reports = node.decisions.iter().filter(|(_, it)| is_reported(it, key));
        assert_eq!(reports.count(), 1);
    }
    assert!(sim.table.rows[key].version.0 > 1_000);
}
