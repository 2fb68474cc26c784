//! Delivers orders of a controller that lost its tenure, after every step of a run in
//! which another one takes over, loses a host, repairs and scales down.

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
        let old = world.issued_orders.clone();
        for step in 0..STEPS {
            inject_fault_at(&mut world, step);
            world.step();
            for late in late_orders(&old, step) {
                let mut fork = world.clone();
                for order in &late {
                    deliver_order(&mut fork, order);
                }
                fork.run_for(Duration::from_secs(6));
                let is_met = fork.run_until_demand_met(Duration::from_secs(40));
                let status = fork.status();
                assert!(is_met, "step {step} {fencing:?} {late:?}: {status:?}");
            }
        }
    }
}

/// One controller forms replicas, repairs one after a restart, and then freezes for good.
fn first_tenure(fencing: Fencing) -> World {
    let mut world = World::new(1, &[4, 2], fencing);
    for engine in world.engines.values_mut() {
        engine.load_time = Duration::from_secs(2);
    }
    world.demand.insert(model("pair"), demand(2, 1, 2));
    world.demand.insert(model("one"), demand(1, 1, 1));
    world.run_for(Duration::from_secs(15));
    let back = world.now + Duration::from_secs(3);
    world.engine(4).restart(back);
    world.run_for(Duration::from_secs(20));
    assert!(world.is_demand_met());
    world.controllers[0].frozen_until = Time::NEVER;
    world
}

fn inject_fault_at(world: &mut World, step: usize) {
    let now = world.now;
    match step {
        120 => world.engine(1).restart(now + Duration::from_secs(4)),
        190 => world.engine(4).down_until = now + Duration::from_secs(2),
        210 => drop(world.demand.insert(model("pair"), demand(2, 1, 1))),
        _ => {}
    }
}

/// The orders to deliver after a step: one to form, all of that replica, one to release.
fn late_orders(old: &[Order], step: usize) -> Vec<Vec<Order>> {
    let (forms, releases): (Vec<&Order>, Vec<&Order>) = old
        .iter()
        .partition(|order| order.action != Action::Release);
    let form = forms[step % forms.len()];
    let replica_orders = forms.iter().filter(|order| order.replica == form.replica);
    let replica_orders: Vec<Order> = replica_orders.map(|order| (*order).clone()).collect();
    let mut release = releases[step % releases.len()].clone();
    release.host = HostId(step as u32 % 6);
    vec![vec![form.clone()], replica_orders, vec![release]]
}

fn deliver_order(world: &mut World, order: &Order) {
    let before = world.engines[&order.host].report.clone();
    world.deliver_late(order);
    let after = &world.engines[&order.host].report;
    if before.fencing == Fencing::Checked && order.fence < before.fence {
        assert_eq!(before.duty, after.duty);
    }
}
