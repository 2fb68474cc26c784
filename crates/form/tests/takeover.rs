//! A new leader takes over replicas of which it hears only some hosts.

mod world;

use std::time::Duration;

use world::World;

use base::UpstreamId;
use form::Config;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// A world of two domains with traffic, and the head hosts of all replicas of the first domain.
fn world_with_heads(seed: u64) -> (World, Vec<UpstreamId>) {
    let mut world = World::new(Config::default(), seed, 2, 10);
    world.run(secs(20));
    world.begin_traffic();
    let routing_table = world.controller.routing_table().unwrap();
    let heads = routing_table
        .serving
        .into_iter()
        .map(|replica| replica.head);
    let heads = heads
        .filter(|head| world.hosts[head].domain == "d0")
        .collect();
    (world, heads)
}

// The world panics if a host joins another replica while the head host of its own one serves.

#[test]
fn hosts_do_not_join_elsewhere_while_a_head_that_the_new_leader_never_heard_serves() {
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        for head in &heads {
            world.hosts.get_mut(head).unwrap().is_heard_elsewhere = true;
        }
        world.restart_controllers();
        world.run(secs(15));
    }
}

#[test]
fn hosts_do_not_join_elsewhere_while_a_head_cut_off_from_the_new_leader_serves() {
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        for head in &heads {
            world.hosts.get_mut(head).unwrap().is_cut_off = true;
        }
        world.restart_controllers();
        world.run(secs(15));
    }
}
