//! Processes that are lost or paused, and an outage of the store: every key is
//! served again, and no two upstreams ever own one shard.

mod process;
mod support;

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_standin::fault::Outage;
use eelgrassrock_standin::table::Faults;
use http::StatusCode;
use process::{Fleet, Plan, Signal, until};
use rstest::rstest;
use support::Answer;
use tokio::task::JoinSet;

const PLAN: Plan = Plan {
    daemons: 3,
    upstreams: 3,
    checks_orders: true,
    authority_ms: 2_000,
};

const LEASES: u32 = 20;

/// Returns a daemon other than one.
fn another(daemon: usize) -> usize {
    (daemon + 1) % PLAN.daemons
}

/// Waits until a daemon other than `home` is home of an upstream.
async fn until_home_moved(fleet: &Fleet, upstream: usize, home: usize) {
    let what = format!("router-{home} isn't home any more");
    until(&what, async || {
        let now = fleet.home(another(home), upstream).await?;
        (now != home).then_some(())
    })
    .await;
}

#[rstest]
#[case::upstreams_check_orders(true)]
#[case::upstreams_take_any_order(false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_home_is_replaced(#[case] checks_orders: bool) {
    let fleet = Fleet::start(Plan {
        checks_orders,
        ..PLAN
    })
    .await;
    let home = fleet.home(0, 0).await.expect("an upstream has a home");
    fleet.daemons[home].signal(Signal::Kill);
    until_home_moved(&fleet, 0, home).await;
    for daemon in (0..PLAN.daemons).filter(|daemon| *daemon != home) {
        fleet.until_served(daemon).await;
    }
    fleet.assert_sole_ownership().await;
}

#[rstest]
#[case::upstreams_check_orders(true)]
#[case::upstreams_take_any_order(false)]
#[tokio::test(flavor = "multi_thread")]
async fn the_keys_of_a_killed_upstream_are_served_by_others(#[case] checks_orders: bool) {
    let mut fleet = Fleet::start(Plan {
        checks_orders,
        ..PLAN
    })
    .await;
    let lost = fleet.upstreams.remove(0);
    lost.process.signal(Signal::Kill);
    for daemon in 0..PLAN.daemons {
        let span = fleet.until_served(daemon).await;
        println!(
            "router-{daemon} serves all keys after {} ms",
            span.as_millis()
        );
    }
    fleet.assert_sole_ownership().await;
}

/// The home sleeps past its leases, and wakes up when another is home.
#[rstest]
#[case::upstreams_check_orders(true)]
#[case::upstreams_take_any_order(false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_home_that_was_paused_takes_nothing_back(#[case] checks_orders: bool) {
    let fleet = Fleet::start(Plan {
        checks_orders,
        ..PLAN
    })
    .await;
    let home = fleet.home(0, 0).await.expect("an upstream has a home");
    fleet.daemons[home].signal(Signal::Stop);
    until_home_moved(&fleet, 0, home).await;
    for daemon in (0..PLAN.daemons).filter(|daemon| *daemon != home) {
        fleet.until_served(daemon).await;
    }
    fleet.daemons[home].signal(Signal::Continue);
    fleet.until_served(home).await;
    let seen = fleet.home(home, 0).await;
    assert_eq!(seen, fleet.home(another(home), 0).await);
    fleet.assert_sole_ownership().await;
}

/// The upstream sleeps past its lease, and wakes up when others own its keys.
#[rstest]
#[case::upstreams_check_orders(true)]
#[case::upstreams_take_any_order(false)]
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_was_paused_owns_nothing_of_before(#[case] checks_orders: bool) {
    let fleet = Fleet::start(Plan {
        checks_orders,
        ..PLAN
    })
    .await;
    let paused = &fleet.upstreams[0];
    let before = paused.state().await.expect("it answers");
    assert!(!before.shards.is_empty());
    paused.process.signal(Signal::Stop);
    for daemon in 0..PLAN.daemons {
        fleet.until_served(daemon).await;
    }
    paused.process.signal(Signal::Continue);
    let after = until("the upstream answers", async || paused.state().await).await;
    let again: Vec<_> = after
        .shards
        .iter()
        .filter(|grant| before.shards.contains(grant))
        .collect();
    assert!(again.is_empty(), "still owned: {again:?}");
    for daemon in 0..PLAN.daemons {
        fleet.until_served(daemon).await;
    }
    fleet.assert_sole_ownership().await;
}

#[rstest]
#[case::refuses(Outage::Refuse)]
#[case::hangs(Outage::Hang)]
#[case::closes(Outage::Close)]
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_store_changes_nothing(#[case] outage: Outage) {
    let fleet = Fleet::start(Plan {
        authority_ms: 60_000,
        ..PLAN
    })
    .await;
    let mut before = Vec::new();
    for upstream in &fleet.upstreams {
        before.push(upstream.state().await.expect("it answers"));
    }
    fleet.table.set_faults(Faults {
        outage,
        ..Faults::default()
    });
    let span = Duration::from_millis(600) * LEASES;
    for (upstream, before) in fleet.upstreams.iter().zip(&before) {
        let end_ms = before.valid_until_ms + u64::try_from(span.as_millis()).unwrap();
        let what = format!("{} holds its grants over {LEASES} leases", upstream.name);
        until(&what, async || {
            let answer = fleet.read(0, "/sheets/key-1").await?;
            assert_eq!(answer.status, StatusCode::OK);
            let state = upstream.state().await?;
            assert_eq!(state.shards, before.shards);
            (state.valid_until_ms > end_ms).then_some(())
        })
        .await;
    }
    for daemon in 0..PLAN.daemons {
        fleet.until_served(daemon).await;
    }
    fleet.assert_sole_ownership().await;
}

/// Reads a key until an upstream answers, and returns the refusals until then.
async fn read_until_served(fleet: &Fleet, daemon: usize, path: &str) -> Vec<Answer> {
    let mut refusals = Vec::new();
    loop {
        let answer = fleet.read(daemon, path).await.expect("the router answers");
        if answer.status == StatusCode::OK {
            return refusals;
        }
        refusals.push(answer);
        tokio::time::sleep(process::POLL).await;
    }
}

/// Reads wait for a slot of an upstream that is paused. When its keys have a new
/// owner they must go there, and not wait for a slot until their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn what_waits_for_a_paused_upstream_goes_to_the_next_owner() {
    let mut fleet = Fleet::start(PLAN).await;
    // Its tenures can't be read until it goes on.
    let paused = fleet.upstreams.remove(0);
    paused.process.signal(Signal::Stop);
    let fleet = Arc::new(fleet);
    let mut readers = JoinSet::new();
    for key in 0..process::KEYS {
        let fleet = fleet.clone();
        readers.spawn(async move {
            let path = format!("/sheets/key-{key}");
            read_until_served(&fleet, key % PLAN.daemons, &path).await
        });
    }
    while let Some(refusals) = readers.join_next().await {
        for refusal in refusals.unwrap() {
            let detail = refusal.json()["detail"].clone();
            let expired = detail
                .as_str()
                .is_some_and(|text| text.contains("no slot became free"));
            assert!(!expired, "a read waited until its deadline: {refusal:?}");
        }
    }
    fleet.assert_sole_ownership().await;
}
