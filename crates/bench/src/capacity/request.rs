//! Admission, dispatch and answers of requests at one home.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::fleet::{Class, Patience, Repeat};
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_request::idempotency::Token;
use eelgrassrock_request::{Action, Answer, Arrival, Event, Grant, Id, Machine, Settings, Stored};

use super::deployment::{fleet, upstream};
use super::{Series, micros, names};
use crate::{cpu, memory};

const REQUESTS: [usize; 4] = [500, 1_000, 2_000, 4_000];
const UPSTREAMS: usize = 4;
const RUNS: usize = 5;
const START: Instant = Instant::from_millis(1_000);
const DEADLINE: Duration = Duration::from_secs(600);

/// Returns the machine of a router that is home of a few upstreams.
pub(crate) fn machine(settings: Settings) -> Machine {
    let mut machine = Machine::new(settings);
    machine.step(START, Event::Fleet(fleet(UPSTREAMS)));
    for number in 0..UPSTREAMS {
        let grant = Grant::Held;
        machine.step(
            START,
            Event::GrantChanged {
                upstream: upstream(number),
                grant,
            },
        );
    }
    machine
}

/// Returns a request, whose class follows from whether it may repeat.
pub(crate) fn arrival(number: usize, now: Instant, idempotency: Option<Token>) -> Arrival {
    let once = idempotency.is_some();
    let class = Class {
        name: Arc::from("lookup"),
        repeat: if once {
            Repeat::Once
        } else {
            Repeat::Idempotent
        },
        patience: Patience::Wait,
        deadline: DEADLINE,
        needs_idempotency_key: once,
    };
    Arrival {
        request: Id(number as u64),
        upstream: upstream(number % UPSTREAMS),
        shard: Shard(number as u32 % 64),
        partner: names::name("partner", 1),
        class: Arc::new(class),
        deadline: now + DEADLINE,
        attempts: 0,
        bytes: 512,
        idempotency,
    }
}

/// Answers every request that the machine sends, also those that it sends in
/// turn, and returns the other actions.
pub(crate) fn serve(machine: &mut Machine, now: Instant, actions: Vec<Action>) -> Vec<Action> {
    let mut open = VecDeque::from(actions);
    let mut rest = Vec::new();
    while let Some(action) = open.pop_front() {
        let Action::Send {
            request, attempt, ..
        } = action
        else {
            rest.push(action);
            continue;
        };
        let answer = Answer::Done(Stored {
            status: 200,
            content: None,
        });
        open.extend(machine.step(now, Event::Began { request, attempt }));
        open.extend(machine.step(now, Event::Responding { request, attempt }));
        open.extend(machine.step(
            now,
            Event::Answered {
                request,
                attempt,
                answer,
            },
        ));
    }
    rest
}

fn run(machine: &mut Machine, arrivals: Vec<Arrival>) {
    let mut now = START;
    for arrival in arrivals {
        now = now + Duration::from_micros(200);
        let actions = machine.step(now, Event::Arrive(arrival));
        serve(machine, now, actions);
    }
}

pub(crate) fn measure() -> Vec<Series> {
    let mut processor = Series::new("request.cpu", "us", "request");
    let mut waiting = Series::new("request.memory", "B", "waiting request");
    for count in REQUESTS {
        let arrivals: Vec<Arrival> = (0..count)
            .map(|number| arrival(number, START, None))
            .collect();
        let span = cpu::median(
            RUNS,
            || (machine(Settings::builder().build()), arrivals.clone()),
            |(machine, arrivals)| run(machine, std::mem::take(arrivals)),
        );
        processor.push(count, micros(span));
        let settings = Settings::builder()
            .queue_requests(1 << 20)
            .queue_bytes(1 << 40);
        let mut machine = machine(settings.build());
        let (_, bytes) = memory::retained(|| {
            for arrival in arrivals {
                machine.step(START, Event::Arrive(arrival));
            }
        });
        waiting.push(count, bytes as f64);
    }
    vec![processor, waiting]
}
