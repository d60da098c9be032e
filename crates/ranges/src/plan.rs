//! Decides which ranges should change hands.
//!
//! The popularity of keys is very uneven, runs of a few dozen neighbouring keys can suddenly get
//! much of the traffic, and upstreams of different speed come and go. The plan splits a range down
//! to a few keys where necessary, and moves a narrow hot piece before a wide cold one.

use std::collections::HashMap;

use crate::load::Load;
use crate::map::{Instance, Map, Range};

/// Smallest difference in use between two upstreams, relative to the mean, that is worth a move
/// even if the counts are exact.
const MIN_IMBALANCE: f64 = 0.25;
/// Standard deviations of the counts that a difference must exceed as well.
const NOISE_DEVIATIONS: f64 = 1.5;
/// A piece up to this many times the wanted load moves whole, without a split.
const UNCUT_TOLERANCE: f64 = 1.3;
/// Largest and smallest piece that is worth a move, relative to the load that would make donor and
/// receiver equally used.
const MAX_OVERSHOOT: f64 = 1.5;
const MIN_PIECE: f64 = 0.2;
/// Share of an upstream's capacity that one key must take to be moved by itself, and how many times
/// the donor's capacity the receiver must have.
const HOT_SHARE: f64 = 0.5;
const MIN_SPEEDUP: f64 = 1.3;
/// Smallest load that is worth moving away from an upstream that one key overloads, as a share of
/// its capacity. A range of rarely used keys carries about this much.
const MIN_RELIEF: f64 = 0.02;
/// Ranges per upstream above which neighbours are merged.
const MAX_RANGES_PER_UPSTREAM: usize = 6;
/// Number of ranges above which neighbours are merged and none is split any more. A range takes up
/// to 50 bytes, and a row has 64 KB.
const MAX_RANGES: usize = 1_200;

/// Upstream that may be assigned keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its running instance.
    pub instance: Instance,
    /// Requests per second that it can work on.
    pub capacity_per_s: f64,
    /// Whether it is about to leave, and gives up its keys.
    pub leaving: bool,
}

/// Load and capacity of the upstreams that stay.
struct Balance<'a> {
    load: &'a Load,
    /// Sorted by identifier, so that the same input gives the same plan.
    instances: Vec<&'a Instance>,
    indexes: HashMap<&'a Instance, usize>,
    /// Requests per second, by the index in `instances`.
    capacity: Vec<f64>,
    carried: Vec<f64>,
    target: f64,
}

/// Returns a better map, or `None` if the present one should stay.
///
/// `is_fixed` tells which ranges must not be changed now. At most `max_moves` ranges with a staying
/// holder change hands. All ranges without one are assigned to an upstream, unless they are fixed.
pub fn rebalance(
    map: &Map,
    load: &Load,
    candidates: &[Candidate],
    is_fixed: impl Fn(&Range) -> bool,
    max_moves: usize,
) -> Option<Map> {
    let mut staying: Vec<&Candidate> = candidates.iter().filter(|other| !other.leaving).collect();
    staying.sort_by(|one, other| one.instance.upstream.cmp(&other.instance.upstream));
    if staying.is_empty() {
        return None;
    }
    let upstreams = staying.len();
    let mut balance = Balance::new(staying, load);
    let servable = load.total() - unservable(map, &balance);
    balance.target = servable / balance.capacity.iter().sum::<f64>();
    balance.count(map);
    let mut next = map.clone();
    let has_assigned = assign_unowned(&mut next, &mut balance, &is_fixed);
    let mut moved = 0;
    let can_split = |map: &Map| map.ranges.len() < MAX_RANGES;
    while moved < max_moves && can_split(&next) && move_hot_key(&mut next, &mut balance, &is_fixed)
    {
        moved += 1;
    }
    while moved < max_moves && can_split(&next) && move_piece(&mut next, &mut balance, &is_fixed) {
        moved += 1;
    }
    let most = MAX_RANGES.min(MAX_RANGES_PER_UPSTREAM * (upstreams + 1));
    if next.ranges.len() > most {
        merge(&mut next, &is_fixed);
    }
    (has_assigned || moved > 0).then_some(next)
}

/// Returns the load of single keys beyond the capacity of their holders. No upstream can serve it,
/// so it doesn't count for the balance.
fn unservable(map: &Map, balance: &Balance<'_>) -> f64 {
    let beyond = |range: &Range| {
        let holder = balance.holder(range)?;
        let beyond = balance.load.of(range) - balance.capacity[holder];
        (range.from == range.to).then_some(beyond.max(0.0))
    };
    map.ranges.iter().filter_map(beyond).sum()
}

impl<'a> Balance<'a> {
    fn new(staying: Vec<&'a Candidate>, load: &'a Load) -> Self {
        let instances: Vec<&Instance> = staying
            .iter()
            .map(|candidate| &candidate.instance)
            .collect();
        let indexed = instances.iter().enumerate();
        Self {
            load,
            indexes: indexed
                .map(|(number, instance)| (*instance, number))
                .collect(),
            capacity: staying
                .iter()
                .map(|candidate| candidate.capacity_per_s.max(0.1))
                .collect(),
            carried: vec![0.0; instances.len()],
            instances,
            target: 0.0,
        }
    }

    /// Returns the index of the upstream that holds a range, if that upstream stays.
    fn holder(&self, range: &Range) -> Option<usize> {
        self.indexes.get(range.holder.as_ref()?).copied()
    }

    /// Whether an upstream holds a range.
    fn holds(&self, upstream: usize, range: &Range) -> bool {
        range.holder.as_ref() == Some(self.instances[upstream])
    }

    fn count(&mut self, map: &Map) {
        for range in &map.ranges {
            if let Some(holder) = self.holder(range) {
                self.carried[holder] += self.load.of(range);
            }
        }
    }

    fn usage(&self, upstream: usize) -> f64 {
        self.carried[upstream] / self.capacity[upstream]
    }

    fn least_used(&self) -> usize {
        let by_usage = |a: &usize, b: &usize| self.order(*a, *b);
        let all = 0..self.instances.len();
        all.min_by(by_usage).expect("there is a candidate")
    }

    /// Returns the indexes of all upstreams, the most used first.
    fn by_usage(&self) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.instances.len()).collect();
        all.sort_by(|a, b| self.order(*b, *a));
        all
    }

    fn order(&self, a: usize, b: usize) -> std::cmp::Ordering {
        let by_name = || a.cmp(&b);
        self.usage(a).total_cmp(&self.usage(b)).then_with(by_name)
    }

    fn transfer(&mut self, donor: usize, receiver: usize, carried: f64) {
        self.carried[donor] -= carried;
        self.carried[receiver] += carried;
    }

    fn headroom(&self, upstream: usize) -> f64 {
        self.target * self.capacity[upstream] - self.carried[upstream]
    }
}

/// Assigns every range without a staying holder to the least used upstreams.
fn assign_unowned(
    map: &mut Map,
    balance: &mut Balance<'_>,
    is_fixed: &impl Fn(&Range) -> bool,
) -> bool {
    let mut has_assigned = false;
    let mut index = 0;
    while index < map.ranges.len() {
        let range = &map.ranges[index];
        if balance.holder(range).is_some() || is_fixed(range) {
            index += 1;
            continue;
        }
        let receiver = balance.least_used();
        let headroom = balance
            .headroom(receiver)
            .max(0.1 * balance.target * balance.capacity[receiver]);
        if balance.load.of(range) > UNCUT_TOLERANCE * headroom {
            let end = balance.load.split_key(range.from, range.to, headroom);
            if end < range.to {
                map.split_before(end + 1);
            }
        }
        let carried = balance.load.of(&map.ranges[index]);
        balance.carried[receiver] += carried;
        map.reassign(index, balance.instances[receiver].clone());
        has_assigned = true;
        index += 1;
    }
    has_assigned
}

/// Moves one piece from the most used upstream that has a suitable one to the least used upstream.
fn move_piece(
    map: &mut Map,
    balance: &mut Balance<'_>,
    is_fixed: &impl Fn(&Range) -> bool,
) -> bool {
    let receiver = balance.least_used();
    let per_upstream = (balance.load.sample_count / balance.capacity.len() as f64).max(1.0);
    let noise = NOISE_DEVIATIONS / per_upstream.sqrt();
    let least = balance.usage(receiver) + balance.target * (MIN_IMBALANCE + noise);
    for donor in balance.by_usage() {
        if balance.usage(donor) <= least {
            return false;
        }
        let uncut = map.clone();
        if move_between(map, balance, is_fixed, donor, receiver) {
            return true;
        }
        *map = uncut;
    }
    false
}

/// Moves one piece from `donor` to `receiver`. Returns `false` if no range fits; the map may then
/// have been split for nothing.
fn move_between(
    map: &mut Map,
    balance: &mut Balance<'_>,
    is_fixed: &impl Fn(&Range) -> bool,
    donor: usize,
    receiver: usize,
) -> bool {
    // The load that makes both equally used.
    let (from, to) = (balance.capacity[donor], balance.capacity[receiver]);
    let equal = (balance.usage(donor) - balance.usage(receiver)) * from * to / (from + to);
    let max_key_load = to.min(MAX_OVERSHOOT * equal);
    let has_hot_key = isolate(map, balance, is_fixed, donor, max_key_load);
    let movable = |range: &&Range| balance.holds(donor, range) && !is_fixed(range);
    let mut ranges: Vec<Range> = map.ranges.iter().filter(movable).cloned().collect();
    ranges.sort_by(|a, b| balance.load.of(b).total_cmp(&balance.load.of(a)));
    // A piece that fills the receiver stays there. A piece that made both equally used would have
    // to be divided again after it has arrived.
    let headroom = balance
        .headroom(receiver)
        .max(MIN_IMBALANCE * balance.target * to);
    let wanted = equal.min(headroom);
    let (most, least) = if has_hot_key {
        // The hot key stays, and as much as fits of the donor's other load moves.
        (MAX_OVERSHOOT * wanted, MIN_RELIEF * from)
    } else {
        (MAX_OVERSHOOT * equal, MIN_PIECE * wanted)
    };
    for range in ranges {
        if range.from == range.to && balance.load.of(&range) > max_key_load {
            continue;
        }
        let uncut = map.clone();
        let piece = split_off(map, &range, balance.load, wanted);
        let carried = balance.load.of(&map.ranges[piece]);
        // A move of a piece hotter than `most` would only change which upstream is overloaded.
        // Other ranges of the donor may still help.
        if carried > most {
            *map = uncut;
            continue;
        }
        if carried < least {
            return false;
        }
        balance.transfer(donor, receiver, carried);
        map.reassign(piece, balance.instances[receiver].clone());
        return true;
    }
    false
}

/// Splits the keys that carry more than `max_key_load` into ranges of their own, and returns
/// whether the donor has any.
fn isolate(
    map: &mut Map,
    balance: &Balance<'_>,
    is_fixed: &impl Fn(&Range) -> bool,
    donor: usize,
    max_key_load: f64,
) -> bool {
    let own = map
        .ranges
        .iter()
        .filter(|range| balance.holds(donor, range));
    let hot: Vec<(u16, bool)> = own
        .filter(|range| balance.load.of(range) > max_key_load)
        .map(|range| (balance.load.hottest(range), is_fixed(range)))
        .filter(|((_, key_load), _)| *key_load > max_key_load)
        .map(|((key, _), is_fixed)| (key, is_fixed))
        .collect();
    for (key, _) in hot.iter().filter(|(_, is_fixed)| !is_fixed) {
        split_out(map, *key);
    }
    !hot.is_empty()
}

/// Moves the hottest key of an overloaded upstream to the fastest upstream without such a key, if
/// that one is clearly faster. One key can't be divided, so this is all that can be done for its
/// callers. Other ranges of the receiver move away as it fills.
fn move_hot_key(
    map: &mut Map,
    balance: &mut Balance<'_>,
    is_fixed: &impl Fn(&Range) -> bool,
) -> bool {
    let hottest_loads = hottest_loads(map, balance);
    for (place, donor) in balance.by_usage().into_iter().enumerate() {
        if place > 0 && balance.usage(donor) <= 1.0 {
            return false;
        }
        let capacity = balance.capacity[donor];
        let own = map
            .ranges
            .iter()
            .filter(|range| balance.holds(donor, range) && !is_fixed(range));
        let hottest = own
            .map(|range| balance.load.hottest(range))
            .max_by(|a, b| a.1.total_cmp(&b.1));
        let Some((key, key_load)) =
            hottest.filter(|(_, key_load)| *key_load > HOT_SHARE * capacity)
        else {
            continue;
        };
        let free =
            (0..hottest_loads.len()).filter(|other| hottest_loads[*other] <= HOT_SHARE * capacity);
        let by_capacity = |a: &usize, b: &usize| {
            let by_name = || b.cmp(a);
            let order = balance.capacity[*a].total_cmp(&balance.capacity[*b]);
            order.then_with(by_name)
        };
        let fastest = free.max_by(by_capacity);
        let is_faster = |other: &usize| balance.capacity[*other] >= MIN_SPEEDUP * capacity;
        let Some(receiver) = fastest.filter(is_faster) else {
            continue;
        };
        let piece = split_out(map, key);
        balance.transfer(donor, receiver, key_load);
        map.reassign(piece, balance.instances[receiver].clone());
        return true;
    }
    false
}

/// Returns the load of the hottest key of each upstream, by index.
fn hottest_loads(map: &Map, balance: &Balance<'_>) -> Vec<f64> {
    let mut hottest_loads = vec![0.0_f64; balance.instances.len()];
    for range in &map.ranges {
        if let Some(holder) = balance.holder(range) {
            hottest_loads[holder] = hottest_loads[holder].max(balance.load.hottest(range).1);
        }
    }
    hottest_loads
}

/// Makes one key a range of its own, and returns its index.
fn split_out(map: &mut Map, key: u16) -> usize {
    map.split_before(key);
    if key < u16::MAX {
        map.split_before(key + 1);
    }
    index_of(map, key)
}

/// Splits a piece of the wanted load off one end of a range, at the end where it takes fewer keys,
/// and returns its index.
fn split_off(map: &mut Map, range: &Range, load: &Load, wanted: f64) -> usize {
    let whole = load.of(range);
    if whole > UNCUT_TOLERANCE * wanted && range.from < range.to {
        let low_end = load
            .split_key(range.from, range.to, wanted)
            .min(range.to - 1);
        let high_start = load
            .split_key(range.from, range.to, whole - wanted)
            .max(range.from + 1);
        if low_end - range.from <= range.to - high_start {
            map.split_before(low_end + 1);
            return index_of(map, range.from);
        }
        map.split_before(high_start);
        return index_of(map, high_start);
    }
    index_of(map, range.from)
}

fn index_of(map: &Map, key: u16) -> usize {
    map.ranges.partition_point(|range| range.to < key)
}

/// Merges neighbouring ranges of one holder, none of which is in transfer, under a new fencing
/// token.
fn merge(map: &mut Map, is_fixed: &impl Fn(&Range) -> bool) {
    let mut index = 0;
    while index + 1 < map.ranges.len() {
        let (low, high) = (&map.ranges[index], &map.ranges[index + 1]);
        let joinable = low.holder.is_some()
            && low.holder == high.holder
            && low.sources.is_empty()
            && high.sources.is_empty()
            && !is_fixed(low)
            && !is_fixed(high);
        if joinable {
            map.ranges[index].to = high.to;
            map.ranges.remove(index + 1);
            map.ranges[index].fence = map.take_fence();
        } else {
            index += 1;
        }
    }
}
