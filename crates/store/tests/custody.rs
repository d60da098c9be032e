//! Connections count as leading to one process only where that is certain.

use eelgrassrock_model::time::Instant;
use eelgrassrock_store::custody::Custody;
use proptest::prelude::*;

const fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

#[test]
fn a_connection_without_an_answered_request_of_another_is_no_member() {
    let mut custody = Custody::default();
    custody.opened(1, at(10));
    custody.opened(2, at(20));
    custody.answered(1, at(19));
    assert!(!custody.is_member(2));
    custody.answered(2, at(30));
    assert!(!custody.is_member(2));
}

#[test]
fn a_connection_that_outlives_all_members_starts_over() {
    let mut custody = Custody::default();
    custody.opened(1, at(10));
    custody.opened(2, at(20));
    custody.closed(1);
    assert!(custody.is_member(2));
    assert_eq!(custody.opened_at(), Some(at(20)));
    custody.closed(2);
    assert_eq!(custody.opened_at(), None);
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    Request(usize),
    Close(usize),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Open),
        5 => (0_usize..4).prop_map(Step::Request),
        2 => (0_usize..4).prop_map(Step::Close),
        2 => Just(Step::Restart),
    ]
}

proptest! {
    /// A restart is noticed only by the next use of a connection.
    #[test]
    fn members_lead_to_one_process_that_ran_when_the_first_was_opened(
        steps in prop::collection::vec(step(), 1..60)
    ) {
        let mut custody = Custody::default();
        let mut process = 0_u64;
        let mut started = vec![at(0)];
        let mut open: Vec<(u64, u64)> = Vec::new();
        let mut next = 0_u64;
        for (number, step) in steps.into_iter().enumerate() {
            let now = at(10 * (number as u64 + 1));
            match step {
                Step::Open => {
                    next += 1;
                    open.push((next, process));
                    custody.opened(next, now);
                }
                Step::Request(index) if index < open.len() => {
                    let (connection, leads_to) = open[index];
                    if leads_to == process {
                        custody.answered(connection, now);
                    } else {
                        open.remove(index);
                        custody.closed(connection);
                    }
                }
                Step::Close(index) if index < open.len() => {
                    let (connection, _) = open.remove(index);
                    custody.closed(connection);
                }
                Step::Restart => {
                    process += 1;
                    started.push(now);
                }
                _ => {}
            }
            let members = open.iter().filter(|(connection, _)| custody.is_member(*connection));
            let mut reached: Vec<u64> = members.map(|(_, leads_to)| *leads_to).collect();
            reached.dedup();
            prop_assert!(reached.len() <= 1, "{reached:?}");
            if let (Some(opened_at), Some(reached)) = (custody.opened_at(), reached.first()) {
                prop_assert!(started[*reached as usize] <= opened_at);
            }
        }
    }
}
