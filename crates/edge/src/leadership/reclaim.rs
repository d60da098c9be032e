//! Continuing to lead after the store was restored from a backup.

use std::rc::Rc;
use std::sync::Arc;

use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::map::Map;

use super::{leadership_row, map_row};
use crate::clock;
use crate::node::Node;
use crate::platform::{Commit, Platform, Transaction};

impl<P: Platform> Node<P> {
    /// Takes leadership again that this router had before the store was restored from a backup, and
    /// writes its own map. Returns whether that succeeded. If not, the next query to the store
    /// shows the result.
    pub(super) async fn reclaim(self: &Rc<Self>, service: &Arc<str>) -> bool {
        let era = self.era.get();
        let queried_at = clock::now();
        let address = self.settings.peer;
        let claim = self.participant(service, |participant| {
            let leader = participant.leader.as_ref()?;
            let is_own = participant.election.is_own() && participant.election.is_outdated();
            if !is_own || !leader.has_authority(queried_at) {
                return None;
            }
            let mut map = leader.map().clone();
            map.enter_era(era);
            let (mut leadership, version) = participant.election.claim(address);
            // By the time that recovery has ended, none of them has authority.
            leadership.predecessors.clear();
            Some((leadership, version, map))
        });
        let Some((leadership, version, map)) = claim.flatten() else {
            return false;
        };
        let (Ok(leadership_value), Ok(map_value)) = (
            postcard::to_allocvec(&leadership),
            postcard::to_allocvec(&map),
        ) else {
            return false;
        };
        let (leadership_key, map_key) = (leadership_row(era, service), map_row(era, service));
        let transaction = Transaction {
            era,
            expected: vec![
                (leadership_key.clone(), version),
                (map_key.clone(), Revision::default()),
            ],
            put: vec![
                (leadership_key, leadership_value.into()),
                (map_key, map_value.into()),
            ],
            remove: Vec::new(),
        };
        let Commit::Done(version) = self.write_rows(&transaction).await else {
            return false;
        };
        let term = leadership.term;
        self.participant(service, |participant| {
            participant
                .election
                .learn(Some((leadership, version)), 0, clock::now());
        });
        self.record_history(service, era);
        self.continue_leading(service, map, version, queried_at);
        self.log_term(service, term, &self.settings.router, "taken again");
        true
    }

    /// Lets the leader continue in the current era, if it took leadership again but didn't receive
    /// the response. Returns whether it acts in that era.
    pub(super) async fn resume(self: &Rc<Self>, service: &Arc<str>, queried_at: Instant) -> bool {
        let era = self.era.get();
        match self.leader(service, |leader| leader.era()) {
            None => return true,
            Some(known) if known == era => return true,
            Some(_) => {}
        }
        let Some(Some((map, version))) = self.read_map(service).await else {
            return false;
        };
        self.continue_leading(service, map, version, queried_at);
        true
    }

    /// Lets the leader act in the era of a map that is in the store, and publishes the map.
    /// Leadership was confirmed by a query that was sent at `queried_at`.
    fn continue_leading(
        self: &Rc<Self>,
        service: &Arc<str>,
        map: Map,
        version: Revision,
        queried_at: Instant,
    ) {
        let now = clock::now();
        self.leader(service, |leader| {
            leader.enter_era(version.era, map.clone(), queried_at, now);
        });
        let before = self.map_version(service);
        self.learn_map(service, map, version);
        self.publish_map(service, before);
    }

    /// Clears `is_recovering` in the leadership row once leaders that the store has forgotten can
    /// no longer act, so that a successor needn't wait for them again.
    pub(super) async fn record_recovery(self: &Rc<Self>, service: &Arc<str>) {
        let now = clock::now();
        let recovered = self.participant(service, |participant| {
            let is_recovered = participant.leader.as_ref()?.is_recovered(now);
            let (leadership, version) = participant.election.leadership()?;
            (is_recovered && leadership.is_recovering).then(|| (leadership.clone(), *version))
        });
        let Some((mut leadership, version)) = recovered.flatten() else {
            return;
        };
        leadership.is_recovering = false;
        self.rewrite_leadership(service, leadership, version).await;
    }
}
