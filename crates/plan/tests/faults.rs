//! Injects seeded faults of every kind at once. The invariants must hold after each step,
//! and the demand must be met again once the faults end.

mod world;

use std::time::Duration;

use crate::world::Network;
use crate::world::World;
use crate::world::demand;
use crate::world::model;
use crate::world::seeds;
use base::Fencing;
use base::HostId;
use base::Time;

const SEED_COUNT: u64 = 40;

#[test]
fn no_wrong_group_serves_under_any_faults() {
    let mut accepted = 0;
    for seed in seeds(SEED_COUNT) {
        for fencing in [Fencing::Checked, Fencing::Ignored] {
            for hold_s in [0, 8] {
                accepted += run(seed, fencing, Duration::from_secs(hold_s));
            }
        }
    }
    println!("{accepted} answers accepted");
    assert!(0 < accepted);
}

fn run(seed: u64, fencing: Fencing, hold: Duration) -> u64 {
    let mut world = World::new(seed, &[6, 5, 4], fencing).with_hold_limit(hold);
    world.demand.insert(model("wide"), demand(4, 1, 1));
    world.demand.insert(model("pair"), demand(2, 1, 2));
    world.demand.insert(model("one"), demand(1, 1, 2));
    world.network = Network {
        max_delay_ms: 400,
        loss_probability: 0.05,
        duplicate_probability: 0.05,
    };
    for _ in 0..1_200 {
        inject_fault(&mut world);
        world.step();
    }
    world.network = Network::default();
    for engine in world.engines.values_mut() {
        engine.down_until = engine.down_until.min(world.now);
        engine.unreachable_until = world.now;
        engine.report.leaving = false;
    }
    world.run_for(Duration::from_secs(10));
    let is_met = world.run_until_demand_met(Duration::from_secs(120));
    assert!(is_met, "seed {seed} {fencing:?}: {:?}", world.status());
    world.accepted_answers
}

fn inject_fault(world: &mut World) {
    let now = world.now;
    let later = |world: &mut World, max_ms: u64| -> Time {
        now + Duration::from_millis(world.rng.u64(200..max_ms))
    };
    let host = world.rng.u32(0..world.engines.len() as u32);
    match world.rng.u32(0..400) {
        0 | 1 => {
            let back = later(world, 15_000);
            world.engine(host).restart(back);
        }
        2 | 3 => world.engine(host).down_until = later(world, 15_000),
        4 | 5 => world.engine(host).unreachable_until = later(world, 15_000),
        6 => world.engine(host).report.leaving = true,
        7 => world.controllers[host as usize % 2].frozen_until = later(world, 12_000),
        8 => world.controllers[host as usize % 2].unreachable_until = later(world, 12_000),
        9 => world.controllers[host as usize % 2].lease_unreachable_until = later(world, 12_000),
        10 | 11 => world.entry_nodes[1].frozen_until = later(world, 12_000),
        12 => freeze_node_and_clock(world),
        13 => take_domain_down(world, host),
        14..20 => deliver_late_order(world),
        _ => {}
    }
}

/// Freezes an entry node and stops its clock meanwhile.
fn freeze_node_and_clock(world: &mut World) {
    let span = Duration::from_millis(world.rng.u64(200..12_000));
    if world.entry_nodes[2].is_frozen(world.now) {
        return;
    }
    world.entry_nodes[2].frozen_until = world.now + span;
    world.entry_nodes[2].clock_trusted_from = world.now + span + world.cfg.max_route_lifetime();
    world.entry_nodes[2].clock.stopped_for += span;
}

fn take_domain_down(world: &mut World, host: u32) {
    let domain = world.engines[&HostId(host)].report.domain;
    let back = world.now + Duration::from_millis(world.rng.u64(200..15_000));
    let is_paused = world.rng.bool();
    let engines = world.engines.values_mut();
    for engine in engines.filter(|e| e.report.domain == domain) {
        if is_paused {
            engine.down_until = back;
        } else {
            engine.restart(back);
        }
    }
}

/// Delivers an order of any age, for the first time or again.
fn deliver_late_order(world: &mut World) {
    let at = world.rng.usize(..world.issued_orders.len().max(1));
    if let Some(order) = world.issued_orders.get(at).cloned() {
        world.deliver_late(&order);
    }
}
