//! Where a router stands among those of its data centre, and which upstreams
//! are its own to watch.
//!
//! With hundreds of routers, each sends an upstream so few requests that it learns
//! nothing about it, keeps connections that it never uses again, and would have
//! to hear from everybody else how busy it is. So routers and upstreams of a
//! data centre are laid out on a ring, evenly and in a fixed order, and each
//! router prefers a *subset*: the upstreams that follow its own position. Routers
//! whose subsets overlap tell each other what they have under way there.
//!
//! Positions are shares of the ring, so that one router or upstream more shifts
//! each subset by at most one upstream. Rendezvous hashing was weighed: with 61
//! upstreams and subsets of 8, some upstreams are in 2 subsets and others in 16.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Upstreams in a subset at least: few enough to be watched, and enough that one
/// of them is nearly always free. `tests/fleet.rs` plays 4 to 12: beyond 6, more
/// routers have to be told and hardly more requests are answered in time.
const SUBSET: usize = 6;
/// Subsets that each upstream is in at least, so that none depends on one router.
const SUBSETS_PER_UPSTREAM: f64 = 2.0;

/// Place of a router on the ring of its data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    index: usize,
    routers: usize,
    /// Part of the ring that a subset covers, at most 1.
    share: f64,
}

impl Default for Place {
    /// Place of a router that is alone.
    fn default() -> Self {
        Self {
            index: 0,
            routers: 1,
            share: 1.0,
        }
    }
}

impl Place {
    /// Places router number `index` of `routers` in [`order`]. `upstreams` is the
    /// least number of upstreams that a service has in the data centre.
    ///
    /// ```
    /// use eelgrassrock_dispatch::place::Place;
    ///
    /// let place = Place::new(0, 64, 40);
    /// assert!(place.is_neighbour(8));
    /// assert!(!place.is_neighbour(32));
    /// ```
    pub fn new(index: usize, routers: usize, upstreams: usize) -> Self {
        let routers = routers.max(1);
        let share = SUBSET as f64 / upstreams.max(1) as f64;
        let covering = SUBSETS_PER_UPSTREAM / routers as f64;
        Self {
            index,
            routers,
            share: share.max(covering).min(1.0),
        }
    }

    /// Returns the first upstream of the subset of a service with `upstreams` of
    /// them in the data centre, and the length of the subset.
    pub(crate) fn subset(&self, upstreams: usize) -> (usize, usize) {
        let start = self.index * upstreams / self.routers;
        let length = (self.share * upstreams as f64).ceil() as usize;
        (start, length.clamp(SUBSET.min(upstreams), upstreams))
    }

    /// Whether the subset of router number `other` overlaps the own one.
    pub fn is_neighbour(&self, other: usize) -> bool {
        let apart = self.index.abs_diff(other);
        let apart = apart.min(self.routers.saturating_sub(apart));
        apart as f64 <= self.share * self.routers as f64 + 1.0
    }
}

/// Returns the position of a name in an order that is the same at all routers
/// and doesn't follow the names.
///
/// ```
/// use eelgrassrock_dispatch::place::order;
///
/// assert_eq!(order("router-1"), order("router-1"));
/// ```
pub fn order(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Sorts upstreams: first the subset, then the rest of the data centre in the order
/// of the ring, then the others, among which each router begins at another one.
/// Returns them with the length of the subset and the number of those in the data
/// centre, the subset included.
pub(crate) fn arrange<T>(
    place: &Place,
    items: Vec<T>,
    id: impl Fn(&T) -> &Arc<str>,
    is_near: impl Fn(&T) -> bool,
) -> (Vec<T>, usize, usize) {
    let (mut near, mut far): (Vec<T>, Vec<T>) = items.into_iter().partition(|item| is_near(item));
    near.sort_by_cached_key(|item| order(id(item)));
    far.sort_by_cached_key(|item| order(id(item)));
    let (start, subset) = place.subset(near.len());
    if !near.is_empty() {
        let length = near.len();
        near.rotate_left(start % length);
    }
    if !far.is_empty() {
        let length = far.len();
        far.rotate_left(place.index * length / place.routers % length);
    }
    let in_data_centre = near.len();
    near.append(&mut far);
    (near, subset, in_data_centre)
}
