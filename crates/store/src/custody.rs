//! Which connections to an address lead to the same process.
//!
//! A process that ends takes its connections with it, and the next one at its address starts with
//! none. Two connections therefore lead to the same process if one of them was opened while the
//! other was in use: opened after it, and before a request on it that was answered.

use eelgrassrock_model::time::Instant;

/// Connections to one address, at which one process runs at a time.
///
/// ```
/// use eelgrassrock_model::time::Instant;
/// use eelgrassrock_store::custody::Custody;
///
/// let at = Instant::from_millis;
/// let mut custody = Custody::default();
/// custody.opened(1, at(10));
/// custody.opened(2, at(20));
/// assert!(!custody.is_member(2));
/// custody.answered(1, at(25));
/// custody.closed(1);
/// assert!(custody.is_member(2));
/// assert_eq!(custody.opened_at(), Some(at(10)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Custody {
    opened_at: Option<Instant>,
    /// Connections that lead to the process.
    members: Vec<u64>,
    /// Connections that may lead to a later process, and when each was opened.
    candidates: Vec<(u64, Instant)>,
}

impl Custody {
    /// Records a connection that is open at `at` and was begun after all others were open.
    pub fn opened(&mut self, connection: u64, at: Instant) {
        if self.members.is_empty() {
            self.opened_at = Some(at);
            self.members.push(connection);
        } else {
            self.candidates.push((connection, at));
        }
    }

    /// Records the answer to a request that was sent at `sent_at`.
    pub fn answered(&mut self, connection: u64, sent_at: Instant) {
        if !self.is_member(connection) {
            return;
        }
        let members = &mut self.members;
        self.candidates.retain(|(candidate, at)| {
            let is_proven = *at <= sent_at;
            if is_proven {
                members.push(*candidate);
            }
            !is_proven
        });
    }

    /// Records the end of a connection. The next one starts over if it was the last to the process.
    pub fn closed(&mut self, connection: u64) {
        self.members.retain(|member| *member != connection);
        self.candidates
            .retain(|(candidate, _)| *candidate != connection);
        if !self.members.is_empty() {
            return;
        }
        self.opened_at = None;
        if !self.candidates.is_empty() {
            let (next, at) = self.candidates.remove(0);
            self.opened(next, at);
        }
    }

    /// Whether a connection leads to the process.
    pub fn is_member(&self, connection: u64) -> bool {
        self.members.contains(&connection)
    }

    /// Returns when the first connection to the process was opened, or `None` without a connection.
    pub fn opened_at(&self) -> Option<Instant> {
        self.opened_at
    }
}
