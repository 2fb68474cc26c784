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

#[test]
fn replicas_that_the_new_leader_does_not_hear_serve_on() {
    let (mut world, _) = world_with_heads(1);
    let before = (world.count_serving("wide"), world.count_serving("slim"));
    let hosts = world.hosts.values_mut().filter(|host| host.domain == "d0");
    for host in hosts {
        host.is_heard_elsewhere = true;
    }
    let orders = world.orders.len();
    world.restart_controllers();
    world.run(secs(8));
    let serving = (world.count_serving("wide"), world.count_serving("slim"));
    assert_eq!(serving, before);
    let to_unheard = world.orders[orders..]
        .iter()
        .filter(|(_, _, host)| world.hosts[host].domain == "d0");
    assert_eq!(to_unheard.count(), 0, "nothing was lost");
}

#[test]
fn a_head_that_said_it_is_gone_and_serves_on_keeps_its_hosts_under_the_next_leader() {
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        for head in &heads {
            world.announce_departure(head);
        }
        world.change_leader();
        world.run(secs(8));
        world.restart_controllers();
        world.run(secs(8));
    }
}

#[test]
fn nothing_is_broken_by_new_leaders_that_hear_only_some_hosts() {
    for seed in 0..20 {
        let (mut world, _) = world_with_heads(200 + seed);
        for round in 0..20 {
            let up: Vec<_> = world.hosts.values().filter(|host| host.is_up).collect();
            let chosen = up[world.rng.usize(..up.len())].id.clone();
            let is_heard_elsewhere = world.rng.bool();
            match world.rng.u32(0..6) {
                0 => world.change_leader(),
                1 => world.restart_controllers(),
                2 => world.hosts.get_mut(&chosen).unwrap().is_cut_off = true,
                3 => {
                    world.kill(&chosen);
                    world.add_host(&format!("n{seed}-{round}"), "d1");
                }
                _ => {
                    for host in world.hosts.values_mut() {
                        let is_chosen = host.sequence % 3 == 0;
                        host.is_heard_elsewhere = is_chosen && is_heard_elsewhere;
                    }
                }
            }
            let pause = Duration::from_millis(world.rng.u64(200..6_000));
            world.run(pause);
        }
        for host in world.hosts.values_mut() {
            host.is_heard_elsewhere = false;
            host.is_cut_off = false;
        }
        world.run(secs(60));
        let hosts = 4 * world.count_serving("wide") + 2 * world.count_serving("slim");
        let up = world.hosts.values().filter(|host| host.is_up).count();
        // In each of the two domains, fewer hosts than a wide replica has may be left over.
        assert!(
            up <= hosts + 2 * 3,
            "seed {seed}: {hosts} of {up} hosts serve"
        );
    }
}
