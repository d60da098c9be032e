//! No two upstreams believe at one moment that they own the same shard,
//! whatever fails. The belief is kept by the model of the upstreams.

mod world;

use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Name, Router};
use eelgrassrock_ownership::Event;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use world::{MS, Noise, Shape, World, router, upstream};

const ROUTERS: usize = 3;
const UPSTREAMS: usize = 3;

/// Stands for the router that is home of the first upstream.
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
    /// Cuts a router off from all but the upstreams.
    Isolate(usize),
    Heal,
    TableDown,
    TableUp,
    Noise(Noise),
    Leaving(Vec<usize>),
}

fn fault() -> impl Strategy<Value = Fault> {
    let router = 0..=HOME;
    let upstream = prop_oneof![2 => Just(0), 1 => 0..UPSTREAMS];
    let noise = (0u32..200, 0u32..200, 0u32..200).prop_map(|(lost, doubled, late)| Noise {
        lost,
        doubled,
        late,
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
        1 => noise.prop_map(Fault::Noise),
        2 => prop::collection::vec(upstream, 0..2).prop_map(Fault::Leaving),
    ]
}

/// Returns a router by its index.
fn pick(world: &World, index: usize) -> Router {
    if index == HOME {
        world.home_of(&upstream(0))
    } else {
        router(index)
    }
}

fn apply(world: &mut World, fault: &Fault) {
    let later = |world: &World, ms: u64| world.now + Duration::from_millis(ms);
    match fault {
        Fault::PauseRouter(it, ms) => {
            let at = later(world, *ms);
            let name = pick(world, *it);
            world.nodes[&name].paused_until = at;
        }
        Fault::StopRouter(it) => {
            let name = pick(world, *it);
            world.nodes[&name].up = false;
        }
        Fault::StartRouter(it) => {
            let name = pick(world, *it);
            world.start(world.nodes.get_index_of(&name).unwrap());
        }
        Fault::DrainRouter(it) => {
            let name = pick(world, *it);
            world.send(&name, Event::Drain);
        }
        Fault::PauseUpstream(it, ms) => {
            let at = later(world, *ms);
            world.upstreams[&upstream(*it)].paused_until = at;
        }
        Fault::StopUpstream(it) => world.upstreams[&upstream(*it)].up = false,
        Fault::StartUpstream(it) => {
            let model = &mut world.upstreams[&upstream(*it)];
            model.paused_until = Instant::default();
            model.restart();
        }
        Fault::CutRouters(a, b) => {
            let (a, b) = (pick(world, *a), pick(world, *b));
            world.cut(a.as_str(), b.as_str());
        }
        Fault::CutTable(it) => {
            let name = pick(world, *it);
            world.cut_table(name.as_str());
        }
        Fault::CutUpstream(a, b) => {
            let name = pick(world, *a);
            world.cut(name.as_str(), upstream(*b).as_str());
        }
        Fault::Isolate(it) => {
            let name = pick(world, *it);
            world.cut_table(name.as_str());
            for other in 0..ROUTERS {
                world.cut(name.as_str(), router(other).as_str());
            }
        }
        Fault::Heal => world.cuts.clear(),
        Fault::TableDown => world.table.up = false,
        Fault::TableUp => world.table.up = true,
        Fault::Noise(noise) => world.noise = *noise,
        Fault::Leaving(upstreams) => {
            let leaving = upstreams.iter().map(|it| upstream(*it)).collect();
            world.send_all(&Event::Leaving(leaving));
        }
    }
}

/// Runs a schedule and returns the first violation. Steps of less than 100 ms
/// make faults coincide.
fn run(checks_orders: bool, seed: u64, authority_ms: u64, faults: &[(u64, Fault)]) -> World {
    let mut world = World::new(Shape {
        routers: ROUTERS,
        upstreams: UPSTREAMS,
        shards: 16,
        checks_orders,
        authority: Duration::from_millis(authority_ms),
        seed,
        rates: vec![0, 20_000, -20_000, 10_000],
        drift_ppm: 20_000,
        ..Shape::default()
    });
    world.run_for(3000 * MS);
    for (wait, fault) in faults {
        apply(&mut world, fault);
        world.run_for(Duration::from_millis(*wait));
    }
    world.cuts.clear();
    world.table.up = true;
    world.run_for(3000 * MS);
    world
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

/// A router took an upstream over again, and the answer to an order of its
/// earlier term came late. It took that for an order of the new term.
#[test]
fn late_answer_to_an_earlier_term_settles_nothing() {
    let noise = Noise {
        lost: 187,
        doubled: 61,
        late: 183,
    };
    let faults = vec![
        (2010, Fault::TableUp),
        (329, Fault::StartUpstream(1)),
        (0, Fault::Noise(noise)),
        (1013, Fault::CutRouters(1, 2)),
        (1285, Fault::Leaving(vec![0])),
    ];
    let world = run(true, 8781811462434346026, 4856, &faults);
    assert_eq!(world.violation, None);
}

/// A router handed a home over under its term and took it over again, while
/// the one in between was cut off. It counted itself as the only earlier home.
#[test]
fn home_that_was_handed_over_waits_for_the_router_in_between() {
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
    let world = run(false, 7653968001162235818, 3777, &faults);
    assert_eq!(world.violation, None);
}
