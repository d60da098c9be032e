//! Faults of a run, drawn from its seed.

use std::time::Duration;

use derive_more::Display;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Longest time that one fault lasts: beyond the time for which grants hold.
const MAX_FAULT: Duration = Duration::from_millis(5_000);
const MIN_FAULT: Duration = Duration::from_millis(200);
/// Age of the oldest copy that the store comes back from, in milliseconds.
const MAX_COPY_AGE_MS: u64 = 6_000;
/// Mean time between two faults.
const MEAN_GAP: Duration = Duration::from_millis(600);
/// Share of faults that come in a series on the same subject.
const SERIES_SHARE: f64 = 0.2;

/// Which link of a router, or to an upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Link {
    /// From callers to a router.
    #[display("callers to router {_0}")]
    Front(usize),
    /// From a router to the store.
    #[display("router {_0} to store")]
    Store(usize),
    /// From all routers to an upstream.
    #[display("routers to upstream {_0}")]
    Upstream(usize),
}

/// What happens to a link.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Impairment {
    /// Bytes take longer.
    #[display("delayed by {} ms", _0.as_millis())]
    Delay(Duration),
    /// Nothing passes towards the server.
    #[display("cut towards the server")]
    CutForward,
    /// Nothing passes towards the client.
    #[display("cut towards the client")]
    CutBackward,
    /// Nothing passes.
    #[display("cut both ways")]
    Cut,
    /// Open connections are reset.
    #[display("reset")]
    Reset,
    /// Open connections go silent for good; new ones work.
    #[display("silenced")]
    Silence,
}

/// What happens to the store.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Degradation {
    /// It answers that it did nothing.
    #[display("down")]
    Down,
    /// Calls take longer.
    #[display("slow by {} ms", _0.as_millis())]
    Slow(Duration),
    /// Some answers are lost after the call took effect.
    #[display("loses answers")]
    LosesAnswers,
    /// Some writes take effect late, without an answer.
    #[display("writes late")]
    WritesLate,
}

/// What happens to an upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Failure {
    /// It ends without a sign and another one comes.
    #[display("dies")]
    Dies,
    /// It ends without a sign and starts again under its name.
    #[display("restarts")]
    Restarts,
    /// It says that it leaves, ends after a while, and another one comes.
    #[display("leaves")]
    Leaves,
    /// It does nothing for a time.
    #[display("pauses")]
    Pauses,
    /// It takes longer for each request.
    #[display("slows down")]
    Slows,
    /// It runs requests and loses some answers.
    #[display("loses answers")]
    LosesAnswers,
    /// It fails some requests.
    #[display("fails in part")]
    Fails,
    /// It answers some requests with the answer to another one.
    #[display("mixes up answers")]
    MixesUp,
    /// It leaves orders unanswered and carries them out late.
    #[display("carries orders out late")]
    LateOrders,
    /// It says with its answers that it leaves, and the registry doesn't; then it ends
    /// and another one comes.
    #[display("says that it leaves")]
    SaysLeaving,
    /// It turns some requests away and wants nothing for a while.
    #[display("wants pauses")]
    Defers,
    /// It begins some answers and never ends them.
    #[display("answers without end")]
    Endless,
}

/// A fault.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Fault {
    /// A router is killed and started again.
    #[display("router {_0} killed")]
    Kill(usize),
    /// All routers are killed at once and started again.
    #[display("all routers killed")]
    KillAll,
    /// A router is stopped by the system for a time.
    #[display("router {_0} paused")]
    Pause(usize),
    /// A router is told to stop, killed after its grace, and started again.
    #[display("router {_0} told to stop")]
    Terminate(usize),
    /// A router is told that its settings file changed.
    #[display("router {_0} told to reload")]
    Reload(usize),
    /// A link is impaired.
    #[display("{_0}: {_1}")]
    Link(Link, Impairment),
    /// The store misbehaves.
    #[display("store: {_0}")]
    Store(Degradation),
    /// The store forgets its history.
    #[display("store: forgets")]
    Forget,
    /// The store comes back from a copy.
    #[display("store: comes back from a copy {} ms old", _0.as_millis())]
    Restore(Duration),
    /// An upstream misbehaves.
    #[display("upstream {_0}: {_1}")]
    Upstream(usize, Failure),
    /// The operator changes the configuration.
    #[display("configuration changed")]
    Configure,
}

/// A fault, its time and how long it lasts.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{:6.2} s, for {:.2} s: {fault}", at.as_secs_f64(), span.as_secs_f64())]
pub struct Event {
    /// Time from the start of the faults.
    pub at: Duration,
    /// How long it lasts, if it is one that lasts.
    pub span: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Draws the faults of a run of `length` with some routers and upstreams.
///
/// ```
/// use std::time::Duration;
/// use eelgrassrock_soak::schedule::draw;
///
/// let events = draw(7, Duration::from_secs(20), 4, 9);
/// assert_eq!(events, draw(7, Duration::from_secs(20), 4, 9));
/// assert!(events.iter().all(|event| event.at + event.span <= Duration::from_secs(20)));
/// ```
pub fn draw(seed: u64, length: Duration, routers: usize, upstreams: usize) -> Vec<Event> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    let mut last = None;
    loop {
        at += MEAN_GAP.mul_f64(random.random_range(0.0..2.0));
        let longest = MAX_FAULT.min(length.saturating_sub(at));
        if longest <= MIN_FAULT {
            return events;
        }
        let span = random.random_range(MIN_FAULT..longest);
        let repeated = last.filter(|_| random.random_bool(SERIES_SHARE));
        let fault = repeated.unwrap_or_else(|| fault(&mut random, routers, upstreams));
        last = Some(fault);
        events.push(Event { at, span, fault });
    }
}

fn fault(random: &mut ChaCha8Rng, routers: usize, upstreams: usize) -> Fault {
    let router = random.random_range(0..routers);
    let upstream = random.random_range(0..upstreams);
    match random.random_range(0..28) {
        0 | 1 => Fault::Kill(router),
        2 => Fault::KillAll,
        3 | 4 => Fault::Pause(router),
        5 | 6 => Fault::Terminate(router),
        7 => Fault::Reload(router),
        8 => Fault::Forget,
        9 | 10 => Fault::Configure,
        11 | 12 => Fault::Store(degradation(random)),
        13 => Fault::Link(Link::Front(router), impairment(random)),
        14 => Fault::Link(Link::Store(router), impairment(random)),
        15 | 16 => Fault::Link(Link::Upstream(upstream), impairment(random)),
        17 | 18 => Fault::Restore(Duration::from_millis(
            random.random_range(0..MAX_COPY_AGE_MS),
        )),
        _ => Fault::Upstream(upstream, failure(random)),
    }
}

fn impairment(random: &mut ChaCha8Rng) -> Impairment {
    let delay = Duration::from_millis(random.random_range(5..400));
    let impairments = [
        Impairment::Delay(delay),
        Impairment::CutForward,
        Impairment::CutBackward,
        Impairment::Cut,
        Impairment::Reset,
        Impairment::Silence,
    ];
    *impairments.choose(random).expect("there are some")
}

fn degradation(random: &mut ChaCha8Rng) -> Degradation {
    let delay = Duration::from_millis(random.random_range(20..800));
    let degradations = [
        Degradation::Down,
        Degradation::Slow(delay),
        Degradation::LosesAnswers,
        Degradation::WritesLate,
    ];
    *degradations.choose(random).expect("there are some")
}

fn failure(random: &mut ChaCha8Rng) -> Failure {
    let failures = [
        Failure::Dies,
        Failure::Restarts,
        Failure::Leaves,
        Failure::Pauses,
        Failure::Slows,
        Failure::LosesAnswers,
        Failure::Fails,
        Failure::MixesUp,
        Failure::LateOrders,
        Failure::SaysLeaving,
        Failure::Defers,
        Failure::Endless,
    ];
    *failures.choose(random).expect("there are some")
}
