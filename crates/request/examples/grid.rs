//! Prints the measurements of docs/design/REQUESTS.md as Markdown tables.
//!
//! `cargo run -p eelgrassrock-request --example grid -- load|fault|shape|shares|claims|cost`

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::fleet::{Class, Patience, Repeat};
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_request::simulation::{Discipline, Fault, Load, Partner, Report, run};
use eelgrassrock_request::{Action, Answer, Arrival, Event, Grant, Id, Machine, Settings, Stored};

const SECONDS: u64 = 20;

fn main() {
    let wanted = std::env::args().nth(1);
    match wanted.as_deref() {
        Some("load") => print_loads(),
        Some("fault") => print_faults(),
        Some("shape") => print_shapes(),
        Some("shares") => print_shares(),
        Some("claims") => print_claims(),
        Some("cost") => print_cost(),
        _ => println!("expected one of: load, fault, shape, shares, claims, cost"),
    }
}

fn services() -> [Load; 6] {
    [
        Load::lookup(),
        Load::issue(),
        Load::label(),
        Load::catalogue(),
        Load::booking(),
        Load::manifest(),
    ]
}

fn print_header() {
    println!(
        "| service | load % | discipline | good % | wait p50 ms | p99 | p99.9 | sent/offered \
         | refused % | of it late % | unknown % | retry held % | told/true |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
}

fn print_row(load: &Load, discipline: Discipline, note: &str) {
    let report = run(load, discipline);
    let share = |count: u64| 100.0 * count as f64 / report.offered.max(1) as f64;
    println!(
        "| {} | {} | {discipline:?}{note} | {:.1} | {} | {} | {} | {:.3} | {:.1} | {:.1} | {:.2} | {:.0} | {:.2} |",
        load.name,
        load.percent,
        100.0 * report.goodput(),
        worst(&report, 0.5),
        worst(&report, 0.99),
        worst(&report, 0.999),
        report.amplification(),
        share(report.refused),
        share(report.refused_late),
        share(report.unknown),
        100.0 * report.retry_admitted_share,
        report.retry_accuracy,
    );
}

/// Returns the longest wait for a slot among the partners at this quantile, in
/// milliseconds.
fn worst(report: &Report, quantile: f64) -> String {
    let waits = report.partners.iter().map(|waits| waits.queue(quantile));
    let worst = waits.max().unwrap_or_default();
    format!("{:.1}", worst.as_secs_f64() * 1e3)
}

fn print_loads() {
    print_header();
    for load in services() {
        for percent in [70, 90, 110, 200] {
            let load = load.clone().at_percent(percent).seconds(SECONDS);
            print_row(&load, Discipline::Home, "");
            print_row(&load, Discipline::Baseline, "");
        }
    }
}

fn print_faults() {
    print_header();
    for load in services() {
        for (fault, note) in [
            (Fault::Slow(5), " slow"),
            (Fault::Frozen, " frozen"),
            (Fault::Lost, " lost"),
        ] {
            let load = load
                .clone()
                .at_percent(70)
                .seconds(SECONDS)
                .with_fault(fault);
            print_row(&load, Discipline::Home, note);
            print_row(&load, Discipline::Baseline, note);
        }
    }
}

fn print_shapes() {
    print_header();
    for load in [Load::lookup(), Load::catalogue()] {
        for percent in [70, 90, 110] {
            let load = load.clone().at_percent(percent).seconds(SECONDS);
            for discipline in [
                Discipline::Home,
                Discipline::Local(2),
                Discipline::Local(10),
            ] {
                print_row(&load, discipline, "");
            }
        }
    }
}

fn print_claims() {
    println!(
        "| service | load % | requests/s | transactions/s | rows per transaction | answer p50 ms | p99 |"
    );
    println!("|---|---|---|---|---|---|---|");
    for load in [Load::issue(), Load::booking()] {
        for percent in [10, 70, 110] {
            let load = load.clone().at_percent(percent).seconds(SECONDS);
            for claims in [true, false] {
                print_claim_row(&load, claims);
            }
        }
    }
}

fn print_claim_row(load: &Load, claims: bool) {
    let mut load = load.clone();
    if !claims {
        load.repeat = Repeat::Idempotent;
    }
    let report = run(&load, Discipline::Home);
    let seconds = load.duration.as_secs_f64();
    let waits = &report.partners[0];
    let rows = match report.writes {
        0 => "-".to_owned(),
        writes => format!(
            "{:.1}",
            2.0 * (report.in_time + report.late) as f64 / writes as f64
        ),
    };
    println!(
        "| {}{} | {} | {:.0} | {:.1} | {} | {:.1} | {:.1} |",
        load.name,
        if claims { "" } else { " without claims" },
        load.percent,
        report.offered as f64 / seconds,
        report.writes as f64 / seconds,
        rows,
        waits.answer(0.5).as_secs_f64() * 1e3,
        waits.answer(0.99).as_secs_f64() * 1e3,
    );
}

/// Prints the time per step of a request, which takes three steps, with full queues and
/// with empty ones.
fn print_cost() {
    println!("| partners with full queues | requests waiting | ns per step |");
    println!("|---|---|---|");
    for partners in [0, 10, 100, 1_000] {
        let (waiting, nanos) = cost(partners);
        println!("| {partners} | {waiting} | {nanos} |");
    }
}

fn cost(partners: u64) -> (usize, u128) {
    let now = Instant::from_millis(1);
    let mut machine = Machine::new(Settings::builder().build());
    machine.step(now, Event::Fleet(eelgrassrock_request::example::fleet()));
    let upstream: eelgrassrock_model::Upstream = "lookup-1".parse().expect("a valid name");
    let grant = Grant::Held;
    machine.step(
        now,
        Event::GrantChanged {
            upstream: upstream.clone(),
            grant,
        },
    );
    let class = Arc::new(Class {
        name: Arc::from("lookup"),
        repeat: Repeat::Idempotent,
        patience: Patience::Wait,
        deadline: Duration::from_secs(10_000),
        needs_idempotency_key: false,
    });
    let arrive = |id: u64, partner: u64| {
        Event::Arrive(Arrival {
            request: Id(id),
            upstream: upstream.clone(),
            shard: Shard(0),
            partner: format!("partner-{partner}").parse().expect("a valid name"),
            class: class.clone(),
            deadline: now + class.deadline,
            attempts: 0,
            bytes: 100,
            idempotency: None,
        })
    };
    let mut running = VecDeque::new();
    let mut id = 0;
    for partner in 0..partners {
        for _ in 0..256 {
            id += 1;
            collect_sends(machine.step(now, arrive(id, partner)), &mut running);
        }
    }
    let waiting = machine.snapshot().requests;
    let mut steps = 0;
    let start = std::time::Instant::now();
    for round in 0..200_000 {
        id += 1;
        collect_sends(
            machine.step(now, arrive(id, round % partners.max(1))),
            &mut running,
        );
        steps += 1;
        if let Some((request, attempt)) = running.pop_front() {
            machine.step(now, Event::Began { request, attempt });
            let answer = Answer::Done(Stored {
                status: 200,
                content: None,
            });
            let event = Event::Answered {
                request,
                attempt,
                answer,
            };
            collect_sends(machine.step(now, event), &mut running);
            steps += 2;
        }
    }
    (waiting, start.elapsed().as_nanos() / steps)
}

fn collect_sends(actions: Vec<Action>, running: &mut VecDeque<(Id, u32)>) {
    for action in actions {
        if let Action::Send {
            request, attempt, ..
        } = action
        {
            running.push_back((request, attempt));
        }
    }
}

/// Prints the latency of a partner in three cases: alone on its share of the slots, alone
/// on all slots, and together with a partner that offers ten times its share.
fn print_shares() {
    println!(
        "| slots | part of its share % | p99 wait ms: own slots | all slots | beside | p99 answer ms: own slots | all slots | beside | share of busy time beside % |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for slots in [2, 4] {
        for percent in [50, 70, 90] {
            let own = run(&quiet(slots / 2, percent, 0.0), Discipline::Home);
            let all = run(&quiet(slots, percent / 2, 0.0), Discipline::Home);
            let flood = 1000.0;
            let total = (f64::from(percent) + flood) / 2.0;
            let mut load = quiet(slots, total as u32, flood);
            load.partners[0].load_share = f64::from(percent);
            let beside = run(&load, Discipline::Home);
            let reports = [&own, &all, &beside];
            let wait = reports.map(|report| report.partners[0].queue(0.99).as_millis());
            let answer = reports.map(|report| report.partners[0].answer(0.99).as_millis());
            let busy = beside.partners[0].busy.as_secs_f64();
            let both = busy + beside.partners[1].busy.as_secs_f64();
            println!(
                "| {slots} | {percent} | {} | {} | {} | {} | {} | {} | {:.1} |",
                wait[0],
                wait[1],
                wait[2],
                answer[0],
                answer[1],
                answer[2],
                100.0 * busy / both,
            );
        }
    }
}

fn quiet(slots: u32, percent: u32, flood: f64) -> Load {
    let partner = |name: &str, load_share| Partner {
        name: name.to_owned(),
        weight: 1,
        load_share,
    };
    let mut partners = vec![partner("quiet", 1.0)];
    if flood > 0.0 {
        partners.push(partner("flood", flood));
    }
    let mut load = Load::booking()
        .at_percent(percent)
        .seconds(300)
        .with_partners(partners);
    load.repeat = Repeat::Idempotent;
    load.patience = Patience::Wait;
    load.upstreams = 1;
    load.slots = slots;
    load
}
