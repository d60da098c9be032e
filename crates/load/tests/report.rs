//! Each request of the load generator counts once, as an answer or as a failure, and invalid
//! arguments are refused.

use std::time::Duration;

use eelgrassrock_load::flags::{Arguments, Fault, command};
use eelgrassrock_load::plan::Plan;
use eelgrassrock_standin::{Addresses, objects};
use rstest::rstest;

#[rstest]
#[case::open(200.0)]
#[case::closed(0.0)]
#[tokio::test(flavor = "multi_thread")]
async fn counts_every_answer(#[case] rate: f64) {
    let server = objects::Server::start(Addresses::free()).await.unwrap();
    let mut plan = Plan::new(server.address());
    plan.rate = rate;
    plan.duration = Duration::from_millis(300);
    plan.path = "/v1/objects/none".to_owned();
    let report = eelgrassrock_load::run(&plan).await;
    assert!(report.offered > 0);
    assert_eq!(report.failed, 0);
    assert_eq!(report.statuses.values().sum::<u64>(), report.offered);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn counts_failed_connections() {
    let server = objects::Server::start(Addresses::free()).await.unwrap();
    let mut plan = Plan::new(server.address());
    drop(server);
    plan.duration = Duration::from_millis(100);
    let report = eelgrassrock_load::run(&plan).await;
    assert_eq!(report.failed, report.offered);
}

#[rstest]
#[case::remote_target(&["--target", "192.168.1.1:80"], "not a loopback address")]
#[case::header(&["--target", "127.0.0.1:80", "--header", "x"], "name: value")]
#[case::method(&["--target", "127.0.0.1:80", "--method", "G T"], "not an HTTP method")]
fn refuses_invalid_arguments(#[case] arguments: &[&str], #[case] reason: &str) {
    let arguments = [&["eelgrassrock-load"], arguments].concat();
    let matches = command().try_get_matches_from(arguments).unwrap();
    let fault: Fault = Arguments::check(&matches).unwrap_err();
    assert!(fault.to_string().contains(reason), "{fault}");
}
