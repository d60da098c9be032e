//! Liveness of an upstream and its grants, as its home sees it.

use statig::prelude::*;

/// Input of the liveness state machine.
#[derive(Debug)]
pub(crate) enum Signal {
    /// The rows of the shards were read after the home was taken over.
    Loaded,
    /// The upstream answered.
    Answered,
    /// An answer is overdue.
    Missed,
    /// Every grant has expired and no answer came.
    Lapsed,
}

/// State machine for the liveness of one upstream.
#[derive(Debug, Default)]
pub(crate) struct Liveness;

#[state_machine(
    initial = "State::loading()",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl Liveness {
    /// The home doesn't know yet what the upstream owns.
    #[state]
    fn loading(event: &Signal) -> Outcome<State> {
        match event {
            Signal::Loaded => Transition(State::silent()),
            _ => Handled,
        }
    }

    /// The upstream hasn't answered this home yet.
    #[state(superstate = "unanswered")]
    fn silent(event: &Signal) -> Outcome<State> {
        let _ = event;
        Super
    }

    /// The upstream answers, and its grants are renewed.
    #[state]
    fn granting(event: &Signal) -> Outcome<State> {
        match event {
            Signal::Missed => Transition(State::suspect()),
            _ => Handled,
        }
    }

    /// An answer is overdue. No order is sent until the upstream answers.
    #[state(superstate = "unanswered")]
    fn suspect(event: &Signal) -> Outcome<State> {
        let _ = event;
        Super
    }

    /// All grants have expired, and the shards are assigned to other upstreams.
    #[state]
    fn lost(event: &Signal) -> Outcome<State> {
        match event {
            Signal::Answered => Transition(State::granting()),
            _ => Handled,
        }
    }

    #[superstate]
    fn unanswered(event: &Signal) -> Outcome<State> {
        match event {
            Signal::Answered => Transition(State::granting()),
            Signal::Lapsed => Transition(State::lost()),
            _ => Handled,
        }
    }
}
