//! Upstreams, requests and services for the tests.
#![allow(dead_code)] // Each test file uses a part of it.

pub(crate) mod fleet;

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::budget::Limits;
use eelgrassrock_dispatch::directory::Repeat;
use eelgrassrock_dispatch::service::{Detour, Request, Service, Span, Step};
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;

pub(crate) const NEAR: &str = "dc-a";
pub(crate) const FAR: &str = "dc-b";

pub(crate) fn at(ms: u64) -> Instant {
    Instant::from_millis(1_000_000 + ms)
}

pub(crate) fn limits() -> Limits {
    Limits {
        ratio: 0.2,
        extra: 10.0,
        window: Duration::from_secs(10),
    }
}

pub(crate) fn upstream(id: &str, data_centre: &str, slots: u32) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: id.into(),
        incarnation: 1,
        sequence: 1,
        service: "sheets".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: data_centre.into(),
        slots,
        leaving: false,
        warm_up: Duration::ZERO,
    })
}

pub(crate) fn leaving(id: &str) -> Arc<Upstream> {
    Arc::new(Upstream {
        leaving: true,
        ..(*upstream(id, NEAR, 2)).clone()
    })
}

pub(crate) fn service(upstreams: &[Arc<Upstream>]) -> Service {
    let mut service = Service::new(NEAR.into(), limits());
    service.set_upstreams(upstreams.to_vec(), at(0));
    service
}

/// Returns a service whose keys are all held by one upstream of two slots.
pub(crate) fn keyed() -> Service {
    let mut service = service(&[upstream("one", NEAR, 2)]);
    service.set_spans(Some(vec![span(0, u16::MAX, Some("one"))]));
    service
}

pub(crate) fn span(from: u16, to: u16, holder: Option<&str>) -> Span {
    Span {
        from,
        to,
        holder: holder.map(Into::into),
    }
}

/// Returns a request that arrives at `ms` and has two seconds.
pub(crate) fn request(ticket: u64, key: Option<u16>, ms: u64) -> Request {
    Request {
        ticket,
        key,
        priority: 1,
        repeat: Repeat::Idempotent,
        arrived: at(ms),
        target: at(ms + 600),
        give_up: at(ms + 2_000),
        max_attempts: 2,
        runs: 0,
        tried: Vec::new(),
        retry_at: at(ms),
        is_repeat: false,
        detour: Detour::Open,
    }
}

pub(crate) fn sent_to(step: &Step) -> Option<&str> {
    match step {
        Step::Send { upstream, .. } => Some(&upstream.id),
        _ => None,
    }
}
