//! Life of the grants of one upstream, as its home sees it.

use statig::prelude::*;

/// What happened to the grants of an upstream.
#[derive(Debug)]
pub(crate) enum Happening {
    /// The rows of the shards were read after the home was taken over.
    Loaded,
    /// The upstream answered.
    Answered,
    /// An answer is overdue.
    Missed,
    /// Every grant has expired and no answer came.
    Lapsed,
}

/// State machine of the grants of one upstream.
#[derive(Debug, Default)]
pub(crate) struct Life;

#[state_machine(
    initial = "State::loading()",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl Life {
    /// The home doesn't know yet what the upstream owns.
    #[state]
    fn loading(event: &Happening) -> Outcome<State> {
        match event {
            Happening::Loaded => Transition(State::silent()),
            _ => Handled,
        }
    }

    /// The upstream hasn't answered this home yet.
    #[state(superstate = "unanswered")]
    fn silent(event: &Happening) -> Outcome<State> {
        let _ = event;
        Super
    }

    /// The upstream answers; its grants are renewed.
    #[state]
    fn granting(event: &Happening) -> Outcome<State> {
        match event {
            Happening::Missed => Transition(State::suspect()),
            _ => Handled,
        }
    }

    /// An answer is overdue; no order is sent until the upstream answers.
    #[state(superstate = "unanswered")]
    fn suspect(event: &Happening) -> Outcome<State> {
        let _ = event;
        Super
    }

    /// All grants have expired; the shards are assigned to others.
    #[state]
    fn lost(event: &Happening) -> Outcome<State> {
        match event {
            Happening::Answered => Transition(State::granting()),
            _ => Handled,
        }
    }

    #[superstate]
    fn unanswered(event: &Happening) -> Outcome<State> {
        match event {
            Happening::Answered => Transition(State::granting()),
            Happening::Lapsed => Transition(State::lost()),
            _ => Handled,
        }
    }
}
