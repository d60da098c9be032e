//! A leader whose connections to a holder are lost again and again.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::leader::{Action, Leader, Outcome, Settings, Upstream};
use eelgrassrock_ranges::map::Instance;
use rstest::rstest;

const SETTINGS: Settings = Settings {
    hold: Duration::from_secs(3),
    authority: Duration::from_secs(6),
    response_timeout: Duration::from_millis(1_200),
};
const STEP_MS: u64 = 20;
const LOST: &str = "u0";

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn upstreams() -> Vec<Upstream> {
    let upstream = |name: &str| Upstream {
        instance: Instance {
            upstream: Arc::from(name),
            incarnation: 1,
        },
        slots: 2,
        leaving: false,
        limit_per_s: None,
        evacuated: false,
    };
    [LOST, "u1", "u2", "u3"].map(upstream).to_vec()
}

/// Runs a leader whose calls end in the next step; those to one upstream end with `lost`. Returns
/// the number of maps that it writes.
fn run(leader: &mut Leader, ms: std::ops::Range<u64>, lost: Option<&Outcome>) -> usize {
    let mut commits = 0;
    let done = Outcome::Done { handover: None };
    for ms in ms.step_by(STEP_MS as usize) {
        let end = |instance: &Instance| lost.filter(|_| &*instance.upstream == LOST);
        leader.set_upstreams(upstreams());
        leader.confirm(at(ms));
        leader.record([(ms % 65_521) as u16, 40_000]);
        for action in leader.poll(at(ms)) {
            let ended_at = at(ms + STEP_MS);
            match action {
                Action::Connect(instance) => leader.connected(&instance),
                Action::Commit(_) => {
                    commits += 1;
                    leader.committed(at(ms));
                }
                Action::Grant(grant) => {
                    let outcome = end(&grant.order.instance).unwrap_or(&done);
                    leader.granted(&grant.order, outcome, ended_at);
                }
                Action::Release(order) => {
                    let is_lost = end(&order.instance).is_some();
                    let outcome = if is_lost { &Outcome::Unknown } else { &done };
                    leader.released(&order, outcome, ended_at);
                }
            }
        }
    }
    commits
}

fn ranges_of_lost(leader: &Leader) -> usize {
    let holders = leader
        .map()
        .ranges
        .iter()
        .filter_map(|range| range.holder.as_ref());
    holders.filter(|holder| &*holder.upstream == LOST).count()
}

/// An upstream beyond its limit of connections accepts each one and resets it.
#[rstest]
#[case::unknown(Outcome::Unknown)]
#[case::not_sent(Outcome::NotSent)]
#[case::detached(Outcome::Detached)]
fn a_holder_that_resets_every_connection_loses_its_keys(#[case] lost: Outcome) {
    let mut leader = Leader::first(SETTINGS, 0, at(1_000), at(1_000));
    run(&mut leader, 1_000..6_000, None);
    assert!(ranges_of_lost(&leader) > 0);
    let commits = run(&mut leader, 6_000..26_000, Some(&lost));
    assert_eq!(ranges_of_lost(&leader), 0);
    // A leader without losses writes a map each time that the load has moved a range.
    assert!(commits < 120, "{commits} maps written in 20 s");
}
