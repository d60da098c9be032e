//! Going on with a duty after the store came back from a copy.

use std::rc::Rc;
use std::sync::Arc;

use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::map::Map;

use super::{duty_row, map_row};
use crate::clock;
use crate::node::Node;
use crate::seam::{Commit, Platform, Transaction};

impl<P: Platform> Node<P> {
    /// Takes a duty again that this router had until the store came back from a copy, and
    /// writes the map that it has. Returns whether that is done; if not, the next question
    /// to the store shows what became of it.
    pub(super) async fn retake(self: &Rc<Self>, service: &Arc<str>) -> bool {
        let era = self.era.get();
        let asked = clock::now();
        let address = self.settings.peer;
        let claim = self.seat(service, |seat| {
            let keeper = seat.keeper.as_ref()?;
            let is_own = seat.election.is_own() && seat.election.is_outdated();
            if !is_own || !keeper.has_authority(asked) {
                return None;
            }
            let mut map = keeper.map().clone();
            map.enter_era(era);
            let (mut duty, version) = seat.election.claim(address);
            // By the time that the duty is settled, none of them has authority.
            duty.predecessors.clear();
            Some((duty, version, map))
        });
        let Some((duty, version, map)) = claim.flatten() else {
            return false;
        };
        let (Ok(duty_value), Ok(map_value)) =
            (postcard::to_allocvec(&duty), postcard::to_allocvec(&map))
        else {
            return false;
        };
        let (duty_key, map_key) = (duty_row(era, service), map_row(era, service));
        let transaction = Transaction {
            era,
            expected: vec![
                (duty_key.clone(), version),
                (map_key.clone(), Revision::default()),
            ],
            put: vec![(duty_key, duty_value.into()), (map_key, map_value.into())],
            remove: Vec::new(),
        };
        let Commit::Done(version) = self.write_rows(&transaction).await else {
            return false;
        };
        let term = duty.term;
        self.seat(service, |seat| {
            seat.election.learn(Some((duty, version)), 0, clock::now());
        });
        self.note_history(service, era);
        self.go_on(service, map, version, asked);
        self.note_term(service, term, &self.settings.router, "taken again");
        true
    }

    /// Lets the keeper go on in the era of the store, if it took the duty again without
    /// an answer. Returns whether it acts in that era.
    pub(super) async fn resume(self: &Rc<Self>, service: &Arc<str>, asked: Instant) -> bool {
        let era = self.era.get();
        match self.keeper(service, |keeper| keeper.era()) {
            None => return true,
            Some(known) if known == era => return true,
            Some(_) => {}
        }
        let Some(Some((map, version))) = self.read_map(service).await else {
            return false;
        };
        self.go_on(service, map, version, asked);
        true
    }

    /// Lets the keeper act in the era of a map that is in the store, and tells the others.
    /// The store was asked for the duty at `asked`.
    fn go_on(self: &Rc<Self>, service: &Arc<str>, map: Map, version: Revision, asked: Instant) {
        let now = clock::now();
        self.keeper(service, |keeper| {
            keeper.enter_era(version.era, map.clone(), asked, now);
        });
        let before = self.map_version(service);
        self.learn_map(service, map, version);
        self.publish_map(service, before);
    }

    /// Writes that no keeper can act any more which the store has forgotten, once that is
    /// so: a successor needn't wait for it again.
    pub(super) async fn note_settled(self: &Rc<Self>, service: &Arc<str>) {
        let now = clock::now();
        let settled = self.seat(service, |seat| {
            let is_settled = seat.keeper.as_ref()?.is_recovered(now);
            let (duty, version) = seat.election.leadership()?;
            (is_settled && duty.is_recovering).then(|| (duty.clone(), *version))
        });
        let Some((mut duty, version)) = settled.flatten() else {
            return;
        };
        duty.is_recovering = false;
        self.rewrite_duty(service, duty, version).await;
    }
}
