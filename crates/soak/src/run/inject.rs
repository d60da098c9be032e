//! Injection of faults into a running deployment.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_platform_standin::store::Faults;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::time::sleep;

use super::restart::{RESTART_DELAY, Restart};
use super::{Cluster, GRACE_PERIOD};
use crate::checker::Subject;
use crate::plan::DATA_CENTRES;
use crate::proxy::{Control, Proxy};
use crate::router::RESTART_PAUSE;
use crate::schedule::{Degradation, Event, Failure, Fault, Impairment, Link};

/// Time after which the store removes the entry of an upstream without heartbeats.
pub(super) const ENTRY_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Time for which an upstream still serves after it announced that it leaves. It is
/// longer than routers may still send requests to it.
const DRAIN_TIME: Duration = Duration::from_millis(5_000);
/// Time after which the operator and the upstreams have rewritten their rows in a store
/// that was restored from a snapshot.
const REWRITE_PAUSE: Duration = Duration::from_millis(700);
/// Share of the calls whose answer the store loses, or of the writes that take effect
/// late.
const LOST_SHARE: f64 = 0.3;
/// Shortest and longest delay of the writes that take effect late.
const MIN_WRITE_DELAY: Duration = Duration::from_millis(500);
const MAX_WRITE_DELAY: Duration = Duration::from_millis(8_000);
/// Longest time from the return of the store until entries are back that expired meanwhile.
const MAX_RETURN_DELAY: Duration = Duration::from_millis(2_000);

impl Cluster {
    /// Injects a fault, and returns when it is over.
    pub(super) async fn inject(self: &Arc<Self>, event: Event) {
        let span = event.span;
        match event.fault {
            Fault::Kill(router) => self.kill(router),
            Fault::KillAll => (0..self.routers.len()).for_each(|router| self.kill(router)),
            Fault::Pause(router) => self.pause(router, span).await,
            Fault::Terminate(router) => {
                self.checker.plan_stop(router, GRACE_PERIOD);
                self.routers[router].terminate().await;
                self.checker.disturb(Subject::Router(router), RESTART_PAUSE);
                self.checker
                    .disturb(Subject::Process(router), RESTART_PAUSE);
            }
            Fault::Reload(router) => self.routers[router].signal(Signal::HUP),
            Fault::Link(link, impairment) => self.impair(link, impairment, span).await,
            Fault::Store(degradation) => self.degrade(degradation, span).await,
            Fault::DiscardHistory => {
                self.checker.disturb(Subject::Store, Duration::ZERO);
                self.store.discard_history();
            }
            Fault::Restore(age) => self.restore(age).await,
            Fault::Upstream(slot, failure) => self.fail(slot, failure, span).await,
            Fault::CutOff(data_centre, cut) => {
                let partition = &self.partitions[data_centre];
                for router in (data_centre..self.routers.len()).step_by(DATA_CENTRES) {
                    self.checker.cut_off(router, span);
                }
                partition.cut(cut);
                sleep(span).await;
                partition.mend();
            }
            Fault::Evacuate(place) => {
                self.evacuate(place);
                sleep(span).await;
                self.take_back(place);
            }
            Fault::Configure => self.configure(),
            Fault::Deadly { prefix, per_s } => self.send_deadly(prefix, per_s, span).await,
        }
    }

    fn kill(&self, router: usize) {
        self.checker.disturb(Subject::Router(router), RESTART_PAUSE);
        self.checker
            .disturb(Subject::Process(router), RESTART_PAUSE);
        self.routers[router].signal(Signal::KILL);
    }

    async fn pause(&self, router: usize, span: Duration) {
        self.checker.disturb(Subject::Router(router), span);
        self.checker.disturb(Subject::Process(router), span);
        self.routers[router].signal(Signal::STOP);
        sleep(span).await;
        self.routers[router].signal(Signal::CONT);
        self.checker.resume(Subject::Process(router));
        self.checker
            .disturb(Subject::Router(router), Duration::ZERO);
    }

    async fn impair(&self, link: Link, impairment: Impairment, span: Duration) {
        let (controls, subject) = self.controls(link);
        self.checker.disturb(subject, span);
        for control in &controls {
            match impairment {
                Impairment::Delay(delay) => control.delay(delay),
                Impairment::CutForward => control.cut([true, false]),
                Impairment::CutBackward => control.cut([false, true]),
                Impairment::Cut => control.cut([true, true]),
                Impairment::Reset => control.reset(),
                Impairment::Silence => control.silence(),
            }
        }
        if matches!(impairment, Impairment::Reset | Impairment::Silence) {
            self.checker.disturb(Subject::Connections, Duration::ZERO);
            return;
        }
        sleep(span).await;
        for control in &controls {
            control.delay(Duration::ZERO);
            control.cut([false, false]);
        }
        // An upstream that restarted at its address is behind the same link.
        let (current, successor) = self.controls(link);
        let is_kept = current
            .iter()
            .zip(&controls)
            .all(|(one, other)| Arc::ptr_eq(one, other));
        let successor = (is_kept && successor != subject).then_some(successor);
        for subject in [Some(subject), successor].into_iter().flatten() {
            self.checker.resume(subject);
            self.checker.disturb(subject, Duration::ZERO);
        }
    }

    /// Returns the controls of a link, and what its impairment affects.
    fn controls(&self, link: Link) -> (Vec<Arc<Control>>, Subject) {
        let of = |proxy: &Proxy| vec![Arc::clone(&proxy.control)];
        match link {
            Link::Front(router) => (of(&self.front_proxies[router]), Subject::Router(router)),
            Link::Store(router) => (of(&self.store_proxies[router]), Subject::Router(router)),
            Link::Peers(router) => {
                let links = self.mesh.as_ref().map(|mesh| mesh.links(router));
                (links.unwrap_or_default(), Subject::Router(router))
            }
            Link::Upstream(slot) => {
                let (server, proxy) = self.slot(slot).clone();
                (of(&proxy), Subject::Upstream(server.incarnation))
            }
        }
    }

    async fn degrade(&self, degradation: Degradation, span: Duration) {
        self.checker.disturb(Subject::Store, span);
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ span.as_nanos() as u64);
        let mut faults = Faults::default();
        match degradation {
            Degradation::Down => faults.is_down = true,
            Degradation::Slow(delay) => faults.delay = delay,
            Degradation::LosesAnswers => faults.lost = LOST_SHARE,
            Degradation::WritesLate => {
                faults.late = LOST_SHARE;
                faults.late_by = random.random_range(MIN_WRITE_DELAY..MAX_WRITE_DELAY);
            }
        }
        self.store.set_faults(faults);
        sleep(span).await;
        self.store.set_faults(Faults::default());
        self.checker.disturb(Subject::Store, Duration::ZERO);
        if degradation == Degradation::Down && span > ENTRY_TIMEOUT && random.random_bool(0.5) {
            self.expire_all(MAX_RETURN_DELAY.mul_f64(random.random()))
                .await;
        }
    }

    /// Removes the entries of all upstreams, which write them again after `delay`.
    async fn expire_all(&self, delay: Duration) {
        let slots = 0..self.slots.len();
        let current: Vec<_> = slots.map(|slot| self.slot(slot).clone()).collect();
        for (server, _) in &current {
            self.store.unregister(&server.id);
        }
        sleep(delay).await;
        for (slot, (server, proxy)) in current.iter().enumerate() {
            let is_current = self.slot(slot).0.incarnation == server.incarnation;
            if is_current && server.is_running() {
                self.register(server, proxy, false);
            }
        }
    }

    /// Restores the store from a snapshot. The operator and the upstreams write their rows
    /// again, and entries of upstreams that have ended expire.
    async fn restore(&self, age: Duration) {
        self.checker.disturb(Subject::Store, REWRITE_PAUSE);
        self.store.restore(age);
        sleep(REWRITE_PAUSE).await;
        self.write_configuration();
        for place in 0..DATA_CENTRES {
            // The operator puts the rows right, which the snapshot may have or lack.
            if self.take_back(place) {
                self.evacuate(place);
            }
        }
        for slot in 0..self.slots.len() {
            let (server, proxy) = self.slot(slot).clone();
            self.register(&server, &proxy, false);
        }
        sleep(ENTRY_TIMEOUT).await;
        let alive: Vec<String> = (0..self.slots.len())
            .map(|slot| self.slot(slot).0.id.clone())
            .collect();
        self.store
            .retain(|id| alive.iter().any(|other| other == id));
    }

    async fn fail(&self, slot: usize, failure: Failure, span: Duration) {
        let (server, proxy) = self.slot(slot).clone();
        let subject = Subject::Upstream(server.incarnation);
        // Routers must keep all guarantees under these failures.
        let excuses = !matches!(
            failure,
            Failure::Leaves
                | Failure::AnnouncesLeaving
                | Failure::Defers
                | Failure::EndlessAnswers
                | Failure::Limits
        );
        if excuses {
            self.checker.disturb(subject, span);
        }
        match failure {
            Failure::Crashes | Failure::Restarts => {
                let restart = Restart {
                    keeps_id: failure == Failure::Restarts,
                    delay: RESTART_DELAY,
                    ..Restart::draw(self.seed, server.incarnation)
                };
                self.end(&server, &proxy);
                self.restart(slot, &server, &proxy, restart).await;
            }
            Failure::Leaves => {
                if Restart::draw(self.seed, server.incarnation).is_announced {
                    self.register(&server, &proxy, true);
                } else {
                    self.store.unregister(&server.id);
                }
                self.checker.leave(server.incarnation);
                self.replace(slot, &server).await;
                sleep(DRAIN_TIME).await;
                self.end(&server, &proxy);
                self.remove_entry(&server.id);
            }
            Failure::AnnouncesLeaving => {
                let announcing =
                    server.misbehave_for(DRAIN_TIME, |behaviour| &mut behaviour.announces_leaving);
                announcing.await;
                self.replace(slot, &server).await;
                self.end(&server, &proxy);
                sleep(ENTRY_TIMEOUT).await;
                self.remove_entry(&server.id);
            }
            Failure::Defers => {
                server
                    .misbehave_for(span, |behaviour| &mut behaviour.defers)
                    .await;
            }
            Failure::Limits => {
                server
                    .misbehave_for(span, |behaviour| &mut behaviour.names_limit)
                    .await;
                self.checker.lift_limit(server.incarnation);
            }
            Failure::EndlessAnswers => {
                server
                    .misbehave_for(span, |behaviour| &mut behaviour.is_endless)
                    .await;
            }
            Failure::Pauses => {
                server
                    .misbehave_for(span, |behaviour| &mut behaviour.is_paused)
                    .await;
            }
            Failure::Slows => {
                server
                    .misbehave_for(span, |behaviour| &mut behaviour.is_slow)
                    .await
            }
            Failure::LosesAnswers => {
                server
                    .misbehave_for(span, |behaviour| &mut behaviour.loses_answers)
                    .await;
            }
            Failure::FailsRequests => {
                server
                    .misbehave_for(span, |behaviour| &mut behaviour.fails)
                    .await
            }
            Failure::SwapsAnswers => {
                server
                    .misbehave_for(span, |behaviour| &mut behaviour.swaps_answers)
                    .await
            }
            Failure::LateOrders => {
                server
                    .misbehave_for(span, |behaviour| &mut behaviour.is_late_with_orders)
                    .await;
            }
        }
        self.checker.disturb(subject, Duration::ZERO);
    }
}
