//! Seeded faults of every kind at once; the invariants hold after each step and
//! the demand is met again once the faults end.

mod world;

use std::time::Duration;

use crate::world::Net;
use crate::world::World;
use crate::world::demand;
use crate::world::model;
use crate::world::seeds;
use base::Fencing;
use base::HostId;
use base::Time;

const SEEDS: u64 = 40;

#[test]
fn no_wrong_group_serves_under_any_faults() {
    let mut good = 0;
    for seed in seeds(SEEDS) {
        for fencing in [Fencing::Checked, Fencing::Ignored] {
            for hold_s in [0, 8] {
                good += run(seed, fencing, Duration::from_secs(hold_s));
            }
        }
    }
    println!("{good} answers delivered as good");
    assert!(0 < good);
}

fn run(seed: u64, fencing: Fencing, hold: Duration) -> u64 {
    let mut world = World::open(seed, &[6, 5, 4], fencing).hold(hold);
    world.demand.insert(model("wide"), demand(4, 1, 1));
    world.demand.insert(model("pair"), demand(2, 1, 2));
    world.demand.insert(model("one"), demand(1, 1, 2));
    world.net = Net {
        max_delay_ms: 400,
        loss: 0.05,
        double: 0.05,
    };
    for _ in 0..1_200 {
        fault(&mut world);
        world.step();
    }
    world.net = Net::default();
    for engine in world.engines.values_mut() {
        engine.dark_until = engine.dark_until.min(world.now);
        engine.cut_until = world.now;
        engine.report.leaving = false;
    }
    world.run(Duration::from_secs(10));
    let is_met = world.run_until_met(Duration::from_secs(120));
    assert!(is_met, "seed {seed} {fencing:?}: {:?}", world.status());
    world.good
}

fn fault(world: &mut World) {
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
        2 | 3 => world.engine(host).dark_until = later(world, 15_000),
        4 | 5 => world.engine(host).cut_until = later(world, 15_000),
        6 => world.engine(host).report.leaving = true,
        7 => world.controls[host as usize % 2].frozen_until = later(world, 12_000),
        8 => world.controls[host as usize % 2].cut_until = later(world, 12_000),
        9 => world.controls[host as usize % 2].lease_cut_until = later(world, 12_000),
        10 | 11 => world.entries[1].frozen_until = later(world, 12_000),
        12 => freeze_with_its_clock(world),
        13 => dark_domain(world, host),
        14..20 => late_order(world),
        _ => {}
    }
}

/// An entry node whose clock stops while it is frozen.
fn freeze_with_its_clock(world: &mut World) {
    let span = Duration::from_millis(world.rng.u64(200..12_000));
    if world.entries[2].is_frozen(world.now) {
        return;
    }
    world.entries[2].frozen_until = world.now + span;
    world.entries[2].sound_from = world.now + span + world.cfg.max_route_lifetime();
    world.entries[2].clock.missed += span;
}

fn dark_domain(world: &mut World, host: u32) {
    let domain = world.engines[&HostId(host)].report.domain;
    let back = world.now + Duration::from_millis(world.rng.u64(200..15_000));
    let is_paused = world.rng.bool();
    let engines = world.engines.values_mut();
    for engine in engines.filter(|e| e.report.domain == domain) {
        if is_paused {
            engine.dark_until = back;
        } else {
            engine.restart(back);
        }
    }
}

/// An order of any age arrives, once more or for the first time.
fn late_order(world: &mut World) {
    let at = world.rng.usize(..world.given.len().max(1));
    if let Some(order) = world.given.get(at).cloned() {
        world.deliver_late(&order);
    }
}
