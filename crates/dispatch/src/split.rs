//! Distribution of a route's requests among its parts by weight.

use crate::directory::Part;

/// Smooth weighted round robin: over any run of requests, each part's share differs from its weight
/// by less than one request per part.
///
/// ```
/// use eelgrassrock_dispatch::Split;
/// use eelgrassrock_dispatch::directory::Part;
///
/// let part = |service: &str, weight| Part { service: service.into(), weight };
/// let parts = [part("old", 3), part("new", 1)];
/// let mut split = Split::default();
/// let chosen: Vec<usize> = (0..4).map(|_| split.choose(&parts)).collect();
/// assert_eq!(chosen.iter().filter(|&&part| part == 1).count(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Split {
    credits: Vec<i64>,
}

impl Split {
    /// Returns the index of the part that takes the next request.
    ///
    /// # Panics
    ///
    /// Panics if there is no part.
    pub fn choose(&mut self, parts: &[Part]) -> usize {
        assert!(!parts.is_empty(), "a route has at least one part");
        self.credits.resize(parts.len(), 0);
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += i64::from(part.weight);
        }
        let most = |&index: &usize| (self.credits[index], std::cmp::Reverse(index));
        let chosen = (0..parts.len()).max_by_key(most).unwrap_or(0);
        self.credits[chosen] -= total;
        chosen
    }
}
