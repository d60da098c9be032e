//! Load that upstreams report with their answers.

use eelgrassrock_model::time::Instant;

use super::Service;
use crate::load::Load;
use crate::upstream::Upstream;

impl Service {
    /// Records the load that an answer reports, before [`Service::end`] ends its request. A report
    /// of another process than the listed one changes nothing, nor does one that contradicts the
    /// listed number of slots.
    ///
    /// Reports rank upstreams. They never bar one, so a wrong report can't take requests away from
    /// the only upstream that could serve them.
    ///
    /// ```
    /// use eelgrassrock_dispatch::load::Load;
    /// use eelgrassrock_dispatch::service::Service;
    /// use eelgrassrock_dispatch::upstream::Upstream;
    /// use eelgrassrock_model::time::Instant;
    ///
    /// fn record(service: &mut Service, upstream: &Upstream, now: Instant) {
    ///     if let Some(load) = Load::new(4, 2, 4, Some(150)) {
    ///         service.record_load(upstream, load, now);
    ///     }
    /// }
    /// ```
    pub fn record_load(&mut self, upstream: &Upstream, load: Load, now: Instant) {
        let Some(member) = self.members.get_mut(&upstream.id) else {
            return;
        };
        let listed = &member.upstream;
        if listed.incarnation == upstream.incarnation && listed.slots == load.slots() {
            // The request that is answered hasn't ended yet, and the upstream doesn't count it.
            let own = member.in_flight().saturating_sub(1);
            member.reports.record(load, own, now);
        }
    }
}
