//! When a router stands for the duty of the keeper.

use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::election::{Contact, Duty, Election};
use rstest::rstest;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// A router that has just heard that another one has the duty.
fn election() -> Election {
    let mut election = Election::new("router-2".into(), 2, at(0));
    let duty = Duty {
        term: 1,
        router: "router-1".into(),
        incarnation: 1,
        address: "127.0.0.1:7540".parse().unwrap(),
        is_released: false,
        formers: Vec::new(),
        is_unsettled: false,
    };
    election.learn(Some((duty, Revision::new(0, 10))), 0, at(0));
    election
}

/// Milliseconds after which a router stands that sees the same at each look.
fn stands_after(contact: Contact) -> u64 {
    let mut election = election();
    for ms in (0..20_000).step_by(100) {
        election.contact(contact, 0, at(ms));
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
#[case::refused(Contact::Refused, 100..=300)]
#[case::silent(Contact::Silent, 1_000..=1_300)]
#[case::does_not_know_us(Contact::Stranger, 6_500..=7_500)]
fn a_router_stands_as_soon_as_the_keeper_shows_that_it_does_not_act(
    #[case] contact: Contact,
    #[case] expected: std::ops::RangeInclusive<u64>,
) {
    let after = stands_after(contact);
    assert!(expected.contains(&after), "{after} ms");
}

/// The authority of a keeper lasts 6 s without the store: until then, one that
/// knows no others may still act.
#[test]
fn a_keeper_that_serves_again_is_left_alone() {
    let mut election = election();
    election.contact(Contact::Stranger, 0, at(6_900));
    election.contact(Contact::Serving, 0, at(6_950));
    election.contact(Contact::Stranger, 0, at(7_100));
    assert_eq!(election.stands_at(), None);
}
