//! Orders of a controller that lost its tenure, delivered after every step of a
//! run in which its successor takes over, loses a host, repairs and scales down.

mod world;

use std::time::Duration;

use crate::world::World;
use crate::world::demand;
use crate::world::model;
use base::Fencing;
use base::HostId;
use base::Time;
use plan::Action;
use plan::Order;

const STEPS: usize = 280;

#[test]
fn a_late_order_at_any_step_serves_from_no_wrong_group() {
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        let mut world = first_tenure(fencing);
        let old = world.given.clone();
        for step in 0..STEPS {
            happen(&mut world, step);
            world.step();
            for late in choices(&old, step) {
                let mut fork = world.clone();
                for order in &late {
                    deliver(&mut fork, order);
                }
                fork.run(Duration::from_secs(6));
                let is_met = fork.run_until_met(Duration::from_secs(40));
                let status = fork.status();
                assert!(is_met, "step {step} {fencing:?} {late:?}: {status:?}");
            }
        }
    }
}

/// One controller forms replicas, one of them over and over, and is then cut off.
fn first_tenure(fencing: Fencing) -> World {
    let mut world = World::open(1, &[4, 2], fencing);
    for engine in world.engines.values_mut() {
        engine.load_time = Duration::from_secs(2);
    }
    world.demand.insert(model("pair"), demand(2, 1, 2));
    world.demand.insert(model("one"), demand(1, 1, 1));
    world.run(Duration::from_secs(15));
    let back = world.now + Duration::from_secs(3);
    world.engine(4).restart(back);
    world.run(Duration::from_secs(20));
    assert!(world.is_met());
    world.controls[0].frozen_until = Time::NEVER;
    world
}

fn happen(world: &mut World, step: usize) {
    let now = world.now;
    match step {
        120 => world.engine(1).restart(now + Duration::from_secs(4)),
        190 => world.engine(4).dark_until = now + Duration::from_secs(2),
        210 => drop(world.demand.insert(model("pair"), demand(2, 1, 1))),
        _ => {}
    }
}

/// One order to form, all of one replica's orders, and one to release.
fn choices(old: &[Order], step: usize) -> Vec<Vec<Order>> {
    let (forms, releases): (Vec<&Order>, Vec<&Order>) = old
        .iter()
        .partition(|order| order.action != Action::Release);
    let form = forms[step % forms.len()];
    let group = forms.iter().filter(|order| order.replica == form.replica);
    let group: Vec<Order> = group.map(|order| (*order).clone()).collect();
    let mut release = releases[step % releases.len()].clone();
    release.host = HostId(step as u32 % 6);
    vec![vec![form.clone()], group, vec![release]]
}

fn deliver(world: &mut World, order: &Order) {
    let before = world.engines[&order.host].report.clone();
    world.deliver_late(order);
    let after = &world.engines[&order.host].report;
    if before.fencing == Fencing::Checked && order.fence < before.fence {
        assert_eq!(before.duty, after.duty);
    }
}
