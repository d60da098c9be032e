//! Schedule of faults, drawn from a seed.

mod cluster;

use std::ops::Range;
use std::time::Duration;

use derive_more::Display;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::partition::Cut;
use crate::plan::{DATA_CENTRES, Kind};

/// Maximum duration of a fault, which exceeds the duration of grants.
const MAX_FAULT: Duration = Duration::from_millis(5_000);
/// Minimum duration of a fault.
const MIN_FAULT: Duration = Duration::from_millis(200);
/// Maximum age of the snapshot that the store is restored from, in milliseconds.
const MAX_SNAPSHOT_AGE_MS: u64 = 6_000;
/// Mean time between the starts of two faults.
const MEAN_GAP: Duration = Duration::from_millis(600);
/// Mean time between the starts of two faults of a kind that is drawn apart from the others.
const SERIES_GAP: Duration = Duration::from_millis(2_500);
/// Shortest and longest time for which an upstream names a limit. Routers have to keep to it some
/// seconds after its begin.
const MIN_LIMIT: Duration = Duration::from_millis(1_000);
const MAX_LIMIT: Duration = Duration::from_millis(12_000);
/// Shortest and longest time for which a data centre is cut off from all upstreams.
const MIN_CUT_OFF: Duration = Duration::from_millis(5_000);
const MAX_CUT_OFF: Duration = Duration::from_millis(9_000);
/// Shortest and longest time for which a data centre is evacuated. Routers have to keep to it some
/// seconds after its begin.
const MIN_EVACUATION: Duration = Duration::from_millis(1_000);
const MAX_EVACUATION: Duration = Duration::from_millis(9_000);
/// One of this many drawn evacuations is kept, so that the data centres are in use most of the time.
const EVERY_EVACUATION: usize = 3;
/// Longest time for which callers send a request that ends upstreams, and the highest rate.
const MAX_DEADLY: Duration = Duration::from_secs(20);
const MAX_DEADLY_PER_S: u32 = 20;
/// Maximum number of routers whose addresses can have aliases.
const MAX_PROXIED_ROUTERS: usize = 120;
/// Part of the seed from which the faults are drawn that are drawn apart.
const APART: u64 = 0x6c69_6d69_7473;
/// Probability that a fault repeats the previous one, on the same subject.
const SERIES_SHARE: f64 = 0.2;

/// Network link that a fault can impair.
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
    /// Between a router and all other routers.
    #[display("router {_0} to other routers")]
    Peers(usize),
}

/// Impairment of a link.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Impairment {
    /// Bytes are delayed.
    #[display("delayed by {} ms", _0.as_millis())]
    Delay(Duration),
    /// No bytes pass towards the server.
    #[display("cut towards the server")]
    CutForward,
    /// No bytes pass towards the client.
    #[display("cut towards the client")]
    CutBackward,
    /// No bytes pass in either direction.
    #[display("cut both ways")]
    Cut,
    /// Open connections are reset.
    #[display("reset")]
    Reset,
    /// Open connections stay open but pass no more bytes; new connections work.
    #[display("silenced")]
    Silence,
}

/// Degradation of the store.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Degradation {
    /// The store refuses every call with 503.
    #[display("down")]
    Down,
    /// Calls are delayed.
    #[display("slow by {} ms", _0.as_millis())]
    Slow(Duration),
    /// Some answers are lost after the call took effect.
    #[display("loses answers")]
    LosesAnswers,
    /// Some writes take effect late and get no answer.
    #[display("writes late")]
    WritesLate,
}

/// Failure of an upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Failure {
    /// The upstream ends without notice and is replaced by another one.
    #[display("dies")]
    Crashes,
    /// The upstream ends without notice and starts again under the same name.
    #[display("restarts")]
    Restarts,
    /// The upstream registers that it leaves, ends later, and is replaced.
    #[display("leaves")]
    Leaves,
    /// The upstream is suspended for a time.
    #[display("pauses")]
    Pauses,
    /// The upstream takes longer for each request.
    #[display("slows down")]
    Slows,
    /// The upstream runs requests and loses some answers.
    #[display("loses answers")]
    LosesAnswers,
    /// The upstream fails some requests.
    #[display("fails some requests")]
    FailsRequests,
    /// The upstream answers some requests with the answer to another one.
    #[display("swaps answers")]
    SwapsAnswers,
    /// The upstream carries orders out late and doesn't answer them.
    #[display("carries orders out late")]
    LateOrders,
    /// The upstream announces that it leaves in its answers but not in the registry, then
    /// ends and is replaced.
    #[display("announces that it leaves")]
    AnnouncesLeaving,
    /// The upstream refuses some requests and asks for a pause.
    #[display("asks for pauses")]
    Defers,
    /// The upstream starts some answers and never ends them.
    #[display("sends endless answers")]
    EndlessAnswers,
    /// The upstream names a limit to the requests from all routers.
    #[display("names a limit")]
    Limits,
}

/// Fault to inject.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Fault {
    /// A router is killed and started again.
    #[display("router {_0} killed")]
    Kill(usize),
    /// All routers are killed at once and started again.
    #[display("all routers killed")]
    KillAll,
    /// A router is suspended with SIGSTOP for a time.
    #[display("router {_0} paused")]
    Pause(usize),
    /// A router gets SIGTERM, is killed after its grace period, and is started again.
    #[display("router {_0} told to stop")]
    Terminate(usize),
    /// A router gets SIGHUP to reload its settings file.
    #[display("router {_0} told to reload")]
    Reload(usize),
    /// A link is impaired.
    #[display("{_0}: {_1}")]
    Link(Link, Impairment),
    /// The store is degraded.
    #[display("store: {_0}")]
    Store(Degradation),
    /// The store discards its history of changes.
    #[display("store: discards its history")]
    DiscardHistory,
    /// The store is restored from a snapshot of this age.
    #[display("store: restored from a snapshot {} ms old", _0.as_millis())]
    Restore(Duration),
    /// An upstream fails in some way.
    #[display("upstream {_0}: {_1}")]
    Upstream(usize, Failure),
    /// Callers send a request again and again that ends each upstream that begins to run it.
    #[display("a request of {prefix} ends upstreams, sent {per_s} times a second")]
    Deadly {
        /// Prefix of the request's path.
        prefix: &'static str,
        /// Mean number of requests a second.
        per_s: u32,
    },
    /// The routers of a data centre lose the path to all upstreams.
    #[display("data centre {_0} cut off from all upstreams, {_1}")]
    CutOff(usize, Cut),
    /// The operator evacuates a data centre, and takes it back.
    #[display("data centre {_0} evacuated")]
    Evacuate(usize),
    /// The operator changes the configuration.
    #[display("configuration changed")]
    Configure,
}

/// Fault with its time and duration.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{:6.2} s, for {:.2} s: {fault}", at.as_secs_f64(), span.as_secs_f64())]
pub struct Event {
    /// Time from the start of the schedule.
    pub at: Duration,
    /// Duration of the fault, if it has one.
    pub span: Duration,
    /// Fault to inject.
    pub fault: Fault,
}

/// Draws the faults of a run of `length` with these numbers of routers and upstreams. The
/// same arguments give the same faults.
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
    let mut events = draw_mixed(seed, length, routers, upstreams);
    // Drawn apart, so that the other faults of a seed stay as they were.
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ APART);
    let limits = draw_series(&mut random, length, MIN_LIMIT..MAX_LIMIT, |random| {
        Fault::Upstream(random.random_range(0..upstreams), Failure::Limits)
    });
    events.extend(limits);
    if has_peer_links(seed, routers) {
        let cuts = draw_series(&mut random, length, MIN_FAULT..MAX_FAULT, |random| {
            Fault::Link(
                Link::Peers(random.random_range(0..routers)),
                impairment(random),
            )
        });
        events.extend(cuts);
    }
    if has_deadly(seed) {
        if is_calm(seed) {
            events.retain(|event| matches!(event.fault, Fault::Upstream(..) | Fault::Configure));
        }
        events.extend(draw_deadly(&mut random, length));
    }
    if has_cut_offs(seed) {
        // Routers are compared only in calm, and the checker can't tell which router an
        // announcement of an upstream reached.
        let is_left_out = |fault: &Fault| {
            use Failure::{AnnouncesLeaving, Defers, Limits};
            matches!(
                fault,
                Fault::Upstream(_, Defers | Limits | AnnouncesLeaving)
                    | Fault::Store(_)
                    | Fault::Restore(_)
                    | Fault::Link(..)
                    | Fault::KillAll
            )
        };
        events.retain(|event| !is_left_out(&event.fault));
        // The routers of the other one can serve all callers.
        let data_centre = seed as usize / 8 % DATA_CENTRES;
        let cuts = draw_series(&mut random, length, MIN_CUT_OFF..MAX_CUT_OFF, |random| {
            let cut = if random.random_bool(0.5) {
                Cut::Reset
            } else {
                Cut::LiveOn
            };
            Fault::CutOff(data_centre, cut)
        });
        events.extend(cuts);
    }
    if has_clusters(seed) && !is_calm(seed) {
        events.extend(cluster::draw(&mut random, length, routers, upstreams));
    }
    if has_evacuations(seed) {
        let evacuations = draw_series(
            &mut random,
            length,
            MIN_EVACUATION..MAX_EVACUATION,
            |random| Fault::Evacuate(random.random_range(0..DATA_CENTRES)),
        );
        events.extend(evacuations.into_iter().step_by(EVERY_EVACUATION));
    }
    events.sort_by_key(|event| event.at);
    events
}

/// Whether the links between routers can be impaired in the run of a seed. They lead through
/// proxies then, which hide whether the process at the other end has ended.
pub(crate) fn has_peer_links(seed: u64, routers: usize) -> bool {
    seed.is_multiple_of(2) && routers <= MAX_PROXIED_ROUTERS
}

/// Whether the configuration of the run of a seed has thousands of routes, and one router a slow link.
pub(crate) fn has_large_configurations(seed: u64) -> bool {
    seed % 4 == 2
}

/// Whether data centres are cut off from all upstreams in the run of a seed. The paths to upstreams lead
/// through further proxies then, which hide whether an upstream has ended.
pub(crate) fn has_cut_offs(seed: u64) -> bool {
    seed % 8 == 5 && !has_deadly(seed)
}

/// Whether data centres are evacuated in the run of a seed.
pub(crate) fn has_evacuations(seed: u64) -> bool {
    seed % 3 == 2 && !has_cut_offs(seed) && !has_deadly(seed)
}

/// Whether faults that concern the holders of keys meet in the run of a seed.
fn has_clusters(seed: u64) -> bool {
    seed % 3 == 1
}

/// Whether a request ends upstreams in the run of a seed.
fn has_deadly(seed: u64) -> bool {
    seed % 5 == 4
}

/// Whether only upstreams fail in the run of a seed, so that its routers stay in touch.
fn is_calm(seed: u64) -> bool {
    seed % 10 == 4
}

fn draw_deadly(random: &mut ChaCha8Rng, length: Duration) -> Option<Event> {
    let at = Duration::from_millis(random.random_range(0..2_000));
    let longest = MAX_DEADLY.min(length.checked_sub(at)?);
    let kind = Kind::ALL[random.random_range(0..Kind::ALL.len())];
    let fault = Fault::Deadly {
        prefix: kind.prefix(),
        per_s: random.random_range(1..=MAX_DEADLY_PER_S),
    };
    let span = longest.mul_f64(random.random_range(0.6..1.0));
    Some(Event { at, span, fault })
}

/// Draws faults of one kind.
fn draw_series(
    random: &mut ChaCha8Rng,
    length: Duration,
    spans: Range<Duration>,
    fault: impl Fn(&mut ChaCha8Rng) -> Fault,
) -> Vec<Event> {
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += SERIES_GAP.mul_f64(random.random_range(0.0..2.0));
        let longest = spans.end.min(length.saturating_sub(at));
        if longest <= spans.start {
            return events;
        }
        let span = random.random_range(spans.start..longest);
        let fault = fault(random);
        events.push(Event { at, span, fault });
    }
}

fn draw_mixed(seed: u64, length: Duration, routers: usize, upstreams: usize) -> Vec<Event> {
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
        8 => Fault::DiscardHistory,
        9 | 10 => Fault::Configure,
        11 | 12 => Fault::Store(degradation(random)),
        13 => Fault::Link(Link::Front(router), impairment(random)),
        14 => Fault::Link(Link::Store(router), impairment(random)),
        15 | 16 => Fault::Link(Link::Upstream(upstream), impairment(random)),
        17 | 18 => Fault::Restore(Duration::from_millis(
            random.random_range(0..MAX_SNAPSHOT_AGE_MS),
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
    *impairments.choose(random).expect("the list isn't empty")
}

fn degradation(random: &mut ChaCha8Rng) -> Degradation {
    let delay = Duration::from_millis(random.random_range(20..800));
    let degradations = [
        Degradation::Down,
        Degradation::Slow(delay),
        Degradation::LosesAnswers,
        Degradation::WritesLate,
    ];
    *degradations.choose(random).expect("the list isn't empty")
}

fn failure(random: &mut ChaCha8Rng) -> Failure {
    let failures = [
        Failure::Crashes,
        Failure::Restarts,
        Failure::Leaves,
        Failure::Pauses,
        Failure::Slows,
        Failure::LosesAnswers,
        Failure::FailsRequests,
        Failure::SwapsAnswers,
        Failure::LateOrders,
        Failure::AnnouncesLeaving,
        Failure::Defers,
        Failure::EndlessAnswers,
    ];
    *failures.choose(random).expect("the list isn't empty")
}
