//! Check that each key has one holder at a time, and moves with rising tokens.

use std::collections::{BTreeMap, HashMap};
use std::ops::RangeInclusive;
use std::time::Duration;

use eelgrassrock_platform_standin::framing::Keys;
use tokio::time::Instant;

use super::{RESUME_SLACK, State, Subject};
use crate::guarantee::Guarantee;

/// Time for which two upstreams may hold a key if they don't run requests on it.
const MAX_SHARED: Duration = Duration::from_millis(500);

/// Hold of a key by an incarnation of an upstream.
#[derive(Clone, Copy, Debug)]
struct Hold {
    token: u64,
    since: Instant,
    /// End by the orders that weren't held up on their way.
    counted_until: Instant,
    /// End by the orders that were neither held up nor carried out late.
    prompt_until: Instant,
    /// Whether the upstream was told to release the key.
    is_released: bool,
    /// Number of requests that run on the key.
    running: u32,
    /// When the last request on the key began.
    began: Option<Instant>,
}

impl Hold {
    fn is_held(&self) -> bool {
        !self.is_released || self.running > 0
    }

    fn is_counted(&self, now: Instant) -> bool {
        self.is_held() && self.counted_until > now
    }

    fn is_prompt(&self, now: Instant) -> bool {
        self.is_held() && self.prompt_until > now
    }
}

/// Two upstreams that hold a key, the one with the lower number first.
type Shared = (usize, usize, u16);

/// Holds of all keys.
#[derive(Debug, Default)]
pub(super) struct Holds {
    /// Holds by key, for each running upstream.
    by_upstream: HashMap<usize, BTreeMap<u16, Hold>>,
    /// Highest fencing token of each key, and the upstream that got it.
    tokens: HashMap<u16, (u64, usize)>,
    /// Keys that two upstreams hold, with the time since which they do.
    shared: HashMap<Shared, Instant>,
}

impl Holds {
    fn get(&self, upstream: usize, key: u16) -> Option<&Hold> {
        self.by_upstream.get(&upstream)?.get(&key)
    }

    fn get_mut(&mut self, upstream: usize, key: u16) -> Option<&mut Hold> {
        self.by_upstream.get_mut(&upstream)?.get_mut(&key)
    }

    pub(super) fn end_work(&mut self, upstream: usize, key: u16) {
        if let Some(hold) = self.get_mut(upstream, key) {
            hold.running = hold.running.saturating_sub(1);
        }
    }

    /// Returns the holds of other upstreams for which `is_wanted` is true.
    fn others(
        &self,
        upstream: usize,
        keys: RangeInclusive<u16>,
        is_wanted: impl Fn(&Hold) -> bool,
    ) -> Vec<(usize, u16, Hold)> {
        let others = self.by_upstream.iter();
        others
            .filter(|(other, _)| **other != upstream)
            .flat_map(|(other, holds)| {
                let holds = holds.range(keys.clone());
                holds.map(|(key, hold)| (*other, *key, *hold))
            })
            .filter(|(_, _, hold)| is_wanted(hold))
            .collect()
    }

    /// Checks a token, and records it unless the order is excused. Returns the higher or
    /// equal token of another upstream.
    fn check_token(
        &mut self,
        upstream: usize,
        key: u16,
        token: u64,
        is_excused: bool,
    ) -> Option<(u64, usize)> {
        let highest = self.tokens.get(&key).copied();
        let wrong = highest.filter(|(highest, other)| *other != upstream && *highest >= token);
        if !is_excused && highest.is_none_or(|(highest, _)| highest < token) {
            self.tokens.insert(key, (token, upstream));
        }
        wrong.filter(|_| !is_excused)
    }

    /// Returns how long two upstreams held a key at the same time.
    fn shared_for(&self, (one, other, key): Shared, since: Instant, now: Instant) -> Duration {
        let until = |upstream| self.get(upstream, key).map(|hold| hold.prompt_until);
        let ends = [until(one), until(other)].into_iter().flatten();
        let end = ends.fold(now, Instant::min);
        end.saturating_duration_since(since)
    }

    /// Ends the sharing of keys for which `is_over` is true. Returns those that were shared for
    /// too long, one for each pair of upstreams.
    fn end_shared(&mut self, now: Instant, is_over: impl Fn(&Self, Shared) -> bool) -> Vec<String> {
        if self.shared.is_empty() {
            return Vec::new();
        }
        let over: Vec<(Shared, Instant)> = self
            .shared
            .iter()
            .map(|(shared, since)| (*shared, *since))
            .filter(|(shared, _)| is_over(self, *shared))
            .collect();
        let mut found = BTreeMap::new();
        for (shared, since) in over {
            self.shared.remove(&shared);
            let length = self.shared_for(shared, since, now);
            if length > MAX_SHARED {
                let (one, other, key) = shared;
                let keys: &mut (u16, usize, Duration) =
                    found.entry((one, other)).or_insert((key, 0, length));
                *keys = (keys.0.min(key), keys.1 + 1, keys.2.max(length));
            }
        }
        let describe = |((one, other), (key, count, length))| {
            format!("upstreams {one} and {other} held {count} keys from {key} on for {length:?}")
        };
        found.into_iter().map(describe).collect()
    }
}

impl State {
    fn report_shared(&mut self, at: Duration, found: Vec<String>) {
        for details in found {
            self.report(at, Guarantee::OneHolder, details);
        }
    }

    /// Whether an order that arrives now may have been held up on its way.
    fn is_held_up(&self, upstream: usize, now: Instant) -> bool {
        self.resumes.iter().any(|(subject, at)| {
            let is_on_its_way = match subject {
                Subject::Process(_) => true,
                Subject::Upstream(other) => *other == upstream,
                Subject::Router(_) | Subject::Connections | Subject::Store => false,
            };
            is_on_its_way && now - *at < RESUME_SLACK
        })
    }

    pub(super) fn grant(
        &mut self,
        at: Duration,
        upstream: usize,
        keys: Keys,
        until: Instant,
        is_late: bool,
    ) {
        let now = Instant::now();
        if until <= now {
            return;
        }
        let Keys { from, to, token } = keys;
        let is_held_up = self.is_held_up(upstream, now);
        let is_prompt = !is_held_up && !is_late;
        let ended = self.holds.end_shared(now, |holds, (one, other, key)| {
            let is_over = |upstream| {
                !holds
                    .get(upstream, key)
                    .is_some_and(|own| own.is_prompt(now))
            };
            [one, other].contains(&upstream) && (is_over(one) || is_over(other))
        });
        self.report_shared(at, ended);
        let mut wrong = None;
        for key in from..=to {
            let found = self.holds.check_token(upstream, key, token, is_held_up);
            wrong = wrong.or(found.map(|(highest, other)| (key, highest, other)));
        }
        if let Some((key, highest, other)) = wrong {
            let details = format!(
                "upstream {upstream} got key {key} with token {token}, upstream {other} had {highest}"
            );
            self.report(at, Guarantee::FencingToken, details);
        }
        if is_prompt {
            self.check_shared(at, now, upstream, from..=to);
        }
        let holds = self.holds.by_upstream.entry(upstream).or_default();
        for key in from..=to {
            let old = holds.get(&key).copied();
            let valid = old.filter(|old| !old.is_released && old.counted_until > now);
            let hold = Hold {
                token,
                since: valid.map_or(now, |old| old.since),
                counted_until: if is_held_up {
                    valid.map_or(now, |old| old.counted_until)
                } else {
                    until
                },
                prompt_until: if is_prompt {
                    until
                } else {
                    valid.map_or(now, |old| old.prompt_until)
                },
                is_released: false,
                running: old.map_or(0, |old| old.running),
                began: old.and_then(|old| old.began),
            };
            holds.insert(key, hold);
        }
    }

    /// Checks whether other upstreams hold keys that are granted now, or work on them.
    fn check_shared(
        &mut self,
        at: Duration,
        now: Instant,
        upstream: usize,
        keys: RangeInclusive<u16>,
    ) {
        let mut at_work = None;
        for (other, key, hold) in self
            .holds
            .others(upstream, keys, |hold| hold.is_prompt(now))
        {
            let own = self.holds.get(upstream, key);
            let is_renewed = own.is_some_and(|own| !own.is_released && own.prompt_until > now);
            if hold.running > 0 && !is_renewed {
                at_work = at_work.or(Some((other, key, hold)));
            }
            let shared = (upstream.min(other), upstream.max(other), key);
            self.holds.shared.entry(shared).or_insert(now);
        }
        if let Some((other, key, hold)) = at_work {
            let details = format!(
                "upstream {upstream} got key {key}, on which upstream {other} is at work with \
                 token {} for {:?} more",
                hold.token,
                hold.prompt_until - now
            );
            self.report(at, Guarantee::OneHolder, details);
        }
    }

    pub(super) fn release(&mut self, at: Duration, upstream: usize, keys: Keys) {
        let now = Instant::now();
        let range = keys.from..=keys.to;
        let ended = self.holds.end_shared(now, |_, (one, other, key)| {
            [one, other].contains(&upstream) && range.contains(&key)
        });
        self.report_shared(at, ended);
        if let Some(holds) = self.holds.by_upstream.get_mut(&upstream) {
            for (_, hold) in holds.range_mut(range) {
                hold.is_released = true;
            }
        }
    }

    pub(super) fn end_holds(&mut self, at: Duration, upstream: usize) {
        let now = Instant::now();
        let ended = self
            .holds
            .end_shared(now, |_, (one, other, _)| [one, other].contains(&upstream));
        self.report_shared(at, ended);
        self.holds.by_upstream.remove(&upstream);
    }

    pub(super) fn close_holds(&mut self, at: Duration) {
        let ended = self.holds.end_shared(Instant::now(), |_, _| true);
        self.report_shared(at, ended);
    }

    /// Records that a request on a key begins, and checks that no other upstream holds the key.
    pub(super) fn begin_work(&mut self, at: Duration, now: Instant, key: u16, upstream: usize) {
        let Some(own) = self.holds.get_mut(upstream, key) else {
            return;
        };
        own.running += 1;
        own.began = Some(now);
        let own = *own;
        if !own.is_counted(now) {
            return;
        }
        let others = self
            .holds
            .others(upstream, key..=key, |hold| hold.is_counted(now));
        let found = others.into_iter().find(|(other, _, hold)| {
            let are_prompt = own.is_prompt(now) && hold.is_prompt(now);
            are_prompt || self.has_begun(*other, upstream, own.since.max(hold.since))
        });
        if let Some((other, _, hold)) = found {
            let details = format!(
                "upstream {upstream} begins a request for key {key}, which upstream {other} holds \
                 with token {} for {:?}",
                hold.token,
                hold.counted_until - now
            );
            self.report(at, Guarantee::OneHolder, details);
        }
    }

    /// Whether an upstream has begun a request since a time on a key that another one holds too.
    fn has_begun(&self, upstream: usize, other: usize, since: Instant) -> bool {
        let now = Instant::now();
        let Some(holds) = self.holds.by_upstream.get(&upstream) else {
            return false;
        };
        let mut begun = holds.iter().filter(|(_, hold)| {
            hold.is_counted(now) && hold.began.is_some_and(|began| began >= since)
        });
        begun.any(|(key, _)| {
            let own = self.holds.get(other, *key);
            own.is_some_and(|own| own.is_counted(now))
        })
    }
}
