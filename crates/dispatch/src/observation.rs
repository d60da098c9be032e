//! What the routers have seen of the limits of upstreams, merged so that late messages do no harm.
//!
//! Messages between routers may be held up for any time, by a link or by a router that was frozen.
//! A limit therefore counts whenever a router learns of it. The end of a limit names the last
//! observation that it ends, and counts only for routers that know of no later one: a late message
//! can't end a limit that was set again meanwhile.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::limit::Limit;
use crate::upstream::Upstream;

/// Time after which an observation no longer counts. An upstream whose limit no answer has named
/// again is then assigned keys as if it had none.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Identity of an observation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    router: Arc<str>,
    /// Number among the observations of the router, rising also over restarts.
    number: u64,
}

impl Mark {
    /// Whether this observation is `other` or a later one of the same router.
    fn covers(&self, other: &Self) -> bool {
        self.router == other.router && self.number >= other.number
    }
}

/// What an answer of an upstream said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Content {
    /// Limit, in requests per second.
    Limit(f64),
    /// End of the limit that this observation was the last of.
    End(Mark),
}

/// Observation of one router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    service: Arc<str>,
    upstream: Arc<str>,
    incarnation: u64,
    mark: Mark,
    content: Content,
    age_ms: u64,
}

impl Observation {
    /// Returns the identifier of the upstream.
    pub fn upstream(&self) -> &Arc<str> {
        &self.upstream
    }

    /// Returns the incarnation of the upstream.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the router that made it.
    pub fn router(&self) -> &Arc<str> {
        &self.mark.router
    }
}

/// What follows from an observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Nothing: more is known already.
    None,
    /// The upstream has set this limit.
    Set(Limit),
    /// The limit of the upstream has ended.
    Lift,
}

/// The last observation of each upstream that a router knows.
///
/// ```
/// use eelgrassrock_dispatch::observation::Observations;
/// use eelgrassrock_model::time::Instant;
///
/// let observations = Observations::new("router-1".into(), 0);
/// assert!(observations.all(Instant::from_millis(0)).is_empty());
/// ```
#[derive(Debug)]
pub struct Observations {
    router: Arc<str>,
    last_number: u64,
    by_upstream: IndexMap<Arc<str>, (Observation, Instant)>,
}

impl Observations {
    /// Creates the record of a router. `incarnation` is higher than the numbers of all observations
    /// by earlier processes of the router.
    pub fn new(router: Arc<str>, incarnation: u64) -> Self {
        Self {
            router,
            last_number: incarnation,
            by_upstream: IndexMap::new(),
        }
    }

    /// Records that an answer to this router named a limit.
    pub fn observe(&mut self, upstream: &Upstream, limit: Limit, now: Instant) {
        self.insert_own(upstream, Content::Limit(limit.as_per_s()), now);
    }

    /// Records that a request of this router, sent at `sent_at` with the last observation known, was
    /// answered without a limit.
    pub fn observe_end(&mut self, upstream: &Upstream, sent_at: Instant) {
        let known = self.by_upstream.get(&upstream.id);
        let last = known.map_or_else(|| self.last_mark(), |(known, _)| known.mark.clone());
        self.insert_own(upstream, Content::End(last), sent_at);
    }

    fn last_mark(&self) -> Mark {
        Mark {
            router: Arc::clone(&self.router),
            number: self.last_number,
        }
    }

    fn insert_own(&mut self, upstream: &Upstream, content: Content, at: Instant) {
        self.last_number += 1;
        let observation = Observation {
            service: Arc::clone(&upstream.service),
            upstream: Arc::clone(&upstream.id),
            incarnation: upstream.incarnation,
            mark: self.last_mark(),
            content,
            age_ms: 0,
        };
        self.by_upstream
            .insert(Arc::clone(&upstream.id), (observation, at));
    }

    /// Merges an observation of another router. Returns what follows from it.
    pub fn merge(&mut self, observation: &Observation, now: Instant) -> Change {
        self.by_upstream.retain(|_, (_, at)| now - *at < MAX_AGE);
        let age = Duration::from_millis(observation.age_ms);
        if age >= MAX_AGE || observation.mark.router == self.router {
            return Change::None;
        }
        let at = Instant::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
        let known = self.by_upstream.get(&observation.upstream);
        let is_later = match (known, &observation.content) {
            (None, _) => true,
            (Some((known, _)), Content::End(last)) => {
                known.incarnation == observation.incarnation
                    && matches!(known.content, Content::Limit(_))
                    && last.covers(&known.mark)
            }
            (Some((known, known_at)), Content::Limit(_)) => {
                let is_known = known.mark.covers(&observation.mark);
                let is_ended = matches!(&known.content, Content::End(last)
                    if last.covers(&observation.mark));
                !is_known && !is_ended && *known_at < at
            }
        };
        if !is_later {
            return Change::None;
        }
        let upstream = Arc::clone(&observation.upstream);
        self.by_upstream.insert(upstream, (observation.clone(), at));
        match observation.content {
            Content::Limit(per_s) => Limit::per_s(per_s).map_or(Change::None, Change::Set),
            Content::End(_) => Change::Lift,
        }
    }

    /// Returns all observations that count.
    pub fn all(&self, now: Instant) -> Vec<Observation> {
        let recent = self
            .by_upstream
            .values()
            .filter(|(_, at)| now - *at < MAX_AGE);
        let aged = recent.map(|(observation, at)| Observation {
            age_ms: (now - *at).as_millis() as u64,
            ..observation.clone()
        });
        aged.collect()
    }

    /// Returns the observations that count and were made by this router.
    pub fn own(&self, now: Instant) -> Vec<Observation> {
        let mut own = self.all(now);
        own.retain(|observation| observation.mark.router == self.router);
        own
    }

    /// Returns the limit of an upstream, in requests per second.
    pub fn limit_per_s(&self, upstream: &Upstream, now: Instant) -> Option<f64> {
        let (observation, at) = self.by_upstream.get(&upstream.id)?;
        let counts = observation.incarnation == upstream.incarnation && now - *at < MAX_AGE;
        match observation.content {
            Content::Limit(per_s) if counts => Some(per_s),
            _ => None,
        }
    }
}
