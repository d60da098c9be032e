//! Selects shards to move so that the upstreams of a service become equally loaded.

use eelgrassrock_model::Upstream;
use eelgrassrock_model::fleet::Goal;
use eelgrassrock_model::shard::Shard;

use crate::placement::Share;

/// Returns by how many percent the utilization of an upstream may exceed the mean before
/// shards move away from it.
const fn utilization_tolerance_percent(goal: Goal) -> usize {
    match goal {
        Goal::Availability => 50,
        Goal::Balance => 15,
    }
}

/// Returns by how many percent the number of shards of an upstream may differ from the
/// mean before shards move.
const fn count_tolerance_percent(goal: Goal) -> usize {
    match goal {
        Goal::Availability => 25,
        Goal::Balance => 5,
    }
}

/// Returns the utilization below which no shards move away from an upstream because of
/// its load.
const fn min_utilization(goal: Goal) -> f64 {
    match goal {
        Goal::Availability => 0.7,
        Goal::Balance => 0.02,
    }
}

/// Utilization up to which receivers are filled, relative to the mean.
const FILL_LIMIT: f64 = 1.05;

/// Utilization of an upstream: the busy share of its slots.
#[derive(Clone, Debug)]
pub(crate) struct Utilization {
    pub(crate) upstream: Upstream,
    pub(crate) share: f64,
}

/// Returns how many shards `me` gives to each other upstream so that all own about the
/// same number. Every home computes the same matching of upstreams with too many shards
/// and upstreams with too few, and carries out its own part of it.
pub(crate) fn even_counts(shares: &[Share], me: &Upstream, goal: Goal) -> Vec<(Upstream, usize)> {
    let total: usize = shares.iter().map(|it| it.shards).sum();
    let Some(mean) = total.checked_div(shares.len()) else {
        return Vec::new();
    };
    let ceiling = total.div_ceil(shares.len());
    let limit = ceiling + ceiling * count_tolerance_percent(goal) / 100;
    let floor = mean - mean * count_tolerance_percent(goal) / 100;
    let uneven = shares
        .iter()
        .any(|it| it.shards > limit || it.shards < floor);
    if !uneven {
        return Vec::new();
    }
    let mut transfers = Vec::new();
    let mut receivers = shares.iter().filter(|it| it.shards < mean);
    let mut receiver = receivers.next().map(|it| (it, mean - it.shards));
    for donor in shares.iter().filter(|it| it.shards > ceiling) {
        let mut excess = donor.shards - ceiling;
        while let Some((to, deficit)) = receiver.filter(|_| excess > 0) {
            let count = excess.min(deficit);
            excess -= count;
            if donor.upstream == *me {
                transfers.push((to.upstream.clone(), count));
            }
            receiver = if deficit > count {
                Some((to, deficit - count))
            } else {
                receivers.next().map(|it| (it, mean - it.shards))
            };
        }
    }
    transfers
}

/// Returns the shards that leave an upstream whose utilization exceeds the mean. `shards`
/// holds the utilization by each shard that may move, `own` is the utilization of the
/// upstream. A shard moves only to an upstream that stays within `FILL_LIMIT` with it, so
/// that a hot shard stays and the other shards leave.
pub(crate) fn offload(
    shards: &[(Shard, f64)],
    own: f64,
    others: &[Utilization],
    goal: Goal,
) -> Vec<(Upstream, Vec<Shard>)> {
    let sum: f64 = others.iter().map(|it| it.share).sum();
    let mean = (sum + own) / (others.len() + 1) as f64;
    let tolerated = mean * (100 + utilization_tolerance_percent(goal)) as f64 / 100.0;
    if own < min_utilization(goal) || own <= tolerated {
        return Vec::new();
    }
    let mut own = own;
    let mut others: Vec<(Utilization, Vec<Shard>)> =
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

/// Divides shards with known utilization so that the receivers become equally busy: the
/// busiest shard goes first, to the receiver with the lowest utilization. A shard with
/// less load than `least` counts as `least`.
pub(crate) fn divide_by_load(
    shards: &[(Shard, f64)],
    receivers: &[Utilization],
    least: f64,
) -> Vec<(Upstream, Vec<Shard>)> {
    let mut receivers: Vec<(Utilization, Vec<Shard>)> = receivers
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
