//! A new leader takes over replicas of which it hears only some hosts.

mod world;

use std::collections::BTreeSet;
use std::time::Duration;

use world::Faults;
use world::Partition;
use world::World;
use world::world_with_heads;

use base::Fence;
use base::Incarnation;
use fleet::Announcement;
use fleet::ReplicaRecord;
use form::Action;
use form::Config;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
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
            world.hosts.get_mut(head).unwrap().partition = Partition::FromController;
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
        world.faults = Faults {
            late_order_share: 0.1,
            lost_commit_share: 0.3,
            ..Faults::default()
        };
        for round in 0..20 {
            let up: Vec<_> = world.hosts.values().filter(|host| host.is_up).collect();
            let chosen = up[world.rng.usize(..up.len())].id.clone();
            let is_heard_elsewhere = world.rng.bool();
            match world.rng.u32(0..6) {
                0 => world.change_leader(),
                1 => world.restart_controllers(),
                2 => world.hosts.get_mut(&chosen).unwrap().partition = Partition::FromController,
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
            host.partition = Partition::None;
        }
        world.faults = Faults::default();
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

#[test]
fn a_loss_seen_in_an_earlier_term_does_not_close_a_replica() {
    let (mut world, heads) = world_with_heads(1);
    world.controller.set_term(None, world.now, Vec::new);
    for head in &heads {
        let host = world.hosts.get_mut(head).unwrap();
        host.is_heard_elsewhere = true;
        let incarnation = Incarnation(host.incarnation);
        world.controller.mark_lost(head, incarnation, world.now);
    }
    world.change_leader();
    world.run(secs(8));
    let table = world.controller.routing_table().unwrap();
    let serving: BTreeSet<_> = table.serving.into_iter().map(|r| r.head).collect();
    assert!(
        heads.iter().all(|head| serving.contains(head)),
        "{serving:?}"
    );
}

#[test]
fn a_record_left_over_from_before_a_host_joined_its_replica_does_not_close_it() {
    let (mut world, _) = world_with_heads(1);
    let before = (world.count_serving("wide"), world.count_serving("slim"));
    let newest = world.records.values().next_back().unwrap();
    let left_over = ReplicaRecord {
        replica: "r1000001.slim".parse().unwrap(),
        epoch: Fence(1_000_001),
        ..newest.clone()
    };
    world.records.insert(left_over.epoch, left_over);
    for host in world.hosts.values_mut() {
        host.is_heard_elsewhere = true;
    }
    world.restart_controllers();
    world.run(secs(8));
    let serving = (world.count_serving("wide"), world.count_serving("slim"));
    assert_eq!(serving, before);
}

#[test]
fn replicas_that_were_closing_or_given_up_do_not_serve_under_the_next_leader() {
    for given_up in [false, true] {
        let (mut world, heads) = world_with_heads(1);
        for head in &heads {
            world.kill(head);
        }
        // Longer than a new leader settles.
        world.lost_after = Duration::from_millis(2_200);
        world.run(secs(if given_up { 9 } else { 4 }));
        assert_eq!(world.controller.take_given_up().is_empty(), !given_up);
        world.restart_controllers();
        for _ in 0..40 {
            world.run(Duration::from_millis(100));
            let table = world.controller.routing_table().unwrap_or_default();
            let mut serving = table.serving.iter();
            assert!(!serving.any(|replica| heads.contains(&replica.head)));
        }
    }
}

#[test]
fn a_term_that_comes_back_publishes_later_editions() {
    let (mut world, heads) = world_with_heads(1);
    let before = world.controller.routing_table().unwrap().edition;
    world.controller.set_term(None, world.now, Vec::new);
    let records: Vec<_> = world.records.values().cloned().collect();
    let (term, now) = (Some(before.term), world.now);
    world.controller.set_term(term, now, || records);
    world.kill(&heads[0]);
    world.run(secs(5));
    let after = world.controller.routing_table().unwrap();
    assert!(before < after.edition, "{before:?}, {:?}", after.edition);
    assert!(!after.serving.iter().any(|replica| replica.head == heads[0]));
}

#[test]
fn a_replica_none_of_whose_hosts_is_heard_again_is_not_recorded_for_good() {
    let cfg = Config {
        silent_replica_limit: secs(30),
        ..Config::default()
    };
    let mut world = World::new(cfg, 1, 2, 10);
    world.run(secs(20));
    let dead: Vec<_> = world.records.values().take(2).cloned().collect();
    for host in dead.iter().flat_map(|record| &record.hosts) {
        world.kill(&host.id);
    }
    let count_dead = |world: &World| {
        let epochs = dead.iter().map(|record| record.epoch);
        epochs.filter(|e| world.records.contains_key(e)).count()
    };
    world.run(secs(20));
    assert_eq!(count_dead(&world), 2, "as a whole it may serve elsewhere");
    world.run(secs(20));
    assert_eq!(count_dead(&world), 0);
}

#[test]
fn a_replica_waits_to_open_until_its_record_is_committed() {
    let mut world = World::new(Config::default(), 1, 2, 10);
    world.faults.lost_commit_share = 1.0;
    world.run(secs(12));
    let opens = world.count_orders(|action| matches!(action, Action::Open { .. }));
    assert_eq!(opens, 0);
    world.faults = Faults::default();
    world.run(secs(2));
    let hosts = 4 * world.count_serving("wide") + 2 * world.count_serving("slim");
    // In each of the two domains, fewer hosts than a wide replica has may be left over.
    assert!(20 - 2 * 3 <= hosts, "{hosts} of 20 hosts serve");
    let leaves = world.count_orders(|action| matches!(action, Action::Leave { .. }));
    assert_eq!(leaves, 0, "a replica was formed and left again");
}

#[test]
fn a_state_from_before_the_term_that_is_reported_late_does_not_close_a_replica() {
    let (mut world, heads) = world_with_heads(1);
    let old: Vec<Announcement> = heads
        .iter()
        .map(|head| world.hosts[head].announced_before_join.clone().unwrap())
        .collect();
    for head in &heads {
        world.hosts.get_mut(head).unwrap().is_heard_elsewhere = true;
    }
    world.restart_controllers();
    world.run(Duration::from_millis(200));
    let heard_at = world.now - secs(15);
    for announcement in &old {
        world.controller.record_announcement(announcement, heard_at);
    }
    world.run(secs(5));
    let table = world.controller.routing_table().unwrap();
    let serving: BTreeSet<_> = table.serving.into_iter().map(|r| r.head).collect();
    assert!(
        heads.iter().all(|head| serving.contains(head)),
        "{serving:?}"
    );
}

#[test]
fn a_lost_host_that_comes_back_in_an_earlier_incarnation_is_used_again() {
    let (mut world, heads) = world_with_heads(1);
    let head = heads[0].clone();
    world.kill(&head);
    world.run(secs(8));
    let host = world.hosts.get_mut(&head).unwrap();
    host.incarnation -= 1;
    host.is_up = true;
    host.membership = None;
    host.begun_orders = 0;
    host.highest_epoch = Fence(0);
    world.run(secs(8));
    assert_eq!(world.controller.shape(world.now).hosts, 20);
}
