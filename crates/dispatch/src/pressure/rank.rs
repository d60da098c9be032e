//! Share of the requests of one priority that is admitted.

use std::f64::consts::SQRT_2;

/// Smallest share of a kind that is treated like the most urgent one.
const FLOOR: f64 = 1.0 / 3.0;
/// Pressures at which less urgent requests begin to be refused, and at which only the floor is
/// admitted: requests then wait for three tenths of the time to their targets.
const REFUSED_FROM: f64 = 0.1;
const FLOOR_FROM: f64 = 0.3;
/// Weight of one request in the mix of the kinds.
const MIX_SMOOTHING: f64 = 0.02;
/// Initial credit, which is its mean.
const INITIAL_CREDIT: f64 = 0.5;
/// Step of the sequence that spreads returns. Multiples of it, without their whole parts, divide any
/// interval most evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Requests of one priority.
#[derive(Debug)]
pub(super) struct Rank {
    priority: u8,
    credit: f64,
    holder_credit: f64,
    /// Share of this kind among the requests for overloaded holders.
    mix: f64,
    /// Share of this kind among all requests.
    seen: f64,
    /// Position in the sequence that spreads returns.
    position: f64,
}

impl Rank {
    pub(super) fn new(priority: u8, phase: f64) -> Self {
        Self {
            priority,
            credit: INITIAL_CREDIT,
            holder_credit: INITIAL_CREDIT,
            mix: 0.0,
            seen: 0.0,
            position: phase,
        }
    }

    pub(super) fn priority(&self) -> u8 {
        self.priority
    }

    pub(super) fn admits(&mut self, share: f64) -> bool {
        take(&mut self.credit, share)
    }

    pub(super) fn admits_at_holder(&mut self, share: f64) -> bool {
        take(&mut self.holder_credit, share)
    }

    pub(super) fn return_share(&mut self) -> f64 {
        self.position = (self.position + GOLDEN_RATIO).fract();
        self.position
    }
}

/// Returns where a router starts in the sequence. The step is another one than that of the sequence, in
/// which all routers would go through the same positions.
pub(crate) fn phase(router: usize) -> f64 {
    (router as f64 * SQRT_2).fract()
}

/// Whether a request is treated like the most urgent ones. A third of each kind is, which keeps it
/// above the floor.
pub(crate) fn is_promoted(ticket: u64) -> bool {
    (ticket as f64 * GOLDEN_RATIO).fract() < FLOOR
}

/// Returns the share that is admitted of the less urgent requests that aren't promoted.
pub(super) fn share(pressure: f64) -> f64 {
    1.0 - ((pressure - REFUSED_FROM) / (FLOOR_FROM - REFUSED_FROM)).clamp(0.0, 1.0)
}

/// Counts a request.
pub(super) fn count(ranks: &mut [Rank], index: usize) {
    for (other, rank) in ranks.iter_mut().enumerate() {
        record(&mut rank.seen, other == index);
    }
}

/// Counts a request for an overloaded holder.
pub(super) fn count_at_holder(ranks: &mut [Rank], index: usize) {
    for (other, rank) in ranks.iter_mut().enumerate() {
        record(&mut rank.mix, other == index);
    }
}

fn record(share: &mut f64, is_counted: bool) {
    let sample = if is_counted { 1.0 } else { 0.0 };
    *share += (sample - *share) * MIX_SMOOTHING;
}

/// Returns the share of the requests that are more urgent than the kind at `index`.
pub(super) fn share_above(ranks: &[Rank], index: usize) -> f64 {
    let seen = |ranks: &[Rank]| ranks.iter().map(|rank| rank.seen).sum::<f64>();
    let all = seen(ranks);
    if all > 0.0 {
        seen(&ranks[..index]) / all
    } else {
        0.0
    }
}

/// Divides the share of all requests that a holder can serve among the kinds: each gets the floor,
/// and the rest goes to the most urgent first. Returns the share of the kind at `index`.
pub(super) fn split(ranks: &[Rank], index: usize, share: f64) -> f64 {
    let counted: f64 = ranks.iter().map(|rank| rank.mix).sum();
    let floor = FLOOR * share;
    let mut left = share - floor;
    for rank in &ranks[..index] {
        left -= (1.0 - floor) * rank.mix / counted;
    }
    let mix = ranks[index].mix / counted;
    floor + (left / mix).clamp(0.0, 1.0 - floor)
}

/// Admits a share of the requests, evenly.
fn take(credit: &mut f64, share: f64) -> bool {
    *credit += share;
    let is_admitted = *credit >= 1.0;
    if is_admitted {
        *credit -= 1.0;
    }
    is_admitted
}
