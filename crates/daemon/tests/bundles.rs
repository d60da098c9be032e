//! Rolls of bundles, also on routers that missed some, and refusal of forged ones.

mod support;

use eelgrassrock_config::approval::Key;
use rstest::rstest;
use support::{Deployment, Size};

const SIZE: Size = Size {
    daemons: 2,
    upstreams: 1,
    checks_orders: true,
};

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_roll_comes_into_force_on_every_router() {
    let deployment = Deployment::start(SIZE).await;
    deployment.roll(&deployment.bundle(SIZE, 2)).await;
    deployment.until_version(0, 2).await;
    deployment.until_version(1, 2).await;
}

/// An attacker with write access to the table rolls a bundle that lists his own key as
/// approver, as the next version or several versions ahead.
#[rstest]
#[case::next(2)]
#[case::ahead(5)]
#[tokio::test(flavor = "multi_thread")]
async fn a_bundle_that_names_its_own_approvers_is_refused(#[case] version: u64) {
    let mut deployment = Deployment::start(SIZE).await;
    let forger = Key::parse(&"09".repeat(32)).unwrap();
    let honest = deployment.bundle(SIZE, version);
    let forged = honest.replace(&support::approver_key().public(), &forger.public());
    deployment.roll_as(&forged, &forger).await;
    deployment.until_bundle_refused(0).await;
    assert_eq!(deployment.status(0).await["version"], 1);
    let fresh = deployment.start_daemon(2).await;
    deployment.daemons.push(Some(fresh));
    deployment.until_bundle_refused(2).await;
    assert_ne!(deployment.status(2).await["version"], version);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_missed_rolls_checks_each_of_them() {
    let mut deployment = Deployment::start(SIZE).await;
    for version in 2..=4 {
        deployment.roll(&deployment.bundle(SIZE, version)).await;
    }
    deployment.until_version(0, 4).await;
    let fresh = deployment.start_daemon(2).await;
    deployment.daemons.push(Some(fresh));
    deployment.until_version(2, 4).await;
}
