//! A head host that the leader cannot reach is given up only once entry hosts cannot reach it.

mod world;

use std::time::Duration;

use world::World;
use world::world_with_heads;

use base::Fence;
use base::UpstreamId;
use form::Config;
use form::GivenUpReplica;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn cut_off(world: &mut World, hosts: &[UpstreamId]) {
    for host in hosts {
        world.hosts.get_mut(host).unwrap().is_cut_off = true;
    }
}

fn epochs_of(world: &World, heads: &[UpstreamId]) -> Vec<Fence> {
    let epoch = |head: &UpstreamId| world.hosts[head].membership.as_ref().unwrap().epoch;
    heads.iter().map(epoch).collect()
}

fn report_unreached(world: &mut World, epochs: &[Fence]) {
    for epoch in epochs {
        world.controller.record_head_unreached(*epoch, world.now);
    }
}

// The world panics if a host joins another replica while the head host of its own one serves.

#[test]
fn hosts_do_not_join_elsewhere_while_a_cut_off_head_serves_that_no_entry_host_tried() {
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        cut_off(&mut world, &heads);
        world.are_entry_hosts_silent = true;
        world.run(secs(8));
        world.are_entry_hosts_silent = false;
        world.run(secs(8));
        let serving_on = heads
            .iter()
            .filter(|head| world.hosts[head].membership.is_some());
        assert_eq!(serving_on.count(), 0, "seed {seed}: told to leave");
    }
}

#[test]
fn reports_of_attempts_made_before_a_replica_was_closing_do_not_set_its_hosts_free() {
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        let epochs = epochs_of(&world, &heads);
        cut_off(&mut world, &heads);
        world.are_entry_hosts_silent = true;
        // The head hosts are found to be lost after 0.9 s to 2.1 s.
        for _ in 0..4 {
            report_unreached(&mut world, &epochs);
            world.run(Duration::from_millis(500));
        }
        world.run(secs(8));
        assert_eq!(world.controller.take_given_up(), [], "seed {seed}");
    }
}

#[test]
fn a_report_made_before_a_head_was_heard_again_does_not_set_its_hosts_free() {
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        let epochs = epochs_of(&world, &heads);
        cut_off(&mut world, &heads);
        world.are_entry_hosts_silent = true;
        world.run(Duration::from_millis(4_500));
        report_unreached(&mut world, &epochs);
        // The head hosts are heard, but orders to leave reach them late.
        world.faults.late_order_share = 1.0;
        for head in &heads {
            world.hosts.get_mut(head).unwrap().is_cut_off = false;
        }
        world.run(Duration::from_millis(1_300));
        cut_off(&mut world, &heads);
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
        world.run(secs(6));
        let orders = world.controller.leave_orders_for_unreachable_heads();
        assert_eq!(orders.is_empty(), are_all_dead, "{orders:?}");
    }
}
