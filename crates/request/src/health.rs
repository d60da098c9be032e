//! Health of one upstream, judged from its traffic.
//!
//! A key has exactly one owner, so requests can't be sent to another upstream instead. An
//! upstream in trouble gets fewer concurrent requests, or none until it shows that it works
//! again.

use std::time::Duration;

use statig::prelude::*;

const MAX_CONSECUTIVE_FAILURES: u32 = 5;
const SUCCESSES_PER_SLOT: u32 = 4;
/// Number of consecutive failed probes after which requests are sent regardless, because a
/// health endpoint may be wrong.
const MAX_FAILED_PROBES: u32 = 3;
const MIN_PROBE_PAUSE: Duration = Duration::from_secs(1);
const MAX_PROBE_PAUSE: Duration = Duration::from_secs(8);

/// Observation about the health of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// The upstream answered a request.
    Succeeded,
    /// A connection failed, or an answer didn't arrive in time.
    Failed,
    /// The upstream refused a request because it is overloaded.
    Shed,
    /// The upstream holds requests and hasn't answered any for long.
    Stalled,
    /// The upstream started, or came back after its grant had lapsed.
    Restarted,
    /// The upstream answered a probe.
    Probed { well: bool },
    /// The pause before the next probe is over.
    ProbeDue,
}

/// Command that follows from a change of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Report the upstream to the placement, and refuse the requests of callers that want a
    /// prompt answer.
    Suspect,
    /// Probe the health endpoint now and again after the pause.
    Probe { pause: Duration },
}

/// Input of the state machine besides the observation, and its output.
#[derive(Debug)]
pub(crate) struct Context {
    /// Number of slots that the bundle declares.
    pub(crate) slots: u32,
    /// Whether the upstream may be stopped completely. This is false if most upstreams of
    /// the service would then be stopped.
    pub(crate) may_stop: bool,
    pub(crate) commands: Vec<Command>,
}

/// State machine of the health of one upstream.
#[derive(Debug)]
pub(crate) struct Health {
    open_slots: u32,
    successes: u32,
    failures: u32,
    failed_probes: u32,
    pause: Duration,
}

impl Health {
    pub(crate) fn new() -> Self {
        Self {
            open_slots: 1,
            successes: 0,
            failures: 0,
            failed_probes: 0,
            pause: MIN_PROBE_PAUSE / 2,
        }
    }

    pub(crate) fn pause(&self) -> Duration {
        self.pause
    }

    fn limit(&mut self, open_slots: u32) -> Outcome<State> {
        self.open_slots = open_slots.max(1);
        self.successes = 0;
        self.failures = 0;
        self.failed_probes = 0;
        Transition(State::limited())
    }

    fn mark_unwell(&mut self, context: &Context) -> Outcome<State> {
        if !context.may_stop {
            return self.limit(1);
        }
        self.failures = 0;
        self.failed_probes = 0;
        self.pause = (self.pause * 2).clamp(MIN_PROBE_PAUSE, MAX_PROBE_PAUSE);
        Transition(State::unwell())
    }

    fn count_failure(&mut self, context: &Context) -> Outcome<State> {
        self.failures += 1;
        if self.failures >= MAX_CONSECUTIVE_FAILURES {
            return self.mark_unwell(context);
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
        self.open_slots += 1;
        if self.open_slots < context.slots {
            return Handled;
        }
        self.pause = MIN_PROBE_PAUSE / 2;
        Transition(State::well())
    }
}

#[state_machine(
    initial = "State::well()",
    visibility = "pub(crate)",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl Health {
    /// All slots are in use.
    #[state(superstate = "serving")]
    fn well(&mut self, context: &mut Context, event: &Observation) -> Outcome<State> {
        match event {
            Observation::Succeeded => {
                self.failures = 0;
                Handled
            }
            Observation::Shed => self.limit(context.slots.saturating_sub(1)),
            _ => Super,
        }
    }

    /// Some slots are in use. Another one is opened after every few answers.
    #[state(superstate = "serving")]
    fn limited(&mut self, context: &mut Context, event: &Observation) -> Outcome<State> {
        match event {
            Observation::Succeeded => self.count_success(context),
            Observation::Shed => self.limit(self.open_slots.saturating_sub(1)),
            _ => Super,
        }
    }

    /// Nothing is sent until the upstream shows that it works again.
    #[state(entry_action = "enter_unwell")]
    fn unwell(&mut self, context: &mut Context, event: &Observation) -> Outcome<State> {
        match event {
            Observation::Succeeded | Observation::Restarted => self.limit(1),
            Observation::Probed { well: true } => self.limit(1),
            Observation::Probed { well: false } => {
                self.failed_probes += 1;
                if self.failed_probes >= MAX_FAILED_PROBES {
                    return self.limit(1);
                }
                Handled
            }
            Observation::ProbeDue => {
                context.commands.push(Command::Probe { pause: self.pause });
                Handled
            }
            Observation::Failed | Observation::Shed | Observation::Stalled => Handled,
        }
    }

    /// Handles what is common to the states in which requests are sent.
    #[superstate]
    fn serving(&mut self, context: &mut Context, event: &Observation) -> Outcome<State> {
        match event {
            Observation::Failed => self.count_failure(context),
            Observation::Stalled => self.mark_unwell(context),
            Observation::Restarted => self.limit(1),
            _ => Handled,
        }
    }

    #[action]
    fn enter_unwell(&mut self, context: &mut Context) {
        context.commands.push(Command::Suspect);
        context.commands.push(Command::Probe { pause: self.pause });
    }
}

impl State {
    /// Returns the name that is shown to operators.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Well {} => "well",
            Self::Limited {} => "limited",
            Self::Unwell {} => "unwell",
        }
    }
}

impl Health {
    /// Returns how many slots may be in use.
    pub(crate) fn open_slots(&self, state: State, slots: u32) -> u32 {
        match state {
            State::Well {} => slots,
            State::Limited {} => self.open_slots.min(slots),
            State::Unwell {} => 0,
        }
    }
}
