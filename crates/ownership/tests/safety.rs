//! Two upstreams never believe at the same time that they own the same shard, whatever
//! fails. The simulated upstreams keep track of what they believe.

mod simulation;

use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Name, Router};
use eelgrassrock_ownership::Event;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::{Config, MS, MessageFaults, Simulation, router, upstream};

const ROUTERS: usize = 3;
const UPSTREAMS: usize = 3;

/// Index that stands for the home of the first upstream.
const HOME: usize = ROUTERS;

#[derive(Clone, Debug)]
enum Fault {
    PauseRouter(usize, u64),
    StopRouter(usize),
    StartRouter(usize),
    DrainRouter(usize),
    PauseUpstream(usize, u64),
    StopUpstream(usize),
    StartUpstream(usize),
    CutRouters(usize, usize),
    CutTable(usize),
    CutUpstream(usize, usize),
    /// Cuts a router off from everything but the upstreams.
    Isolate(usize),
    Heal,
    TableDown,
    TableUp,
    MessageFaults(MessageFaults),
    Leaving(Vec<usize>),
}

fn fault() -> impl Strategy<Value = Fault> {
    let router = 0..=HOME;
    let upstream = prop_oneof![2 => Just(0), 1 => 0..UPSTREAMS];
    let message_faults =
        (0u32..200, 0u32..200, 0u32..200).prop_map(|(lost, duplicated, delayed)| MessageFaults {
            lost,
            duplicated,
            delayed,
        });
    prop_oneof![
        1 => (router.clone(), 100u64..4000).prop_map(|(it, ms)| Fault::PauseRouter(it, ms)),
        1 => router.clone().prop_map(Fault::StopRouter),
        1 => router.clone().prop_map(Fault::StartRouter),
        1 => router.clone().prop_map(Fault::DrainRouter),
        1 => (upstream.clone(), 100u64..3000).prop_map(|(it, ms)| Fault::PauseUpstream(it, ms)),
        1 => upstream.clone().prop_map(Fault::StopUpstream),
        1 => upstream.clone().prop_map(Fault::StartUpstream),
        1 => (router.clone(), router.clone()).prop_map(|(a, b)| Fault::CutRouters(a, b)),
        1 => router.clone().prop_map(Fault::CutTable),
        2 => router.clone().prop_map(Fault::Isolate),
        1 => (router, upstream.clone()).prop_map(|(a, b)| Fault::CutUpstream(a, b)),
        2 => Just(Fault::Heal),
        1 => Just(Fault::TableDown),
        2 => Just(Fault::TableUp),
        1 => message_faults.prop_map(Fault::MessageFaults),
        2 => prop::collection::vec(upstream, 0..2).prop_map(Fault::Leaving),
    ]
}

/// Returns the router with an index. `HOME` selects the home of the first upstream.
fn router_at(sim: &Simulation, index: usize) -> Router {
    if index == HOME {
        sim.home_of(&upstream(0))
    } else {
        router(index)
    }
}

fn inject(sim: &mut Simulation, fault: &Fault) {
    let later = |sim: &Simulation, ms: u64| sim.now + Duration::from_millis(ms);
    match fault {
        Fault::PauseRouter(it, ms) => {
            let at = later(sim, *ms);
            let name = router_at(sim, *it);
            sim.nodes[&name].paused_until = at;
        }
        Fault::StopRouter(it) => {
            let name = router_at(sim, *it);
            sim.nodes[&name].is_up = false;
        }
        Fault::StartRouter(it) => {
            let name = router_at(sim, *it);
            sim.start(sim.nodes.get_index_of(&name).unwrap());
        }
        Fault::DrainRouter(it) => {
            let name = router_at(sim, *it);
            sim.send(&name, Event::Drain);
        }
        Fault::PauseUpstream(it, ms) => {
            let at = later(sim, *ms);
            sim.upstreams[&upstream(*it)].paused_until = at;
        }
        Fault::StopUpstream(it) => sim.upstreams[&upstream(*it)].is_up = false,
        Fault::StartUpstream(it) => {
            let model = &mut sim.upstreams[&upstream(*it)];
            model.paused_until = Instant::default();
            model.restart();
        }
        Fault::CutRouters(a, b) => {
            let (a, b) = (router_at(sim, *a), router_at(sim, *b));
            sim.cut(a.as_str(), b.as_str());
        }
        Fault::CutTable(it) => {
            let name = router_at(sim, *it);
            sim.cut_table(name.as_str());
        }
        Fault::CutUpstream(a, b) => {
            let name = router_at(sim, *a);
            sim.cut(name.as_str(), upstream(*b).as_str());
        }
        Fault::Isolate(it) => {
            let name = router_at(sim, *it);
            sim.cut_table(name.as_str());
            for other in 0..ROUTERS {
                sim.cut(name.as_str(), router(other).as_str());
            }
        }
        Fault::Heal => sim.cut_links.clear(),
        Fault::TableDown => sim.table.is_up = false,
        Fault::TableUp => sim.table.is_up = true,
        Fault::MessageFaults(message_faults) => sim.message_faults = *message_faults,
        Fault::Leaving(upstreams) => {
            let leaving = upstreams.iter().map(|it| upstream(*it)).collect();
            sim.send_all(&Event::Leaving(leaving));
        }
    }
}

/// Runs a schedule and returns the simulation, which holds the first violation. Waits of
/// less than 100 ms make faults coincide.
fn run(checks_orders: bool, seed: u64, authority_ms: u64, faults: &[(u64, Fault)]) -> Simulation {
    let mut sim = Simulation::new(Config {
        routers: ROUTERS,
        upstreams: UPSTREAMS,
        shards: 16,
        checks_orders,
        authority: Duration::from_millis(authority_ms),
        seed,
        clock_rates_ppm: vec![0, 20_000, -20_000, 10_000],
        drift_ppm: 20_000,
        ..Config::default()
    });
    sim.run_for(3000 * MS);
    for (wait, fault) in faults {
        inject(&mut sim, fault);
        sim.run_for(Duration::from_millis(*wait));
    }
    sim.cut_links.clear();
    sim.table.is_up = true;
    sim.run_for(3000 * MS);
    sim
}

fn schedule() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let wait = prop_oneof![0u64..100, 100u64..1000, 500u64..3000];
    prop::collection::vec((wait, fault()), 1..24)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn sole_ownership_holds_with_checking_upstreams(
        seed in any::<u64>(),
        authority_ms in 1000u64..6000,
        faults in schedule(),
    ) {
        prop_assert_eq!(run(true, seed, authority_ms, &faults).violation, None);
    }

    #[test]
    fn sole_ownership_holds_with_unchecking_upstreams(
        seed in any::<u64>(),
        authority_ms in 1000u64..6000,
        faults in schedule(),
    ) {
        prop_assert_eq!(run(false, seed, authority_ms, &faults).violation, None);
    }
}

/// Guards against a violation by a late answer. A router took an upstream over again, and
/// the answer to an order of its earlier term arrived late. The router took it for the
/// answer to an order of the new term.
#[test]
fn late_answer_to_an_earlier_term_settles_nothing() {
    let message_faults = MessageFaults {
        lost: 187,
        duplicated: 61,
        delayed: 183,
    };
    let faults = vec![
        (2010, Fault::TableUp),
        (329, Fault::StartUpstream(1)),
        (0, Fault::MessageFaults(message_faults)),
        (1013, Fault::CutRouters(1, 2)),
        (1285, Fault::Leaving(vec![0])),
    ];
    let sim = run(true, 8781811462434346026, 4856, &faults);
    assert_eq!(sim.violation, None);
}

/// Guards against a home that settles too early. A router handed an upstream over under
/// its term and took it over again, while the successor in between was isolated. The
/// router counted only itself as an earlier home.
#[test]
fn retaken_home_waits_for_its_isolated_successor() {
    let faults = vec![
        (77, Fault::PauseUpstream(0, 519)),
        (0, Fault::Leaving(vec![])),
        (97, Fault::PauseRouter(1, 324)),
        (762, Fault::StopRouter(2)),
        (653, Fault::Isolate(1)),
        (1042, Fault::StopUpstream(0)),
        (2669, Fault::Heal),
        (0, Fault::PauseRouter(1, 1035)),
        (1351, Fault::StartRouter(3)),
        (4, Fault::CutUpstream(0, 0)),
        (35, Fault::StartRouter(2)),
        (180, Fault::TableDown),
        (0, Fault::TableUp),
        (0, Fault::Isolate(2)),
        (337, Fault::Leaving(vec![1])),
    ];
    let sim = run(false, 7653968001162235818, 3777, &faults);
    assert_eq!(sim.violation, None);
}
