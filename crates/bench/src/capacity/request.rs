//! Admission, dispatch and completion of requests at one home, whose upstreams answer
//! immediately.

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

const REQUEST_COUNTS: [usize; 4] = [500, 1_000, 2_000, 4_000];
const UPSTREAMS: usize = 4;
const MIN_RUNS: usize = 5;
const START: Instant = Instant::from_millis(1_000);
const DEADLINE: Duration = Duration::from_secs(600);

/// Returns the machine of a router that holds the grants of [`UPSTREAMS`] upstreams.
pub(crate) fn machine_with_grants(settings: Settings) -> Machine {
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

/// Returns a request. It runs at most once if it has an idempotency token, and may be repeated
/// otherwise.
pub(crate) fn arrival(number: usize, now: Instant, idempotency: Option<Token>) -> Arrival {
    let is_once = idempotency.is_some();
    let class = Class {
        name: Arc::from("lookup"),
        repeat: if is_once {
            Repeat::Once
        } else {
            Repeat::Idempotent
        },
        patience: Patience::Wait,
        deadline: DEADLINE,
        needs_idempotency_key: is_once,
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

/// Answers every request that the machine sends, including those that it sends in response to
/// an answer, and returns the other actions.
pub(crate) fn complete_sends(
    machine: &mut Machine,
    now: Instant,
    actions: Vec<Action>,
) -> Vec<Action> {
    let mut pending = VecDeque::from(actions);
    let mut others = Vec::new();
    while let Some(action) = pending.pop_front() {
        let Action::Send {
            request, attempt, ..
        } = action
        else {
            others.push(action);
            continue;
        };
        let answer = Answer::Done(Stored {
            status: 200,
            content: None,
        });
        pending.extend(machine.step(now, Event::Began { request, attempt }));
        pending.extend(machine.step(now, Event::Responding { request, attempt }));
        pending.extend(machine.step(
            now,
            Event::Answered {
                request,
                attempt,
                answer,
            },
        ));
    }
    others
}

fn run(machine: &mut Machine, arrivals: Vec<Arrival>) {
    let mut now = START;
    for arrival in arrivals {
        now = now + Duration::from_micros(200);
        let actions = machine.step(now, Event::Arrive(arrival));
        complete_sends(machine, now, actions);
    }
}

pub(crate) fn measure() -> Vec<Series> {
    let mut cpu_time = Series::new("request.cpu", "us", "request");
    let mut queue_memory = Series::new("request.memory", "B", "waiting request");
    for count in REQUEST_COUNTS {
        let arrivals: Vec<Arrival> = (0..count)
            .map(|number| arrival(number, START, None))
            .collect();
        let time = cpu::median_time(
            MIN_RUNS,
            || {
                (
                    machine_with_grants(Settings::builder().build()),
                    arrivals.clone(),
                )
            },
            |(machine, arrivals)| run(machine, std::mem::take(arrivals)),
        );
        cpu_time.push(count, micros(time));
        let settings = Settings::builder()
            .queue_requests(1 << 20)
            .queue_bytes(1 << 40);
        let mut machine = machine_with_grants(settings.build());
        let (_, bytes) = memory::retained(|| {
            for arrival in arrivals {
                machine.step(START, Event::Arrive(arrival));
            }
        });
        queue_memory.push(count, bytes as f64);
    }
    vec![cpu_time, queue_memory]
}
