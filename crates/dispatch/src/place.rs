//! Position of a router among those of its data centre, and the upstreams that it prefers.
//!
//! With hundreds of routers, each sends an upstream so few requests that it learns nothing about
//! it, keeps connections that it never uses again, and would need the counts of every other router
//! to know how busy the upstream is. The routers and upstreams of a data centre are therefore laid
//! out evenly on a ring, in a fixed order, and each router prefers a *subset*: the upstreams that
//! follow its own position. Routers with overlapping subsets tell each other how many requests they
//! have under way there.
//!
//! Positions are shares of the ring, so one more router or upstream shifts each subset by at most
//! one upstream. Rendezvous hashing is less even: with 61 upstreams and subsets of 8, some
//! upstreams are in 2 subsets and others in 16.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Minimum number of upstreams in a subset: few enough that a router knows them well, and enough
/// that one of them is nearly always free. In the simulation of `tests/fleet.rs` with 4 to 12, more
/// routers have to exchange counts beyond 6, and hardly more requests are answered in time.
const SUBSET: usize = 6;
/// Minimum number of subsets that each upstream is in, so that none depends on one router.
const SUBSETS_PER_UPSTREAM: f64 = 2.0;

/// Position of a router on the ring of its data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    index: usize,
    routers: usize,
    /// Share of the ring that a subset covers, at most 1.
    share: f64,
}

impl Default for Place {
    /// Returns the place of a router that is alone.
    fn default() -> Self {
        Self {
            index: 0,
            routers: 1,
            share: 1.0,
        }
    }
}

impl Place {
    /// Places router number `index` of `routers` in the order of [`order`]. `upstreams` is the
    /// smallest number of upstreams that a service has in the data centre.
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

    /// Returns the index of the first upstream of the subset and the length of the subset, for a
    /// service with this number of `upstreams` in the data centre.
    pub(crate) fn subset(&self, upstreams: usize) -> (usize, usize) {
        let start = self.index * upstreams / self.routers;
        let length = (self.share * upstreams as f64).ceil() as usize;
        (start, length.clamp(SUBSET.min(upstreams), upstreams))
    }

    /// Whether the subset of router number `other` overlaps this router's subset.
    pub fn is_neighbour(&self, other: usize) -> bool {
        let apart = self.index.abs_diff(other);
        let apart = apart.min(self.routers.saturating_sub(apart));
        apart <= self.reach()
    }

    /// Returns the number of routers whose subsets overlap this router's subset.
    pub(crate) fn neighbours(&self) -> usize {
        (2 * self.reach()).min(self.routers.saturating_sub(1))
    }

    /// Returns how far apart on the ring neighbours may be.
    fn reach(&self) -> usize {
        (self.share * self.routers as f64 + 1.0) as usize
    }
}

/// Returns the sort key of a name on the ring. It is the same at all routers and independent of the
/// alphabetical order.
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

/// Returns the data centre whose upstreams a router prefers: its own, or one of the `others` while its
/// own is evacuated. `others` are the sorted names of the data centres that can take its requests.
///
/// The load answered: the routers of an evacuated data centre, up to half of all. Without a ring to
/// share they would choose among all other upstreams, without the counts of anybody else's requests
/// there, and overfill some of them. All routers work out the same, and only the routers of a data
/// centre that comes or goes change theirs.
///
/// ```
/// use eelgrassrock_dispatch::place::home;
///
/// let (own, others) = ("dc-a".into(), ["dc-b".into(), "dc-c".into()]);
/// assert!(others.contains(home("router-1", &own, &others)));
/// assert_eq!(home("router-1", &own, &[]), &own);
/// ```
pub fn home<'a>(router: &str, own: &'a Arc<str>, others: &'a [Arc<str>]) -> &'a Arc<str> {
    let index = order(router).checked_rem(others.len() as u64);
    index.map_or(own, |index| &others[index as usize])
}

/// Sorts upstreams: the subset first, then the rest of the data centre in ring order, then the
/// upstreams elsewhere, where each router begins at a different one. Returns them with the length
/// of the subset and the number of upstreams in the data centre, including the subset.
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
