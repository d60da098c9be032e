//! Helpers shared by the tests: a machine with one upstream, and requests for it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::fleet::{Class, Patience, Repeat};
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Digest, Upstream};
use eelgrassrock_request::idempotency::{Key, Token};
use eelgrassrock_request::{
    Action, Answer, Arrival, Event, Grant, Id, Machine, Settings, Stored, Verdict, example,
};

pub(crate) const DEADLINE: Duration = Duration::from_secs(2);

pub(crate) fn upstream() -> Upstream {
    "lookup-1".parse().unwrap()
}

pub(crate) fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Returns a machine that serves `lookup-1`, which has two slots.
pub(crate) fn machine(settings: Settings) -> Machine {
    let mut machine = Machine::new(settings);
    machine.step(at(0), Event::Fleet(example::fleet()));
    let grant = Grant::Held;
    let upstream = upstream();
    machine.step(at(0), Event::GrantChanged { upstream, grant });
    machine
}

pub(crate) fn class(repeat: Repeat, patience: Patience) -> Arc<Class> {
    Arc::new(Class {
        name: Arc::from("test"),
        repeat,
        patience,
        deadline: DEADLINE,
        needs_idempotency_key: repeat == Repeat::Once,
    })
}

pub(crate) fn read(id: u64, now: Instant) -> Arrival {
    Arrival {
        request: Id(id),
        upstream: upstream(),
        shard: Shard(id as u32 % 64),
        partner: "broker".parse().unwrap(),
        class: class(Repeat::Idempotent, Patience::Wait),
        deadline: now + DEADLINE,
        attempts: 0,
        bytes: 100,
        idempotency: None,
    }
}

pub(crate) fn once(id: u64, now: Instant, key: &str, body: u8) -> Arrival {
    Arrival {
        class: class(Repeat::Once, Patience::Wait),
        idempotency: Some(Token {
            key: Key::try_from(key).unwrap(),
            body: Digest::from_bytes([body; 32]),
            carried: None,
        }),
        ..read(id, now)
    }
}

pub(crate) fn done(id: u64, attempt: u32) -> Event {
    answered(
        id,
        attempt,
        Answer::Done(Stored {
            status: 200,
            content: None,
        }),
    )
}

pub(crate) fn answered(id: u64, attempt: u32, answer: Answer) -> Event {
    Event::Answered {
        request: Id(id),
        attempt,
        answer,
    }
}

pub(crate) fn began(id: u64, attempt: u32) -> Event {
    Event::Began {
        request: Id(id),
        attempt,
    }
}

/// Returns the requests that the actions send.
pub(crate) fn sent(actions: &[Action]) -> Vec<u64> {
    let send = |action: &Action| match action {
        Action::Send { request, .. } => Some(request.0),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Returns the final answers that the actions give.
pub(crate) fn finished(actions: &[Action]) -> Vec<(u64, Verdict)> {
    let finish = |action: &Action| match action {
        Action::Finish { request, verdict } => Some((request.0, *verdict)),
        _ => None,
    };
    actions.iter().filter_map(finish).collect()
}

pub(crate) fn cancels(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Cancel { request: Id(id) })
}
