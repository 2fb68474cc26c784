//! Replicas of one model are exchanged for those of another that its requests need more.

mod world;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use world::World;

use base::UpstreamId;
use fleet::Intake;
use form::Action;
use form::Config;

/// The demand of the wide model, in busy replicas.
const WIDE_DEMAND: f64 = 4.0;

/// The demand of the slim model, in busy replicas.
const SLIM_DEMAND: f64 = 4.0;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// A world of six domains with eight hosts each, with traffic.
fn busy_world(seed: u64, wide_demand: f64, slim_demand: f64) -> World {
    let mut world = World::new(Config::default(), seed, 6, 8);
    world.run(secs(20));
    world.begin_traffic();
    observe(&mut world, wide_demand, slim_demand);
    world
}

fn observe(world: &mut World, wide_demand: f64, slim_demand: f64) {
    let demand = [("wide", wide_demand), ("slim", slim_demand)];
    let demand = demand.map(|(model, busy)| (model.parse().unwrap(), busy));
    // Enough samples for the moving average.
    for _ in 0..30 {
        world
            .controller
            .record_busy_replicas(&BTreeMap::from(demand.clone()));
    }
}

/// The replicas that serve for each one that the requests keep busy, of the model that has
/// least.
fn least_supply(world: &World, wide_demand: f64, slim_demand: f64) -> f64 {
    let wide = world.count_serving("wide") as f64 / wide_demand;
    wide.min(world.count_serving("slim") as f64 / slim_demand)
}

#[test]
fn nothing_is_exchanged_while_both_models_have_what_they_need() {
    let mut world = busy_world(1, WIDE_DEMAND, SLIM_DEMAND);
    world.run(secs(60));
    let leaves = world.count_orders(|action| matches!(action, Action::Leave { .. }));
    assert_eq!(leaves, 0);
}

/// The supply of the model that has least in the best mix of as many hosts, by brute force.
fn best_supply(hosts: usize, wide_demand: f64, slim_demand: f64) -> f64 {
    let mixes = (0..=hosts / 4).map(|wide| (wide, (hosts - 4 * wide) / 2));
    let supplies =
        mixes.map(|(wide, slim)| (wide as f64 / wide_demand).min(slim as f64 / slim_demand));
    supplies.fold(0.0, f64::max)
}

#[test]
fn hosts_change_to_the_model_to_which_the_requests_turn() {
    for (wide, slim) in [(2.0, 18.0), (9.0, 4.0), (6.0, 9.0)] {
        let mut world = busy_world(2, WIDE_DEMAND, SLIM_DEMAND);
        let before = least_supply(&world, wide, slim);
        observe(&mut world, wide, slim);
        world.run(secs(40));
        let after = least_supply(&world, wide, slim);
        let best = best_supply(48, wide, slim);
        println!("wide {wide}, slim {slim}: {before:.2} to {after:.2}, at best {best:.2}");
        assert!(
            0.8 * best <= after,
            "{before:.2} to {after:.2} of {best:.2}"
        );
    }
}

#[test]
fn exchanges_come_to_an_end() {
    let mut world = busy_world(3, WIDE_DEMAND, SLIM_DEMAND);
    observe(&mut world, 2.0, 12.0);
    world.run(secs(40));
    let orders = world.orders.len();
    world.run(secs(60));
    let later = &world.orders[orders..];
    let leaves = later
        .iter()
        .filter(|(_, action, _)| matches!(action, Action::Leave { .. }));
    assert_eq!(leaves.count(), 0, "hosts go on changing");
}

#[test]
fn a_replica_that_is_to_end_finishes_its_requests_first() {
    let mut world = busy_world(4, WIDE_DEMAND, SLIM_DEMAND);
    let heads: Vec<UpstreamId> = world.hosts.keys().cloned().collect();
    // Requests run at every head until the longest time that a replica drains.
    world
        .controller
        .record_busy_heads(heads.into_iter().collect());
    observe(&mut world, 2.0, 12.0);
    world.run(secs(2));
    let routing_table = world.controller.routing_table().unwrap();
    let mut replicas = routing_table.serving.iter();
    assert!(replicas.any(|replica| replica.intake == Intake::Draining));
    let is_leave = |action: &Action| matches!(action, Action::Leave { .. });
    assert_eq!(world.count_orders(is_leave), 0, "requests were cut off");
    world.run(secs(4));
    assert!(0 < world.count_orders(is_leave));
}

/// Four wide replicas lose a host each. Their survivors lack one host for a wide replica, so
/// slim ones make way until the wide model's demand of 6 replicas is met again.
#[test]
fn survivors_of_wide_replicas_are_used_with_hosts_of_slim_ones() {
    let mut served = 0;
    for seed in 10..20 {
        let mut world = busy_world(seed, 6.0, 3.0);
        let wide: Vec<Vec<UpstreamId>> = world
            .hosts
            .values()
            .filter_map(|host| host.membership.as_ref())
            .map(|membership| membership.hosts.clone())
            .filter(|hosts| hosts.len() == 4)
            .collect();
        let wide: BTreeSet<_> = wide.into_iter().collect();
        for hosts in wide.iter().take(4) {
            world.kill(&hosts[1]);
        }
        world.run(secs(15));
        served += world.count_serving("wide");
    }
    println!("{served} wide replicas in 10 runs");
    assert!(60 <= served, "{served} wide replicas in 10 runs");
}
