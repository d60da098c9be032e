//! Selection of upstreams for shards, and of routers for upstreams.

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::{DataCentre, Name, Router, Upstream};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::event::Member;

/// Number of shards that an upstream owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Share {
    pub(crate) upstream: Upstream,
    pub(crate) shards: usize,
}

/// Divides `shards` so that the upstreams own numbers as equal as possible. Each upstream
/// receives a contiguous run of `shards`, which keeps the rows short.
pub(crate) fn divide_by_count(shards: &[Shard], shares: &[Share]) -> Vec<(Upstream, Vec<Shard>)> {
    let mut quotas = vec![0; shares.len()];
    for _ in shards {
        let least = (0..shares.len()).min_by_key(|&it| shares[it].shards + quotas[it]);
        let Some(least) = least else {
            return Vec::new();
        };
        quotas[least] += 1;
    }
    let mut rest = shards;
    let mut parts = Vec::new();
    for (share, quota) in shares.iter().zip(quotas) {
        let (part, others) = rest.split_at(quota);
        rest = others;
        if !part.is_empty() {
            parts.push((share.upstream.clone(), part.to_vec()));
        }
    }
    parts
}

/// Returns the rendezvous hashing weight of a router for a name.
pub(crate) fn weight(router: &Router, name: &str) -> u64 {
    let seed = xxh3_64_with_seed(name.as_bytes(), 0);
    xxh3_64_with_seed(router.as_str().as_bytes(), seed)
}

/// Returns the position of `me` among the candidates for the home of an upstream, `None`
/// if `me` isn't among `members`. Routers in other data centres than the upstream rank
/// first.
pub(crate) fn rank<'a>(
    me: &Router,
    upstream: &Upstream,
    data_centre: Option<&DataCentre>,
    members: impl Iterator<Item = &'a Member>,
) -> Option<usize> {
    let mut mine = None;
    let mut others = Vec::new();
    for member in members {
        let near = Some(&member.data_centre) == data_centre;
        let order = (
            near,
            std::cmp::Reverse(weight(&member.router, upstream.as_str())),
        );
        if member.router == *me {
            mine = Some(order);
        } else {
            others.push(order);
        }
    }
    let mine = mine?;
    Some(others.into_iter().filter(|it| *it < mine).count())
}

/// Returns the router that ranks first for the home of an upstream.
pub(crate) fn preferred_home<'a>(
    upstream: &Upstream,
    data_centre: Option<&DataCentre>,
    members: impl Iterator<Item = &'a Member>,
) -> Option<&'a Member> {
    members.min_by_key(|member| {
        let near = Some(&member.data_centre) == data_centre;
        (
            near,
            std::cmp::Reverse(weight(&member.router, upstream.as_str())),
        )
    })
}
