//! Which ranges should change hands.
//!
//! Load answered: keys whose popularity is very uneven, with runs of a few
//! dozen neighbours that suddenly get much of the traffic, on upstreams of
//! different speed that come and go. A range is cut down to a few keys where
//! that is what it takes, and a narrow hot piece moves before a wide cold one.

use std::collections::HashMap;

use crate::map::{Life, Map, Range};
use crate::weights::Load;

/// Difference in use between two upstreams, relative to the mean, that is
/// worth a move even if the counts are certain.
const MIN_IMBALANCE: f64 = 0.25;
/// Standard deviations of the counts that a difference must exceed.
const NOISE_DEVIATIONS: f64 = 1.5;
/// A piece up to this much larger than wanted moves whole, without a cut.
const WHOLE_TOLERANCE: f64 = 1.3;
/// Largest and smallest piece that is worth a move, relative to what would make
/// donor and receiver equal.
const MAX_OVERSHOOT: f64 = 1.5;
const MIN_PIECE: f64 = 0.2;
/// Share of an upstream's capacity that one key must take to be moved for its
/// own sake, and how much faster the receiver must be.
const HOT_SHARE: f64 = 0.5;
const MIN_LIFT: f64 = 1.3;
/// Smallest load that is worth a move away from an upstream that one key
/// overloads, as a share of its capacity: about what a range of rarely asked
/// keys carries.
const MIN_RELIEF: f64 = 0.02;
/// Ranges per upstream above which neighbours are merged.
const MAX_RANGES_PER_UPSTREAM: usize = 6;
/// Ranges above which neighbours are merged and none is cut any more: a range takes up
/// to 50 bytes of the 64 KB of a row.
const MAX_RANGES: usize = 1_200;

/// Upstream that may hold keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its present life.
    pub life: Life,
    /// Requests per second that it can work on.
    pub capacity_per_s: f64,
    /// Whether it is about to leave, and gives up its keys.
    pub leaving: bool,
}

/// What the staying upstreams carry and can carry.
struct Book<'a> {
    load: &'a Load,
    /// In the order of their names, so that the same input gives the same plan.
    lives: Vec<&'a Life>,
    numbers: HashMap<&'a Life, usize>,
    /// Requests per second, by number.
    capacity: Vec<f64>,
    carried: Vec<f64>,
    target: f64,
}

/// Returns a better map, or `None` if the present one should stay.
///
/// `is_fixed` names ranges that may not be touched now. At most `max_moves`
/// ranges with a live holder change hands; ranges without one all get one.
pub fn improve(
    map: &Map,
    load: &Load,
    candidates: &[Candidate],
    is_fixed: impl Fn(&Range) -> bool,
    max_moves: usize,
) -> Option<Map> {
    let mut staying: Vec<&Candidate> = candidates.iter().filter(|other| !other.leaving).collect();
    staying.sort_by(|one, other| one.life.upstream.cmp(&other.life.upstream));
    if staying.is_empty() {
        return None;
    }
    let upstreams = staying.len();
    let mut book = Book::new(staying, load);
    let servable = load.total() - unservable(map, &book);
    book.target = servable / book.capacity.iter().sum::<f64>();
    book.count(map);
    let mut next = map.clone();
    let housed = house(&mut next, &mut book, &is_fixed);
    let mut moved = 0;
    let may_cut = |map: &Map| map.ranges.len() < MAX_RANGES;
    while moved < max_moves && may_cut(&next) && lift(&mut next, &mut book, &is_fixed) {
        moved += 1;
    }
    while moved < max_moves && may_cut(&next) && shift(&mut next, &mut book, &is_fixed) {
        moved += 1;
    }
    let most = MAX_RANGES.min(MAX_RANGES_PER_UPSTREAM * (upstreams + 1));
    if next.ranges.len() > most {
        merge(&mut next, &is_fixed);
    }
    (housed || moved > 0).then_some(next)
}

/// Load of single keys beyond what their holders can serve. Nobody can serve
/// it, so it counts for no one's balance.
fn unservable(map: &Map, book: &Book<'_>) -> f64 {
    let beyond = |range: &Range| {
        let holder = book.holder(range)?;
        let beyond = book.load.of(range) - book.capacity[holder];
        (range.from == range.to).then_some(beyond.max(0.0))
    };
    map.ranges.iter().filter_map(beyond).sum()
}

impl<'a> Book<'a> {
    fn new(staying: Vec<&'a Candidate>, load: &'a Load) -> Self {
        let lives: Vec<&Life> = staying.iter().map(|candidate| &candidate.life).collect();
        let numbered = lives.iter().enumerate();
        Self {
            load,
            numbers: numbered.map(|(number, life)| (*life, number)).collect(),
            capacity: staying
                .iter()
                .map(|candidate| candidate.capacity_per_s.max(0.1))
                .collect(),
            carried: vec![0.0; lives.len()],
            lives,
            target: 0.0,
        }
    }

    /// Number of the upstream that holds a range, if it stays.
    fn holder(&self, range: &Range) -> Option<usize> {
        self.numbers.get(range.holder.as_ref()?).copied()
    }

    /// Whether an upstream holds a range.
    fn holds(&self, upstream: usize, range: &Range) -> bool {
        range.holder.as_ref() == Some(self.lives[upstream])
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
        let all = 0..self.lives.len();
        all.min_by(by_usage).expect("there is a candidate")
    }

    /// Returns all upstreams, the most used first.
    fn by_usage(&self) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.lives.len()).collect();
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

    fn room(&self, upstream: usize) -> f64 {
        self.target * self.capacity[upstream] - self.carried[upstream]
    }
}

/// Gives every range without a staying holder to the least used upstreams.
fn house(map: &mut Map, book: &mut Book<'_>, is_fixed: &impl Fn(&Range) -> bool) -> bool {
    let mut housed = false;
    let mut index = 0;
    while index < map.ranges.len() {
        let range = &map.ranges[index];
        if book.holder(range).is_some() || is_fixed(range) {
            index += 1;
            continue;
        }
        let receiver = book.least_used();
        let room = book
            .room(receiver)
            .max(0.1 * book.target * book.capacity[receiver]);
        if book.load.of(range) > WHOLE_TOLERANCE * room {
            let end = book.load.reach(range.from, range.to, room);
            if end < range.to {
                map.cut_before(end + 1);
            }
        }
        let carried = book.load.of(&map.ranges[index]);
        book.carried[receiver] += carried;
        map.reassign(index, book.lives[receiver].clone());
        housed = true;
        index += 1;
    }
    housed
}

/// Moves one piece from the most used upstream that can give one to the least
/// used.
fn shift(map: &mut Map, book: &mut Book<'_>, is_fixed: &impl Fn(&Range) -> bool) -> bool {
    let receiver = book.least_used();
    let per_upstream = (book.load.counted / book.capacity.len() as f64).max(1.0);
    let noise = NOISE_DEVIATIONS / per_upstream.sqrt();
    let least = book.usage(receiver) + book.target * (MIN_IMBALANCE + noise);
    for donor in book.by_usage() {
        if book.usage(donor) <= least {
            return false;
        }
        let uncut = map.clone();
        if give(map, book, is_fixed, donor, receiver) {
            return true;
        }
        *map = uncut;
    }
    false
}

/// Moves one piece from `donor` to `receiver`, unless no range fits. The map may
/// be cut in vain.
fn give(
    map: &mut Map,
    book: &mut Book<'_>,
    is_fixed: &impl Fn(&Range) -> bool,
    donor: usize,
    receiver: usize,
) -> bool {
    // What makes both equally used.
    let (from, to) = (book.capacity[donor], book.capacity[receiver]);
    let equal = (book.usage(donor) - book.usage(receiver)) * from * to / (from + to);
    let too_hot = to.min(MAX_OVERSHOOT * equal);
    let is_stuck = isolate(map, book, is_fixed, donor, too_hot);
    let movable = |range: &&Range| book.holds(donor, range) && !is_fixed(range);
    let mut ranges: Vec<Range> = map.ranges.iter().filter(movable).cloned().collect();
    ranges.sort_by(|a, b| book.load.of(b).total_cmp(&book.load.of(a)));
    // A piece that fills the receiver stays with it; one that made both equal would
    // have to be divided again after it has arrived.
    let room = book.room(receiver).max(MIN_IMBALANCE * book.target * to);
    let wanted = equal.min(room);
    let (most, least) = if is_stuck {
        // The key stays; what else the donor holds goes, as far as it fits.
        (MAX_OVERSHOOT * wanted, MIN_RELIEF * from)
    } else {
        (MAX_OVERSHOOT * equal, MIN_PIECE * wanted)
    };
    for range in ranges {
        if range.from == range.to && book.load.of(&range) > too_hot {
            continue;
        }
        let uncut = map.clone();
        let piece = cut(map, &range, book.load, wanted);
        let carried = book.load.of(&map.ranges[piece]);
        // If one key is hotter than that, a move would only change who is
        // overloaded; other ranges of the donor may still help.
        if carried > most {
            *map = uncut;
            continue;
        }
        if carried < least {
            return false;
        }
        book.transfer(donor, receiver, carried);
        map.reassign(piece, book.lives[receiver].clone());
        return true;
    }
    false
}

/// Cuts out the keys of an upstream that carry more than `too_hot`, and returns
/// whether there are any.
fn isolate(
    map: &mut Map,
    book: &Book<'_>,
    is_fixed: &impl Fn(&Range) -> bool,
    donor: usize,
    too_hot: f64,
) -> bool {
    let own = map.ranges.iter().filter(|range| book.holds(donor, range));
    let hot: Vec<(u16, bool)> = own
        .filter(|range| book.load.of(range) > too_hot)
        .map(|range| (book.load.hottest(range), is_fixed(range)))
        .filter(|((_, heat), _)| *heat > too_hot)
        .map(|((key, _), is_fixed)| (key, is_fixed))
        .collect();
    for (key, _) in hot.iter().filter(|(_, is_fixed)| !is_fixed) {
        cut_out(map, *key);
    }
    !hot.is_empty()
}

/// Moves the hottest key of an overloaded upstream to the fastest one that has
/// no such key, if that is clearly faster. One key can't be divided, so this is
/// all that can be done for its callers; other ranges of the receiver move away
/// as it fills.
fn lift(map: &mut Map, book: &mut Book<'_>, is_fixed: &impl Fn(&Range) -> bool) -> bool {
    let heats = heats(map, book);
    for (place, donor) in book.by_usage().into_iter().enumerate() {
        if place > 0 && book.usage(donor) <= 1.0 {
            return false;
        }
        let capacity = book.capacity[donor];
        let own = map
            .ranges
            .iter()
            .filter(|range| book.holds(donor, range) && !is_fixed(range));
        let hottest = own
            .map(|range| book.load.hottest(range))
            .max_by(|a, b| a.1.total_cmp(&b.1));
        let Some((key, heat)) = hottest.filter(|(_, heat)| *heat > HOT_SHARE * capacity) else {
            continue;
        };
        let free = (0..heats.len()).filter(|other| heats[*other] <= HOT_SHARE * capacity);
        let by_capacity = |a: &usize, b: &usize| {
            let by_name = || b.cmp(a);
            let order = book.capacity[*a].total_cmp(&book.capacity[*b]);
            order.then_with(by_name)
        };
        let fastest = free.max_by(by_capacity);
        let is_faster = |other: &usize| book.capacity[*other] >= MIN_LIFT * capacity;
        let Some(receiver) = fastest.filter(is_faster) else {
            continue;
        };
        let piece = cut_out(map, key);
        book.transfer(donor, receiver, heat);
        map.reassign(piece, book.lives[receiver].clone());
        return true;
    }
    false
}

/// Returns the load of the hottest key of each upstream, by number.
fn heats(map: &Map, book: &Book<'_>) -> Vec<f64> {
    let mut heats = vec![0.0_f64; book.lives.len()];
    for range in &map.ranges {
        if let Some(holder) = book.holder(range) {
            heats[holder] = heats[holder].max(book.load.hottest(range).1);
        }
    }
    heats
}

/// Makes one key a range of its own, and returns its index.
fn cut_out(map: &mut Map, key: u16) -> usize {
    map.cut_before(key);
    if key < u16::MAX {
        map.cut_before(key + 1);
    }
    index_of(map, key)
}

/// Cuts a piece of the wanted load off one end of a range, the end where that
/// takes fewer keys, and returns its index.
fn cut(map: &mut Map, range: &Range, load: &Load, wanted: f64) -> usize {
    let whole = load.of(range);
    if whole > WHOLE_TOLERANCE * wanted && range.from < range.to {
        let low_end = load.reach(range.from, range.to, wanted).min(range.to - 1);
        let high_start = load
            .reach(range.from, range.to, whole - wanted)
            .max(range.from + 1);
        if low_end - range.from <= range.to - high_start {
            map.cut_before(low_end + 1);
            return index_of(map, range.from);
        }
        map.cut_before(high_start);
        return index_of(map, high_start);
    }
    index_of(map, range.from)
}

fn index_of(map: &Map, key: u16) -> usize {
    map.ranges.partition_point(|range| range.to < key)
}

/// Joins settled neighbours of one holder under a new fencing token.
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
