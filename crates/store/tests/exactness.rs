//! Property: under lost writes, lost answers and cut answers, a counter in the
//! table agrees with what its writers were told.

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

/// What one writer knows of its steps.
#[derive(Default)]
struct Tally {
    done: u64,
    /// Steps that may or may not have been taken.
    unknown: u64,
}

#[derive(Clone, Copy, Debug)]
enum Damage {
    None,
    LoseWrite,
    LoseAnswer,
    CutAnswer,
    Garble,
}

fn damage() -> impl Strategy<Value = Damage> {
    prop_oneof![
        2 => Just(Damage::None),
        1 => Just(Damage::LoseWrite),
        1 => Just(Damage::LoseAnswer),
        1 => Just(Damage::CutAnswer),
        1 => Just(Damage::Garble),
    ]
}

fn faults(damage: Damage) -> Faults {
    let mut faults = Faults::default();
    match damage {
        Damage::None => {}
        Damage::LoseWrite => faults.lose_writes = 1,
        Damage::LoseAnswer => faults.lose_answers = 1,
        Damage::CutAnswer => faults.cut_answers = 1,
        Damage::Garble => faults.garble_answers = 1,
    }
    faults
}

/// Reads the counter and its version, whatever is lost on the way.
async fn read(client: &Client) -> (u64, Version) {
    loop {
        match client.read(KEY).await {
            Ok(Some(row)) => return (row.value.parse().unwrap(), row.version),
            Ok(None) => return (0, Version(0)),
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

/// Adds one, once.
async fn step(client: &Client, operation: String, tally: &mut Tally) {
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
        Outcome::Committed(_) => tally.done += 1,
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
        Resolution::Committed(_) => tally.done += 1,
        Resolution::Pending | Resolution::Superseded(_) => tally.unknown += 1,
    }
}

async fn write(client: &Client, writer: usize, steps: usize) -> Tally {
    let mut tally = Tally::default();
    for index in 0..steps {
        step(client, format!("writer-{writer}/{index}"), &mut tally).await;
    }
    tally
}

async fn check(damages: Vec<Vec<Damage>>) -> Result<(), TestCaseError> {
    let server = Server::start(Addresses::free()).await.unwrap();
    let client = Client::new(server.address(), settings());
    let mut total = Tally::default();
    for (round, damages) in damages.iter().enumerate() {
        for &damage in damages {
            server.set_faults(faults(damage));
            // The writers race for the row and for the fault.
            let (one, two) = tokio::join!(
                write(&client, 2 * round, 2),
                write(&client, 2 * round + 1, 2)
            );
            total.done += one.done + two.done;
            total.unknown += one.unknown + two.unknown;
        }
    }
    server.set_faults(Faults::default());
    let (value, _) = read(&client).await;
    let range = total.done..=total.done + total.unknown;
    prop_assert!(range.contains(&value), "{value} isn't in {range:?}");
    Ok(())
}

#[test]
fn a_counter_agrees_with_what_its_writers_were_told() {
    let config = Config::with_cases(CASES);
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let schedules = prop::collection::vec(prop::collection::vec(damage(), 1..4), 1..6);
    let result = runner.run(&schedules, |damages| runtime.block_on(check(damages)));
    result.unwrap_or_else(|error| panic!("{error}"));
}
