//! Property: a counter in the table matches the outcomes that its writers got, also if writes are
//! lost and answers are lost, cut or garbled.

mod support;

use eelgrassrock_model::Version;
use eelgrassrock_model::table::{Check, Operation, Outcome, Transaction, Write};
use eelgrassrock_standin::Addresses;
use eelgrassrock_standin::table::{Faults, Server};
use eelgrassrock_store::table::{Client, Resolution};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::settings;

const KEY: &str = "counter";
const CASES: u32 = 64;

/// Number of increments of one writer, by outcome.
#[derive(Default)]
struct Tally {
    committed: u64,
    /// Increments that may or may not have taken effect.
    unknown: u64,
}

#[derive(Clone, Copy, Debug)]
enum Injection {
    None,
    LoseWrite,
    LoseAnswer,
    CutAnswer,
    Garble,
}

fn injection() -> impl Strategy<Value = Injection> {
    prop_oneof![
        2 => Just(Injection::None),
        1 => Just(Injection::LoseWrite),
        1 => Just(Injection::LoseAnswer),
        1 => Just(Injection::CutAnswer),
        1 => Just(Injection::Garble),
    ]
}

fn faults(injection: Injection) -> Faults {
    let mut faults = Faults::default();
    match injection {
        Injection::None => {}
        Injection::LoseWrite => faults.lose_writes = 1,
        Injection::LoseAnswer => faults.lose_answers = 1,
        Injection::CutAnswer => faults.cut_answers = 1,
        Injection::Garble => faults.garble_answers = 1,
    }
    faults
}

/// Reads the counter and its version, and retries until an answer arrives.
async fn read(client: &Client) -> (u64, Version) {
    loop {
        match client.read(KEY).await {
            Ok(Some(row)) => return (row.value.parse().unwrap(), row.version),
            Ok(None) => return (0, Version(0)),
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

/// Increments the counter by one transaction, without a retry.
async fn increment(client: &Client, operation: String, tally: &mut Tally) {
    let (value, version) = read(client).await;
    let transaction = Transaction {
        operation: Operation(operation.into()),
        checks: vec![Check {
            key: KEY.into(),
            version,
        }],
        writes: vec![Write {
            key: KEY.into(),
            value: Some((value + 1).to_string().into()),
        }],
    };
    match client.write(&transaction).await {
        Outcome::Committed(_) => tally.committed += 1,
        Outcome::Conflict { .. } | Outcome::NotWritten { .. } => {}
        Outcome::Unknown => resolve(client, &transaction, tally).await,
    }
}

async fn resolve(client: &Client, transaction: &Transaction, tally: &mut Tally) {
    let resolution = loop {
        if let Ok(resolution) = client.resolve(transaction).await {
            break resolution;
        }
    };
    match resolution {
        Resolution::Committed(_) => tally.committed += 1,
        Resolution::Pending | Resolution::Superseded(_) => tally.unknown += 1,
    }
}

async fn write(client: &Client, writer: usize, increments: usize) -> Tally {
    let mut tally = Tally::default();
    for index in 0..increments {
        increment(client, format!("writer-{writer}/{index}"), &mut tally).await;
    }
    tally
}

async fn check(injections: Vec<Vec<Injection>>) -> Result<(), TestCaseError> {
    let server = Server::start(Addresses::free()).await.unwrap();
    let client = Client::new(server.address(), settings());
    let mut total = Tally::default();
    for (round, injections) in injections.iter().enumerate() {
        for &injection in injections {
            server.set_faults(faults(injection));
            // Both writers write the same row, and either may meet the injected fault.
            let (one, two) = tokio::join!(
                write(&client, 2 * round, 2),
                write(&client, 2 * round + 1, 2)
            );
            total.committed += one.committed + two.committed;
            total.unknown += one.unknown + two.unknown;
        }
    }
    server.set_faults(Faults::default());
    let (value, _) = read(&client).await;
    let range = total.committed..=total.committed + total.unknown;
    prop_assert!(range.contains(&value), "{value} isn't in {range:?}");
    Ok(())
}

#[test]
fn a_counter_matches_the_outcomes_of_its_writers() {
    let config = Config::with_cases(CASES);
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let schedules = prop::collection::vec(prop::collection::vec(injection(), 1..4), 1..6);
    let result = runner.run(&schedules, |injections| runtime.block_on(check(injections)));
    result.unwrap_or_else(|error| panic!("{error}"));
}
