//! Time without a source of changes, whatever becomes of the relays.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::source::Sources;
use eelgrassrock_model::time::Instant;
use proptest::prelude::*;

const LIMIT: Duration = Duration::from_millis(1_300);
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const HOLD: Duration = Duration::from_millis(400);
const RUN: Duration = Duration::from_secs(60);

/// What a call to a router shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Live,
    Silent,
    Refusing,
    /// It responds without contact to the store.
    WithoutContact,
    /// It doesn't recognize the caller, which asks it again for a while.
    Unrecognizing,
}

impl State {
    fn call_time(self) -> Duration {
        match self {
            Self::Live | Self::WithoutContact => HOLD,
            Self::Silent => CALL_TIMEOUT,
            Self::Refusing => Duration::from_millis(1),
            Self::Unrecognizing => Duration::from_millis(1_500),
        }
    }
}

fn states() -> impl Strategy<Value = State> {
    prop_oneof![
        Just(State::Live),
        Just(State::Silent),
        Just(State::Refusing),
        Just(State::WithoutContact),
        Just(State::Unrecognizing),
    ]
}

/// Relays in their order, each with a first state and another one that follows at some time.
fn relays() -> impl Strategy<Value = Vec<(State, u64, State)>> {
    prop::collection::vec((states(), 0..60_000_u64, states()), 0..24)
}

struct Run {
    /// Longest time without a response of a live relay and without the store.
    longest: Duration,
    /// Time for which the store was read.
    at_store: Duration,
}

/// Plays a router that follows the first relay that isn't skipped, and checks the skipped ones.
fn play(relays: &[(State, u64, State)]) -> Run {
    let names: Vec<Arc<str>> = (0..relays.len())
        .map(|relay| format!("router-{relay}").into())
        .collect();
    let state = |relay: usize, at: u64| {
        let (first, change, second) = relays[relay];
        if at < change { first } else { second }
    };
    let mut sources = Sources::new(LIMIT);
    sources.start(Instant::from_millis(0));
    let mut checks: Vec<(u64, usize)> = Vec::new();
    let mut call: Option<(u64, usize, State)> = None;
    let (mut news_at, mut longest, mut at_store) = (0, 0, 0);
    for millis in 0..RUN.as_millis() as u64 {
        let now = Instant::from_millis(millis);
        if let Some((end, relay, state)) = call
            && millis >= end
        {
            call = None;
            if state == State::Live {
                sources.record_contact(&names[relay], now);
                news_at = millis;
            } else if let Some(pause) = sources.skip(&names[relay]) {
                checks.push((millis + pause.as_millis() as u64, relay));
            }
        }
        for (due, relay) in std::mem::take(&mut checks) {
            if due > millis {
                checks.push((due, relay));
            } else if state(relay, millis) == State::Live {
                sources.record_contact(&names[relay], now);
                news_at = millis;
            } else {
                let pause = sources.extend_skip(&names[relay]);
                checks.push((millis + pause.as_millis() as u64, relay));
            }
        }
        if call.is_none() {
            let next = (0..relays.len()).find(|relay| !sources.is_skipped(&names[*relay]));
            call = next.map(|relay| {
                let state = state(relay, millis);
                (millis + state.call_time().as_millis() as u64, relay, state)
            });
        }
        if call.is_none() || !sources.is_supplied(now) {
            news_at = millis;
            at_store += 1;
        }
        longest = longest.max(millis - news_at);
    }
    Run {
        longest: Duration::from_millis(longest),
        at_store: Duration::from_millis(at_store),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Guards against relays that fail one after another and keep a router from any source.
    #[test]
    fn a_router_never_does_without_a_source_for_longer_than_the_limit(relays in relays()) {
        let run = play(&relays);
        prop_assert!(run.longest <= LIMIT, "{:?} without a source", run.longest);
    }

    /// Guards against a data centre whose routers all read the store although there is a relay.
    #[test]
    fn a_router_soon_follows_the_live_relay_behind_lost_ones(lost in 0..24_u32) {
        let mut relays = vec![(State::Silent, 0, State::Silent); lost as usize];
        relays.push((State::Live, 0, State::Live));
        let run = play(&relays);
        prop_assert!(run.at_store <= CALL_TIMEOUT * lost + HOLD);
    }
}
