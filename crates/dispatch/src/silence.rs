//! Decides which routers of a data centre were lost, so that their rows can be removed.
//!
//! Silence alone proves nothing: a router may be frozen, cut off, or have no reason to call. It is
//! therefore asked several times over a while, and one that was removed by mistake writes its row
//! again when it comes back.
//!
//! | router | heard | step |
//! | --- | --- | --- |
//! | alive | within [`SILENT_TIME`] | none |
//! | silent | not since then | ask it each [`QUESTION_PAUSE`] |
//! | gone | nor by [`MAX_UNANSWERED`] questions in a row | remove its row |
//! | back, under the same row or a new one | again | none |

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;

/// Time without a call of a router after which it is asked whether it runs.
pub const SILENT_TIME: Duration = Duration::from_secs(10);
/// Time between two questions.
pub const QUESTION_PAUSE: Duration = Duration::from_secs(2);
/// Questions without an answer after which a router counts as lost.
pub const MAX_UNANSWERED: u32 = 5;

#[derive(Clone, Debug)]
struct Entry {
    incarnation: u64,
    heard_at: Instant,
    asked_at: Option<Instant>,
    unanswered: u32,
}

/// What to do about a silent router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Asks it whether it runs.
    Ask(Arc<str>),
    /// Removes its row.
    Remove(Arc<str>),
}

/// Routers of a data centre, as one that watches them has heard them.
///
/// ```
/// use std::time::Duration;
/// use eelgrassrock_dispatch::silence::{SILENT_TIME, Silence, Step};
/// use eelgrassrock_model::time::Instant;
///
/// let now = Instant::from_millis(0);
/// let mut silence = Silence::default();
/// silence.update([("router-1".into(), 1)].into_iter(), now);
/// assert_eq!(silence.poll(now + Duration::from_secs(1)), []);
/// assert_eq!(silence.poll(now + SILENT_TIME), [Step::Ask("router-1".into())]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Silence {
    entries: IndexMap<Arc<str>, Entry>,
}

impl Silence {
    /// Replaces the list of routers, given with the incarnations in their rows. Those that are new,
    /// or have a new row, count as heard.
    pub fn update(&mut self, listed: impl Iterator<Item = (Arc<str>, u64)>, now: Instant) {
        let mut before = std::mem::take(&mut self.entries);
        for (name, incarnation) in listed {
            let known = before.swap_remove(&name);
            let known = known.filter(|entry| entry.incarnation == incarnation);
            let entry = known.unwrap_or(Entry {
                incarnation,
                heard_at: now,
                asked_at: None,
                unanswered: 0,
            });
            self.entries.insert(name, entry);
        }
    }

    /// Forgets all routers, because this one can't watch them.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Records that a router has called or answered.
    pub fn hear(&mut self, router: &str, at: Instant) {
        if let Some(entry) = self.entries.get_mut(router)
            && at >= entry.heard_at
        {
            entry.heard_at = at;
            entry.asked_at = None;
            entry.unanswered = 0;
        }
    }

    /// Records that a router hasn't answered a question.
    pub fn miss(&mut self, router: &str) {
        if let Some(entry) = self.entries.get_mut(router) {
            entry.unanswered += 1;
        }
    }

    /// Returns what to do about the silent routers. A router to be removed is returned again after a
    /// pause, in case its row couldn't be removed.
    pub fn poll(&mut self, now: Instant) -> Vec<Step> {
        let is_due = |entry: &Entry| {
            now - entry.heard_at >= SILENT_TIME
                && entry.asked_at.is_none_or(|at| now - at >= QUESTION_PAUSE)
        };
        let due = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| is_due(entry))
            .map(|(name, entry)| {
                entry.asked_at = Some(now);
                if entry.unanswered < MAX_UNANSWERED {
                    Step::Ask(Arc::clone(name))
                } else {
                    Step::Remove(Arc::clone(name))
                }
            });
        due.collect()
    }
}
