//! Choice of shards that move to make upstreams equally loaded.

use eelgrassrock_model::Upstream;
use eelgrassrock_model::fleet::Goal;
use eelgrassrock_model::shard::Shard;

use crate::place::Share;

/// Busy share above the mean, in percent, that is tolerated.
const fn tolerance_percent(goal: Goal) -> usize {
    match goal {
        Goal::Availability => 50,
        Goal::Balance => 15,
    }
}

/// Number of shards above the mean, in percent, that is tolerated.
const fn slack_percent(goal: Goal) -> usize {
    match goal {
        Goal::Availability => 25,
        Goal::Balance => 5,
    }
}

/// Busy share of the slots below which nothing is moved to relieve an
/// upstream.
const fn least_busy(goal: Goal) -> f64 {
    match goal {
        Goal::Availability => 0.7,
        Goal::Balance => 0.02,
    }
}

/// Busy share up to which upstreams are filled, relative to the mean.
const FILL_LIMIT: f64 = 1.05;

/// Upstream with the busy share of its slots.
#[derive(Clone, Debug)]
pub(crate) struct Busy {
    pub(crate) upstream: Upstream,
    pub(crate) share: f64,
}

/// Returns how many shards `me` gives to each other upstream so that all own
/// about the same number. Every home computes the same matching of those that
/// own too many with those that own too few, and carries out its part.
pub(crate) fn even(shares: &[Share], me: &Upstream, goal: Goal) -> Vec<(Upstream, usize)> {
    let total: usize = shares.iter().map(|it| it.shards).sum();
    let Some(mean) = total.checked_div(shares.len()) else {
        return Vec::new();
    };
    let ceiling = total.div_ceil(shares.len());
    let limit = ceiling + ceiling * slack_percent(goal) / 100;
    let floor = mean - mean * slack_percent(goal) / 100;
    let uneven = shares
        .iter()
        .any(|it| it.shards > limit || it.shards < floor);
    if !uneven {
        return Vec::new();
    }
    let mut gifts = Vec::new();
    let mut takers = shares.iter().filter(|it| it.shards < mean);
    let mut taker = takers.next().map(|it| (it, mean - it.shards));
    for donor in shares.iter().filter(|it| it.shards > ceiling) {
        let mut excess = donor.shards - ceiling;
        while let Some((to, lack)) = taker.filter(|_| excess > 0) {
            let count = excess.min(lack);
            excess -= count;
            if donor.upstream == *me {
                gifts.push((to.upstream.clone(), count));
            }
            taker = if lack > count {
                Some((to, lack - count))
            } else {
                takers.next().map(|it| (it, mean - it.shards))
            };
        }
    }
    gifts
}

/// Returns the shards that leave an upstream which is busier than the mean.
/// `shards` holds the busy share of each shard that may move, `own` that of
/// the upstream. A shard moves only where it fits below the mean, so that a hot
/// shard stays and the others leave.
pub(crate) fn relieve(
    shards: &[(Shard, f64)],
    own: f64,
    others: &[Busy],
    goal: Goal,
) -> Vec<(Upstream, Vec<Shard>)> {
    let sum: f64 = others.iter().map(|it| it.share).sum();
    let mean = (sum + own) / (others.len() + 1) as f64;
    let tolerated = mean * (100 + tolerance_percent(goal)) as f64 / 100.0;
    if own < least_busy(goal) || own <= tolerated {
        return Vec::new();
    }
    let mut own = own;
    let mut others: Vec<(Busy, Vec<Shard>)> =
        others.iter().map(|it| (it.clone(), Vec::new())).collect();
    let mut shards: Vec<_> = shards.iter().filter(|(_, busy)| *busy > 0.0).collect();
    shards.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    for (shard, busy) in shards {
        let least = others
            .iter_mut()
            .min_by(|a, b| a.0.share.total_cmp(&b.0.share));
        let Some((to, moved)) = least else {
            break;
        };
        if own <= mean {
            break;
        }
        if to.share + busy <= mean * FILL_LIMIT {
            to.share += busy;
            own -= busy;
            moved.push(*shard);
        }
    }
    let moves = others.into_iter().map(|(to, moved)| (to.upstream, moved));
    moves.filter(|(_, moved)| !moved.is_empty()).collect()
}

/// Divides shards with known busy shares so that the receivers become equally
/// busy: the busiest shard goes first, to the least busy receiver. A shard
/// without load counts with `least`.
pub(crate) fn divide(
    shards: &[(Shard, f64)],
    receivers: &[Busy],
    least: f64,
) -> Vec<(Upstream, Vec<Shard>)> {
    let mut receivers: Vec<(Busy, Vec<Shard>)> = receivers
        .iter()
        .map(|it| (it.clone(), Vec::new()))
        .collect();
    let mut shards = shards.to_vec();
    shards.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    for (shard, busy) in shards {
        let first = receivers
            .iter_mut()
            .min_by(|a, b| a.0.share.total_cmp(&b.0.share));
        if let Some((to, part)) = first {
            to.share += busy.max(least);
            part.push(shard);
        }
    }
    for (_, part) in &mut receivers {
        part.sort();
    }
    let parts = receivers.into_iter().map(|(to, part)| (to.upstream, part));
    parts.filter(|(_, part)| !part.is_empty()).collect()
}
