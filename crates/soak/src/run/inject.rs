//! Faults, carried out on the parts of a run.

use std::time::Duration;

use eelgrassrock_platform_standin::store::Faults;
use rustix::process::Signal;
use tokio::time::sleep;

use super::{Fleet, GRACE};
use crate::ledger::Subject;
use crate::router::RESTART_PAUSE;
use crate::schedule::{Degradation, Event, Failure, Fault, Impairment, Link};

/// Time after which the entry of an upstream that gives no sign is removed.
const LAPSE: Duration = Duration::from_millis(2_600);
/// Time for which an upstream serves after it has said that it leaves: longer
/// than routers may send to it.
const DRAIN: Duration = Duration::from_millis(5_000);
/// Time after which the operator and the upstreams have written theirs again in a store
/// that came back from a copy.
const REWRITE_PAUSE: Duration = Duration::from_millis(700);
/// Pause before a replacement of an upstream that died.
const REPLACE_PAUSE: Duration = Duration::from_millis(800);
/// Share of the calls whose answer the store loses, or that take effect late.
const LOST_SHARE: f64 = 0.3;
const LATE_BY: Duration = Duration::from_millis(1_500);

impl Fleet {
    /// Carries a fault out, until it is over.
    pub(super) async fn inject(&self, event: Event) {
        let span = event.span;
        match event.fault {
            Fault::Kill(router) => self.kill(router),
            Fault::KillAll => (0..self.routers.len()).for_each(|router| self.kill(router)),
            Fault::Pause(router) => self.pause(router, span).await,
            Fault::Terminate(router) => {
                self.ledger.plan_stop(router, GRACE);
                self.routers[router].terminate().await;
                self.ledger.disturb(Subject::Router(router), RESTART_PAUSE);
            }
            Fault::Reload(router) => self.routers[router].signal(Signal::HUP),
            Fault::Link(link, impairment) => self.impair(link, impairment, span).await,
            Fault::Store(degradation) => self.degrade(degradation, span).await,
            Fault::Forget => {
                self.ledger.disturb(Subject::Store, Duration::ZERO);
                self.store.forget_history();
            }
            Fault::Restore(age) => self.restore(age).await,
            Fault::Upstream(slot, failure) => self.fail(slot, failure, span).await,
            Fault::Configure => self.configure(),
        }
    }

    fn kill(&self, router: usize) {
        self.ledger.disturb(Subject::Router(router), RESTART_PAUSE);
        self.routers[router].signal(Signal::KILL);
    }

    async fn pause(&self, router: usize, span: Duration) {
        self.ledger.disturb(Subject::Router(router), span);
        self.routers[router].signal(Signal::STOP);
        sleep(span).await;
        self.routers[router].signal(Signal::CONT);
        self.ledger.thaw();
        self.ledger.disturb(Subject::Router(router), Duration::ZERO);
    }

    async fn impair(&self, link: Link, impairment: Impairment, span: Duration) {
        let current;
        let (proxy, subject) = match link {
            Link::Front(router) => (&self.front_proxies[router], Subject::Router(router)),
            Link::Store(router) => (&self.store_proxies[router], Subject::Router(router)),
            Link::Upstream(slot) => {
                current = self.slot(slot).clone();
                (&*current.1, Subject::Upstream(current.0.life))
            }
        };
        self.ledger.disturb(subject, span);
        match impairment {
            Impairment::Delay(delay) => proxy.delay(delay),
            Impairment::CutForward => proxy.cut([true, false]),
            Impairment::CutBackward => proxy.cut([false, true]),
            Impairment::Cut => proxy.cut([true, true]),
            Impairment::Reset => return proxy.reset(),
            Impairment::Silence => return proxy.silence(),
        }
        sleep(span).await;
        proxy.delay(Duration::ZERO);
        proxy.cut([false, false]);
        self.ledger.thaw();
        self.ledger.disturb(subject, Duration::ZERO);
    }

    async fn degrade(&self, degradation: Degradation, span: Duration) {
        self.ledger.disturb(Subject::Store, span);
        let mut faults = Faults::default();
        match degradation {
            Degradation::Down => faults.is_down = true,
            Degradation::Slow(delay) => faults.delay = delay,
            Degradation::LosesAnswers => faults.lost = LOST_SHARE,
            Degradation::WritesLate => {
                faults.late = LOST_SHARE;
                faults.late_by = LATE_BY;
            }
        }
        self.store.set_faults(faults);
        sleep(span).await;
        self.store.set_faults(Faults::default());
        self.ledger.disturb(Subject::Store, Duration::ZERO);
    }

    /// Brings the store back from a copy. The operator and the upstreams write theirs
    /// again; entries of upstreams that have ended lapse.
    async fn restore(&self, age: Duration) {
        self.ledger.disturb(Subject::Store, REWRITE_PAUSE);
        self.store.restore(age);
        sleep(REWRITE_PAUSE).await;
        self.write_configuration();
        for slot in 0..self.slots.len() {
            let (server, proxy) = self.slot(slot).clone();
            self.state(&server, &proxy, false);
        }
        sleep(LAPSE).await;
        let alive: Vec<String> = (0..self.slots.len())
            .map(|slot| self.slot(slot).0.id.clone())
            .collect();
        self.store
            .retain(|id| alive.iter().any(|other| other == id));
    }

    async fn fail(&self, slot: usize, failure: Failure, span: Duration) {
        let (server, proxy) = self.slot(slot).clone();
        let subject = Subject::Upstream(server.life);
        // These excuse nothing at the routers.
        let excuses = !matches!(
            failure,
            Failure::Leaves | Failure::SaysLeaving | Failure::Defers | Failure::Endless
        );
        if excuses {
            self.ledger.disturb(subject, span);
        }
        match failure {
            Failure::Dies => {
                server.end();
                sleep(REPLACE_PAUSE).await;
                self.replace(slot, &server, None).await;
                sleep(LAPSE - REPLACE_PAUSE).await;
                self.store.unregister(&server.id);
                self.ledger.leave(server.life);
            }
            Failure::Restarts => {
                server.end();
                sleep(REPLACE_PAUSE).await;
                self.replace(slot, &server, Some(server.id.clone())).await;
            }
            Failure::Leaves => {
                self.state(&server, &proxy, true);
                self.ledger.leave(server.life);
                self.replace(slot, &server, None).await;
                sleep(DRAIN).await;
                server.end();
                self.store.unregister(&server.id);
            }
            Failure::SaysLeaving => {
                let says = server.behave_for(DRAIN, |behaviour| &mut behaviour.says_leaving);
                says.await;
                self.replace(slot, &server, None).await;
                server.end();
                sleep(LAPSE).await;
                self.store.unregister(&server.id);
            }
            Failure::Defers => {
                server
                    .behave_for(span, |behaviour| &mut behaviour.defers)
                    .await;
            }
            Failure::Endless => {
                server
                    .behave_for(span, |behaviour| &mut behaviour.is_endless)
                    .await;
            }
            Failure::Pauses => {
                server
                    .behave_for(span, |behaviour| &mut behaviour.is_paused)
                    .await;
                self.ledger.thaw();
            }
            Failure::Slows => {
                server
                    .behave_for(span, |behaviour| &mut behaviour.is_slow)
                    .await
            }
            Failure::LosesAnswers => {
                server
                    .behave_for(span, |behaviour| &mut behaviour.loses_answers)
                    .await;
            }
            Failure::Fails => {
                server
                    .behave_for(span, |behaviour| &mut behaviour.fails)
                    .await
            }
            Failure::MixesUp => {
                server
                    .behave_for(span, |behaviour| &mut behaviour.mixes_up)
                    .await
            }
            Failure::LateOrders => {
                server
                    .behave_for(span, |behaviour| &mut behaviour.is_late_with_orders)
                    .await;
            }
        }
        self.ledger.disturb(subject, Duration::ZERO);
    }
}
