//! A head host that the leader cannot reach is given up only once entry hosts cannot reach it.

mod world;

use std::time::Duration;

use world::Membership;
use world::Partition;
use world::World;
use world::world_with_heads;

use base::Fence;
use base::UpstreamId;
use form::Action;
use form::Config;
use form::GivenUpReplica;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

// The world panics if a host joins another replica while the head host of its own one serves.

#[test]
fn hosts_do_not_join_elsewhere_while_a_cut_off_head_serves_that_no_entry_host_tried() {
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        world.partition(&heads, Partition::FromController);
        world.are_entry_hosts_silent = true;
        world.run(secs(8));
        world.are_entry_hosts_silent = false;
        world.run(secs(8));
        let serving_on = heads.iter().filter(|head| {
            let membership = world.hosts[head].membership.as_ref();
            membership.is_some_and(Membership::serves)
        });
        assert_eq!(
            serving_on.count(),
            0,
            "seed {seed}: told to leave, or broken"
        );
        // Once they are heard they are told to leave, if nobody told them before.
        let epochs: Vec<_> = heads.iter().map(|head| epoch_of(&world, head)).collect();
        world.partition(&heads, Partition::None);
        world.run(secs(4));
        for (head, epoch) in heads.iter().zip(epochs) {
            let has_left = epoch.is_none() || epoch != epoch_of(&world, head);
            assert!(has_left, "seed {seed}: told to leave");
        }
    }
}

#[test]
fn hosts_do_not_join_elsewhere_while_a_head_that_only_they_reach_serves() {
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        world.partition(&heads, Partition::FromDeployment);
        world.run(secs(15));
    }
}

fn epoch_of(world: &World, host: &UpstreamId) -> Option<Fence> {
    let membership = world.hosts[host].membership.as_ref();
    membership.map(|membership| membership.epoch)
}

/// Has no order reach the hosts of the replicas of `heads`, though they are heard.
fn silence_members(world: &mut World, heads: &[UpstreamId]) {
    for host in members(world, heads) {
        world.hosts.get_mut(&host).unwrap().is_out_of_reach = true;
    }
}

/// The hosts other than the head hosts.
fn members(world: &World, heads: &[UpstreamId]) -> Vec<UpstreamId> {
    let replicas = heads
        .iter()
        .filter_map(|head| world.hosts[head].membership.as_ref());
    let members = replicas.flat_map(|membership| membership.hosts[1..].iter().cloned());
    members.collect()
}

#[test]
fn hosts_that_did_not_acknowledge_that_they_left_are_not_set_free() {
    for seed in 0..10 {
        for partition in [Partition::FromController, Partition::FromDeployment] {
            let (mut world, heads) = world_with_heads(seed);
            silence_members(&mut world, &heads);
            world.partition(&heads, partition);
            world.are_entry_hosts_silent = true;
            world.run(secs(20));
            assert_eq!(world.controller.take_given_up(), [], "seed {seed}");
            let members = members(&world, &heads);
            let joins = world.orders.iter().filter(|(at, action, host)| {
                let is_join = matches!(action, Action::Join { .. });
                world.now.since(*at) < secs(20) && is_join && members.contains(host)
            });
            assert_eq!(joins.count(), 0, "seed {seed}");
        }
    }
}

#[test]
fn a_head_that_is_heard_again_for_a_moment_sets_no_host_free() {
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        silence_members(&mut world, &heads);
        world.partition(&heads, Partition::FromController);
        world.are_entry_hosts_silent = true;
        world.run(Duration::from_millis(4_500));
        // The head hosts are heard, but orders to leave reach them late.
        world.faults.late_order_share = 1.0;
        world.partition(&heads, Partition::None);
        world.run(Duration::from_millis(1_300));
        world.partition(&heads, Partition::FromController);
        world.run(secs(8));
        assert_eq!(world.controller.take_given_up(), [], "seed {seed}");
    }
}

#[test]
fn a_dead_head_that_entry_hosts_try_binds_its_hosts_no_longer_than_the_wait() {
    let wait = Config::default().lost_head_wait;
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        for head in &heads {
            world.kill(head);
        }
        world.run(secs(7));
        let given_up = world.controller.take_given_up();
        let in_time = |replica: &GivenUpReplica| {
            let is_in_time = wait <= replica.waited && replica.waited < wait + secs(1) / 20;
            replica
                .head
                .as_ref()
                .is_some_and(|head| heads.contains(head))
                && is_in_time
        };
        assert_eq!(given_up.len(), heads.len(), "seed {seed}: {given_up:?}");
        assert!(given_up.iter().all(in_time), "seed {seed}: {given_up:?}");
    }
}

#[test]
fn entry_hosts_do_not_try_a_dead_head_for_which_no_host_waits() {
    for are_all_dead in [false, true] {
        let (mut world, heads) = world_with_heads(1);
        let membership = world.hosts[&heads[0]].membership.clone().unwrap();
        let dead = if are_all_dead {
            membership.hosts.len()
        } else {
            1
        };
        for host in &membership.hosts[..dead] {
            world.kill(host);
        }
        world.are_entry_hosts_silent = true;
        world.run(secs(3));
        let orders = world.controller.leave_orders_for_unreachable_heads();
        assert_eq!(orders.is_empty(), are_all_dead, "{orders:?}");
        // By then the replica is broken.
        world.run(secs(5));
        let orders = world.controller.leave_orders_for_unreachable_heads();
        assert_eq!(orders, []);
    }
}
