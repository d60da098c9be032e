//! A leader that reaches none, or some, of the upstreams.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::leader::{Action, Leader, Outcome, Settings, Surroundings, Upstream};
use eelgrassrock_ranges::map::{Instance, Map, Range};
use rstest::rstest;

const SETTINGS: Settings = Settings {
    hold: Duration::from_secs(3),
    authority: Duration::from_secs(6),
    response_timeout: Duration::from_millis(1_200),
};
const STEP_MS: u64 = 20;
/// Time that a call takes which gets no answer.
const SILENCE_MS: u64 = 300;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn upstreams(count: usize) -> Vec<Upstream> {
    let upstream = |number: usize| Upstream {
        instance: Instance {
            upstream: Arc::from(format!("u{number}")),
            incarnation: 1,
        },
        slots: 2,
        leaving: false,
        limit_per_s: None,
        evacuated: false,
    };
    (0..count).map(upstream).collect()
}

/// Runs a leader for some milliseconds. Calls to upstreams that `is_silent` names get no answer.
/// Returns when the leader was first isolated, and the number of maps that it wrote before.
fn run(
    leader: &mut Leader,
    count: usize,
    ms: std::ops::Range<u64>,
    is_silent: impl Fn(&Instance) -> bool,
) -> (Option<u64>, usize) {
    let done = Outcome::Done { handover: None };
    let mut ends: Vec<(u64, Action, bool)> = Vec::new();
    let mut commits = 0;
    for ms in ms.step_by(STEP_MS as usize) {
        for (_, action, is_silent) in ends.extract_if(.., |(due, _, _)| *due <= ms) {
            let outcome = if is_silent { &Outcome::Unknown } else { &done };
            match action {
                Action::Grant(grant) => {
                    leader.granted(&grant.order, outcome, at(ms));
                }
                Action::Release(order) => leader.released(&order, outcome, at(ms)),
                Action::Connect(_) | Action::Commit(_) => {}
            }
        }
        if leader.is_isolated(at(ms)) {
            return (Some(ms), commits);
        }
        leader.set_upstreams(upstreams(count));
        leader.confirm(at(ms));
        for action in leader.poll(at(ms)) {
            let instance = match &action {
                Action::Connect(instance) => {
                    leader.connected(instance);
                    continue;
                }
                Action::Commit(_) => {
                    commits += 1;
                    leader.committed(at(ms));
                    continue;
                }
                Action::Grant(grant) => grant.order.instance.clone(),
                Action::Release(order) => order.instance.clone(),
            };
            let is_silent = is_silent(&instance);
            let span = if is_silent { SILENCE_MS } else { STEP_MS };
            ends.push((ms + span, action, is_silent));
        }
    }
    (None, commits)
}

#[rstest]
#[case::two_upstreams(2)]
#[case::fourteen(14)]
#[case::ninety_five(95)]
fn a_leader_that_reaches_no_upstream_notices_before_it_takes_keys_away(#[case] count: usize) {
    let mut leader = Leader::first(SETTINGS, 0, at(1_000), at(1_000));
    assert_eq!(run(&mut leader, count, 1_000..6_000, |_| false).0, None);
    let (isolated_at, commits) = run(&mut leader, count, 6_000..9_000, |_| true);
    let isolated_at = isolated_at.expect("no upstream answers");
    assert!(isolated_at <= 7_200, "{isolated_at}");
    assert_eq!(commits, 0);
}

#[rstest]
#[case::one_of_two(2, 1)]
#[case::two_thirds(14, 9)]
#[case::all_but_one(14, 13)]
fn a_leader_that_reaches_some_upstreams_goes_on_leading(#[case] count: usize, #[case] lost: usize) {
    let mut leader = Leader::first(SETTINGS, 0, at(1_000), at(1_000));
    run(&mut leader, count, 1_000..6_000, |_| false);
    let is_silent = |instance: &Instance| {
        let number: usize = instance.upstream[1..].parse().unwrap();
        number < lost
    };
    assert_eq!(run(&mut leader, count, 6_000..20_000, is_silent).0, None);
}

/// What happens to leadership while the upstreams are away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Succession {
    /// The leader goes on, unless it resigns.
    One,
    /// The leader's process ends together with the upstreams, and another router takes over.
    Lost,
    /// The store is away for 6 s from then on, so that nobody can confirm, write or take over.
    StoreAway,
}

/// Names that upstreams have after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Names {
    Same,
    New,
}

/// Time after which the registry drops an upstream that has ended.
const LAPSE_MS: u64 = 2_600;
/// Time by which an upstream that started is registered.
const REGISTER_MS: u64 = 100;
/// Time within which a call to a process that has ended is refused.
const REFUSAL_MS: u64 = 20;
/// Delay of another router that takes over leadership.
const TAKEOVER_MS: u64 = 150;
const CRASH_MS: u64 = 6_000;
const STORE_AWAY_MS: u64 = 6_000;
/// Longest time for which a grant may be in force.
const GRANT_MS: u64 = 3_360;

/// Leaders in turn, of a service whose upstreams all end at `CRASH_MS` and come back.
struct Outage {
    count: usize,
    back_at: u64,
    names: Names,
    succession: Succession,
    leader: Option<Leader>,
    map: Map,
    /// Time at which the next leader takes over.
    take_at: u64,
    terms: usize,
    taken_at: u64,
    ends: Vec<(u64, Action, Outcome)>,
}

impl Outage {
    fn instance(&self, number: usize, is_back: bool) -> Instance {
        let name = match self.names {
            Names::New if is_back => format!("v{number}"),
            _ => format!("u{number}"),
        };
        Instance {
            upstream: name.into(),
            incarnation: 1 + u64::from(is_back),
        }
    }

    fn listed(&self, ms: u64) -> Vec<Upstream> {
        let mut listed = Vec::new();
        let is_back = ms >= self.back_at + REGISTER_MS;
        let is_replaced = is_back && self.names == Names::Same;
        for number in 0..self.count {
            if ms < CRASH_MS + LAPSE_MS && !is_replaced {
                listed.push(self.instance(number, false));
            }
            if is_back {
                listed.push(self.instance(number, true));
            }
        }
        let upstream = |instance| Upstream {
            instance,
            slots: 2,
            leaving: false,
            limit_per_s: None,
            evacuated: false,
        };
        listed.into_iter().map(upstream).collect()
    }

    fn is_alive(&self, instance: &Instance, ms: u64) -> bool {
        match instance.incarnation {
            1 => ms < CRASH_MS,
            _ => ms >= self.back_at,
        }
    }

    fn is_store_away(&self, ms: u64) -> bool {
        let away = CRASH_MS..CRASH_MS + STORE_AWAY_MS;
        self.succession == Succession::StoreAway && away.contains(&ms)
    }

    fn take_over(&mut self, ms: u64) {
        let mut leader = Leader::successor(SETTINGS, self.map.clone(), 0, at(ms), at(ms));
        leader.predecessor_stopped(at(ms));
        self.leader = Some(leader);
        self.terms += 1;
        self.taken_at = ms;
        self.ends.clear();
    }

    fn step(&mut self, ms: u64) {
        let is_away = self.is_store_away(ms);
        if ms == CRASH_MS && self.succession == Succession::Lost {
            self.leader = None;
            self.take_at = ms + TAKEOVER_MS;
        }
        if self.leader.is_none() && ms >= self.take_at && !is_away {
            self.take_over(ms);
        }
        let listed = self.listed(ms);
        let Some(leader) = &mut self.leader else {
            return;
        };
        for (_, action, outcome) in self.ends.extract_if(.., |(due, ..)| *due <= ms) {
            match action {
                Action::Grant(grant) => {
                    leader.granted(&grant.order, &outcome, at(ms));
                }
                Action::Release(order) => leader.released(&order, &outcome, at(ms)),
                Action::Connect(_) | Action::Commit(_) => {}
            }
        }
        let surroundings = Surroundings::default();
        if !is_away && leader.should_resign(&surroundings, at(ms)) {
            self.leader = None;
            self.take_at = ms + TAKEOVER_MS;
            return;
        }
        let is_listed = |instance: &Instance| listed.iter().any(|up| up.instance == *instance);
        leader.set_upstreams(listed.clone());
        if !is_away {
            leader.confirm(at(ms));
        }
        let mut orders = Vec::new();
        for action in leader.poll(at(ms)) {
            match &action {
                Action::Connect(instance) => leader.connected(instance),
                Action::Commit(_) if is_away => leader.not_committed(),
                Action::Commit(map) => {
                    self.map = map.clone();
                    leader.committed(at(ms));
                }
                Action::Grant(grant) => orders.push((grant.order.instance.clone(), action)),
                Action::Release(order) => orders.push((order.instance.clone(), action)),
            }
        }
        for (instance, action) in orders {
            let is_known = is_listed(&instance);
            let (delay, outcome) = match () {
                () if !is_known => (0, Outcome::NotSent),
                () if self.is_alive(&instance, ms) => (STEP_MS, Outcome::Done { handover: None }),
                () => (REFUSAL_MS, Outcome::NotSent),
            };
            self.ends.push((ms + delay, action, outcome));
        }
    }

    fn is_served(&self) -> bool {
        let is_held = |range: &Range| {
            let holder = range.holder.as_ref();
            range.sources.is_empty() && holder.is_some_and(|holder| holder.incarnation == 2)
        };
        self.map.ranges.iter().all(is_held)
    }
}

/// Guards against a service that is never served again after all its upstreams ended together: each
/// leader resigned for their silence, before it was allowed to make its first grant.
#[rstest]
fn keys_are_granted_again_after_all_upstreams_have_ended_together(
    #[values(2, 3, 14, 95)] count: usize,
    #[values(200, 1_500, 5_000, 20_000)] away_ms: u64,
    #[values(Succession::One, Succession::Lost, Succession::StoreAway)] succession: Succession,
    #[values(Names::Same, Names::New)] names: Names,
) {
    let mut outage = Outage {
        count,
        back_at: CRASH_MS + away_ms,
        names,
        succession,
        leader: Some(Leader::first(SETTINGS, 0, at(1_000), at(1_000))),
        map: Map::unowned(),
        take_at: 0,
        terms: 1,
        taken_at: 1_000,
        ends: Vec::new(),
    };
    let mut served_at = None;
    for ms in (1_000..60_000).step_by(STEP_MS as usize) {
        outage.step(ms);
        if ms > CRASH_MS && outage.is_served() {
            served_at = Some(ms);
            break;
        }
    }
    assert!(outage.terms <= 3, "{} terms", outage.terms);
    let served_at = served_at.expect("the keys are never granted again");
    let store_back = match succession {
        Succession::StoreAway => CRASH_MS + STORE_AWAY_MS,
        _ => CRASH_MS,
    };
    // The waits that ownership demands: upstreams and store are back, the grants to the earlier
    // processes have run out, also those that a predecessor of the last leader may have sent.
    let granted_until = CRASH_MS.max(outage.taken_at) + GRANT_MS;
    let waited_until = (outage.back_at + REGISTER_MS)
        .max(store_back)
        .max(granted_until);
    assert!(
        served_at <= waited_until + 2_000,
        "{served_at} after {waited_until}, {} terms",
        outage.terms
    );
}

/// Runs a leader whose upstreams fall silent at 6 s, and returns it at 7.4 s.
fn silent_leader(has_been_answered: bool) -> Leader {
    let mut leader = Leader::first(SETTINGS, 0, at(1_000), at(1_000));
    run(&mut leader, 14, 1_000..6_000, |_| false);
    if !has_been_answered {
        leader = Leader::successor(SETTINGS, leader.map().clone(), 0, at(6_000), at(6_000));
    }
    let isolated_at = run(&mut leader, 14, 6_000..9_000, |_| true).0;
    assert!(isolated_at.is_some_and(|ms| ms < 7_400), "{isolated_at:?}");
    leader
}

#[rstest]
#[case::others_get_answers(true, Some(7_300), true, true)]
#[case::others_got_answers_before(true, Some(6_200), true, false)]
#[case::all_upstreams_have_ended(true, None, true, false)]
#[case::all_services_are_silent(true, None, false, true)]
#[case::the_successor_is_not_answered_either(false, None, false, false)]
#[case::others_are_answered_and_the_successor_is_not(false, Some(7_300), false, true)]
fn a_leader_resigns_only_if_another_router_can_do_better(
    #[case] has_been_answered: bool,
    #[case] answered_elsewhere_ms: Option<u64>,
    #[case] is_in_touch: bool,
    #[case] resigns: bool,
) {
    let leader = silent_leader(has_been_answered);
    let surroundings = Surroundings {
        answered_elsewhere_at: answered_elsewhere_ms.map(at),
        is_in_touch,
    };
    assert_eq!(leader.should_resign(&surroundings, at(7_400)), resigns);
}
