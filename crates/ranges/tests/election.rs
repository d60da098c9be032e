//! When a router runs for leadership.

use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::election::{Contact, Election, Leadership};
use rstest::rstest;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// A router that has just learnt that another one leads.
fn election() -> Election {
    let mut election = Election::new("router-2".into(), 2, true, at(0));
    let leadership = Leadership {
        term: 1,
        router: "router-1".into(),
        incarnation: 1,
        address: "127.0.0.1:7540".parse().unwrap(),
        is_released: false,
        predecessors: Vec::new(),
        is_recovering: false,
    };
    election.learn(Some((leadership, Revision::new(0, 10))), 0, at(0));
    election
}

/// Milliseconds after which a router runs that sees the same result at each contact.
fn campaigns_after_ms(contact: Contact) -> u64 {
    let mut election = election();
    for ms in (0..20_000).step_by(100) {
        election.record_contact(contact, 0, at(ms));
        let address = "127.0.0.2:7540".parse().unwrap();
        if election.poll(address, at(ms)).is_some() {
            return ms;
        }
    }
    u64::MAX
}

#[rstest]
#[case::serving(Contact::Serving, u64::MAX..=u64::MAX)]
#[case::idle(Contact::Idle, 0..=100)]
#[case::connection_refused(Contact::ConnectionRefused, 100..=300)]
#[case::unresponsive(Contact::Unresponsive, 1_000..=1_300)]
#[case::unrecognized(Contact::Unrecognized, 6_500..=7_500)]
fn a_router_runs_as_soon_as_the_leader_shows_that_it_does_not_act(
    #[case] contact: Contact,
    #[case] expected: std::ops::RangeInclusive<u64>,
) {
    let after = campaigns_after_ms(contact);
    assert!(expected.contains(&after), "{after} ms");
}

/// A leader keeps its authority for 6 s without the store, so one that doesn't recognize a router
/// may still act until then.
#[test]
fn no_router_runs_against_a_leader_that_serves_again() {
    let mut election = election();
    election.record_contact(Contact::Unrecognized, 0, at(6_900));
    election.record_contact(Contact::Serving, 0, at(6_950));
    election.record_contact(Contact::Unrecognized, 0, at(7_100));
    assert_eq!(election.campaign_at(), None);
}

/// The store may come back from a backup that is older than the first leadership, and the routers
/// that remember the leader may all have been killed.
#[rstest]
#[case::restarted(false, &[2], true)]
#[case::restarted_without_eras(false, &[0], false)]
#[case::first_start(true, &[1], false)]
#[case::running_during_the_restore(true, &[1, 2], true)]
#[case::running_during_the_first_restore(true, &[0, 1], true)]
fn no_router_takes_itself_for_the_first_leader_of_a_restored_store(
    #[case] is_first_start: bool,
    #[case] eras: &[u64],
    #[case] waits: bool,
) {
    let mut election = Election::new("router-2".into(), 2, is_first_start, at(0));
    eras.iter().for_each(|era| election.enter_era(*era));
    let (leadership, _) = election.claim("127.0.0.2:7540".parse().unwrap());
    assert_eq!(leadership.is_recovering, waits);
}

/// A router joins the election of a service that it learns of only after the restore.
#[test]
fn a_service_joined_after_a_restore_has_a_leader_that_the_store_has_forgotten() {
    let mut election = Election::new("router-2".into(), 2, true, at(0));
    // The era in which the router started, and the present one.
    election.enter_era(1);
    election.enter_era(2);
    let (leadership, _) = election.claim("127.0.0.2:7540".parse().unwrap());
    assert!(leadership.is_recovering);
}
