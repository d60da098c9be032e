//! Health of one upstream, judged from its traffic.
//!
//! A key has one owner, so an upstream in trouble isn't passed over: it gets
//! fewer requests at a time, or none until it shows life again.

use std::time::Duration;

use statig::prelude::*;

const MAX_FAILURES: u32 = 5;
const SUCCESSES_PER_SLOT: u32 = 4;
/// Negative probes in a row after which traffic is tried nevertheless, since
/// a health endpoint may mislead.
const MAX_FAILED_PROBES: u32 = 3;
const MIN_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// What an upstream did or failed to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// It answered a request.
    Succeeded,
    /// A connection failed, or an answer didn't come in time.
    Failed,
    /// It refused a request since it is overloaded.
    Shed,
    /// It holds requests and has answered none for long.
    Stalled,
    /// It started, or it came back after its grant had lapsed.
    Restarted,
    /// It answered a probe.
    Probed { well: bool },
    /// The pause between two probes is over.
    Due,
}

/// What is to be done about the health of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// Tell the placement and those who wait.
    Suspect,
    /// Ask the health endpoint, and again after the pause.
    Probe { pause: Duration },
}

/// What surrounds a piece of evidence, and what follows from it.
#[derive(Debug)]
pub(crate) struct Context {
    /// Slots that the bundle declares.
    pub(crate) slots: u32,
    /// Whether the upstream may be stopped altogether: not if that would stop
    /// most upstreams of the service.
    pub(crate) may_stop: bool,
    pub(crate) orders: Vec<Order>,
}

/// State machine of the health of one upstream.
#[derive(Debug)]
pub(crate) struct Health {
    open: u32,
    successes: u32,
    failures: u32,
    failed_probes: u32,
    pause: Duration,
}

impl Health {
    pub(crate) fn new() -> Self {
        Self {
            open: 1,
            successes: 0,
            failures: 0,
            failed_probes: 0,
            pause: MIN_PAUSE / 2,
        }
    }

    pub(crate) fn pause(&self) -> Duration {
        self.pause
    }

    fn limit(&mut self, open: u32) -> Outcome<State> {
        self.open = open.max(1);
        self.successes = 0;
        self.failures = 0;
        self.failed_probes = 0;
        Transition(State::limited())
    }

    fn fall(&mut self, context: &Context) -> Outcome<State> {
        if !context.may_stop {
            return self.limit(1);
        }
        self.failures = 0;
        self.failed_probes = 0;
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        Transition(State::unwell())
    }

    fn count_failure(&mut self, context: &Context) -> Outcome<State> {
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            return self.fall(context);
        }
        Handled
    }

    fn count_success(&mut self, context: &Context) -> Outcome<State> {
        self.failures = 0;
        self.successes += 1;
        if self.successes < SUCCESSES_PER_SLOT {
            return Handled;
        }
        self.successes = 0;
        self.open += 1;
        if self.open < context.slots {
            return Handled;
        }
        self.pause = MIN_PAUSE / 2;
        Transition(State::well())
    }
}

#[state_machine(
    initial = "State::well()",
    visibility = "pub(crate)",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl Health {
    /// All slots are used.
    #[state(superstate = "serving")]
    fn well(&mut self, context: &mut Context, event: &Evidence) -> Outcome<State> {
        match event {
            Evidence::Succeeded => {
                self.failures = 0;
                Handled
            }
            Evidence::Shed => self.limit(context.slots.saturating_sub(1)),
            _ => Super,
        }
    }

    /// Some slots are used, one more after each few answers.
    #[state(superstate = "serving")]
    fn limited(&mut self, context: &mut Context, event: &Evidence) -> Outcome<State> {
        match event {
            Evidence::Succeeded => self.count_success(context),
            Evidence::Shed => self.limit(self.open.saturating_sub(1)),
            _ => Super,
        }
    }

    /// Nothing is sent until the upstream shows life.
    #[state(entry_action = "enter_unwell")]
    fn unwell(&mut self, context: &mut Context, event: &Evidence) -> Outcome<State> {
        match event {
            Evidence::Succeeded | Evidence::Restarted => self.limit(1),
            Evidence::Probed { well: true } => self.limit(1),
            Evidence::Probed { well: false } => {
                self.failed_probes += 1;
                if self.failed_probes >= MAX_FAILED_PROBES {
                    return self.limit(1);
                }
                Handled
            }
            Evidence::Due => {
                context.orders.push(Order::Probe { pause: self.pause });
                Handled
            }
            Evidence::Failed | Evidence::Shed | Evidence::Stalled => Handled,
        }
    }

    /// Requests are sent.
    #[superstate]
    fn serving(&mut self, context: &mut Context, event: &Evidence) -> Outcome<State> {
        match event {
            Evidence::Failed => self.count_failure(context),
            Evidence::Stalled => self.fall(context),
            Evidence::Restarted => self.limit(1),
            _ => Handled,
        }
    }

    #[action]
    fn enter_unwell(&mut self, context: &mut Context) {
        context.orders.push(Order::Suspect);
        context.orders.push(Order::Probe { pause: self.pause });
    }
}

impl State {
    /// Returns the name for operators.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Well {} => "well",
            Self::Limited {} => "limited",
            Self::Unwell {} => "unwell",
        }
    }
}

impl Health {
    /// Returns how many of the slots may be used.
    pub(crate) fn open_slots(&self, state: State, slots: u32) -> u32 {
        match state {
            State::Well {} => slots,
            State::Limited {} => self.open.min(slots),
            State::Unwell {} => 0,
        }
    }
}
