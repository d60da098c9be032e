//! Cold upstreams: where the news of them comes from, and what operators see of them.

mod permit;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::service::cold::{Change, Source};
use eelgrassrock_dispatch::upstream::Upstream;
use serde::Serialize;

pub(crate) use self::permit::{Answer, Permits, Question};
use crate::clock;
use crate::node::Node;
use crate::platform::Platform;

#[derive(Serialize)]
struct ColdLine<'a> {
    service: &'a str,
    upstream: &'a str,
    left_ms: u64,
    source: &'a str,
}

#[derive(Serialize)]
struct WarmLine<'a> {
    service: &'a str,
    upstream: &'a str,
}

impl<P: Platform> Node<P> {
    /// Counts all upstreams of a data centre as cold until something better is known, because its
    /// evacuation has ended.
    pub(crate) fn assume_cold(self: &Rc<Self>, data_centre: &str) {
        let Some(directory) = self.state.borrow().directory.clone() else {
            return;
        };
        for (name, declared) in &directory.services {
            let Some(warm_up) = declared.warm_up else {
                continue;
            };
            let listed = self.state.borrow().registry.of_service(name);
            let is_there = |upstream: &Arc<Upstream>| &*upstream.data_centre == data_centre;
            let there: Vec<Arc<Upstream>> = listed.into_iter().filter(is_there).collect();
            self.with_service(name, |service, now| {
                for upstream in &there {
                    service.set_cold(upstream, warm_up.time, Source::Evacuation, now);
                }
            });
        }
    }

    /// Returns the requests per second that all routers together may send an upstream because it is
    /// cold.
    pub(crate) fn cold_limit_per_s(&self, upstream: &Upstream) -> Option<f64> {
        let state = self.state.borrow();
        let service = state.services.get(&upstream.service)?;
        service.cold_limit_per_s(upstream, clock::now())
    }

    pub(crate) fn log_cold_changes(&self, service: &str, changes: Vec<Change>) {
        for change in changes {
            match change.cold {
                Some((left, source)) => {
                    let line = ColdLine {
                        service,
                        upstream: &change.upstream,
                        left_ms: millis(left),
                        source: source.as_str(),
                    };
                    self.log.info("upstream cold", &line);
                }
                None => {
                    let upstream = &change.upstream;
                    self.log
                        .info("upstream warm", &WarmLine { service, upstream });
                }
            }
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
