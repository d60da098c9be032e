//! Killed and paused processes, and table outages: every key is served again, and no two
//! upstreams ever own the same shard at the same time.

mod process;
mod support;

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_standin::fault::Outage;
use eelgrassrock_standin::table::Faults;
use eelgrassrock_standin::upstream;
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

/// Duration of the table outage, in leases.
const OUTAGE_LEASES: u32 = 20;

/// Returns the index of a daemon other than `daemon`.
fn other_daemon(daemon: usize) -> usize {
    (daemon + 1) % PLAN.daemons
}

/// Waits until a daemon other than `home` is the home of an upstream.
async fn until_home_moved(fleet: &Fleet, upstream: usize, home: usize) {
    let what = format!("router-{home} isn't home any more");
    until(&what, async || {
        let now = fleet.home(other_daemon(home), upstream).await?;
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
    fleet.assert_exclusive_ownership().await;
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
    fleet.assert_exclusive_ownership().await;
}

/// The home is paused until its leases have expired and another router is home. When it
/// resumes, it must not act on its expired leases.
#[rstest]
#[case::upstreams_check_orders(true)]
#[case::upstreams_take_any_order(false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_home_does_not_reclaim_its_upstreams(#[case] checks_orders: bool) {
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
    assert_eq!(seen, fleet.home(other_daemon(home), 0).await);
    fleet.assert_exclusive_ownership().await;
}

/// The upstream is paused until its lease has expired and others own its keys. When it
/// resumes, it must not consider its previous grants valid.
#[rstest]
#[case::upstreams_check_orders(true)]
#[case::upstreams_take_any_order(false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_upstream_owns_none_of_its_previous_shards(#[case] checks_orders: bool) {
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
    let reclaimed: Vec<_> = after
        .shards
        .iter()
        .filter(|grant| before.shards.contains(grant))
        .collect();
    assert!(reclaimed.is_empty(), "still owned: {reclaimed:?}");
    for daemon in 0..PLAN.daemons {
        fleet.until_served(daemon).await;
    }
    fleet.assert_exclusive_ownership().await;
}

#[rstest]
#[case::refuses(Outage::Refuse)]
#[case::hangs(Outage::Hang)]
#[case::closes(Outage::Close)]
#[tokio::test(flavor = "multi_thread")]
async fn grants_are_renewed_during_a_table_outage(#[case] outage: Outage) {
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
    let span = Duration::from_millis(600) * OUTAGE_LEASES;
    for (upstream, before) in fleet.upstreams.iter().zip(&before) {
        let end_ms = before.valid_until_ms + u64::try_from(span.as_millis()).unwrap();
        let what = format!(
            "{} holds its grants over {OUTAGE_LEASES} leases",
            upstream.name
        );
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
    fleet.assert_exclusive_ownership().await;
}

/// Reads a key until an upstream answers, and returns the refusals before that.
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

/// Reads are queued for a slot of a paused upstream. When its keys move to a new owner, the
/// reads must be redirected there. Otherwise they would wait until their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn requests_queued_for_a_paused_upstream_go_to_the_next_owner() {
    let mut fleet = Fleet::start(PLAN).await;
    // Its tenures can't be read while it is paused, so it is removed from the fleet.
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
    fleet.assert_exclusive_ownership().await;
}

/// Each order to the leaving upstream takes 100 ms. If the next owners didn't wait for its
/// release, they would own the keys while it still does.
#[rstest]
#[case::upstreams_check_orders(true)]
#[case::upstreams_take_any_order(false)]
#[tokio::test(flavor = "multi_thread")]
async fn the_keys_of_a_leaving_upstream_are_served_while_they_move(#[case] checks_orders: bool) {
    let fleet = Fleet::start(Plan {
        checks_orders,
        ..PLAN
    })
    .await;
    let leaving = &fleet.upstreams[0];
    let faults = upstream::Faults {
        leaving: true,
        order_ms: 100,
        ..upstream::Faults::default()
    };
    leaving.set_faults(&faults).await;
    let mut key = 0;
    until("the leaving upstream owns nothing", async || {
        key = (key + 1) % process::KEYS;
        let answer = fleet
            .read(key % PLAN.daemons, &format!("/sheets/key-{key}"))
            .await?;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        let state = leaving.state().await?;
        state.shards.is_empty().then_some(())
    })
    .await;
    for daemon in 0..PLAN.daemons {
        fleet.until_served(daemon).await;
    }
    fleet.assert_exclusive_ownership().await;
}
