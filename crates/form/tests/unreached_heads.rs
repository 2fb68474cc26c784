//! Head hosts that only the other hosts of their replicas reach, on all paths that set hosts free.
//!
//! The world panics if a host joins another replica while the head host of its own one serves or
//! stands still, or if a replica serves without a record.

mod world;

use std::time::Duration;

use world::Faults;
use world::Partition;
use world::World;
use world::world_with_heads;

use base::UpstreamId;
use form::Action;
use form::Config;

/// How many random schedules are played if `SEED` doesn't name one and `SEEDS` no other number.
const SEEDS: u64 = 24;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn seeds() -> std::ops::Range<u64> {
    let number = |name| Some(std::env::var(name).ok()?.parse().expect("a number"));
    match (number("SEED"), number("SEEDS")) {
        (Some(seed), _) => seed..seed + 1,
        (None, count) => 0..count.unwrap_or(SEEDS),
    }
}

fn other_hosts(world: &World, heads: &[UpstreamId]) -> Vec<UpstreamId> {
    let replicas = heads
        .iter()
        .filter_map(|head| world.hosts[head].membership.as_ref());
    let others = replicas.flat_map(|membership| membership.hosts[1..].iter().cloned());
    others.collect()
}

fn serving_hosts(world: &World) -> usize {
    4 * world.count_serving("wide") + 2 * world.count_serving("slim")
}

#[test]
fn hosts_of_a_replica_none_of_whose_hosts_was_heard_leave_before_they_join_elsewhere() {
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        let others = other_hosts(&world, &heads);
        world.partition(&heads, Partition::FromDeployment);
        world.partition(&others, Partition::FromDeployment);
        world.run(secs(12));
        world.partition(&others, Partition::None);
        world.run(secs(12));
    }
}

#[test]
fn hosts_of_a_replica_that_is_no_longer_recorded_leave_before_they_join_elsewhere() {
    let cfg = Config {
        silent_replica_limit: secs(10),
        ..Config::default()
    };
    for seed in 0..10 {
        let mut world = World::new(cfg, seed, 2, 10);
        world.is_every_serving_replica_recorded = false;
        world.run(secs(20));
        world.begin_traffic();
        let all: Vec<UpstreamId> = world.hosts.keys().cloned().collect();
        let table = world.controller.routing_table().unwrap();
        let heads: Vec<UpstreamId> = table.serving.into_iter().map(|r| r.head).collect();
        let others = other_hosts(&world, &heads);
        world.partition(&all, Partition::FromDeployment);
        world.run(secs(25));
        world.partition(&others, Partition::None);
        world.run(secs(12));
    }
}

#[test]
fn a_new_leader_that_never_hears_the_head_orders_its_hosts_to_leave_again() {
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        world.partition(&heads, Partition::FromDeployment);
        // Some leaders begin before the hosts were ordered to leave, some right after it.
        world.run(Duration::from_millis(400 + 300 * seed));
        world.restart_controllers();
        world.run(Duration::from_millis(2_000 + 300 * seed));
        world.change_leader();
        world.run(secs(12));
        let others = world
            .hosts
            .values()
            .filter(|host| host.domain == "d0")
            .count()
            - heads.len();
        // In each of the two domains, fewer hosts than a wide replica has may be left over.
        let usable = others + 10 - 2 * 3;
        assert!(usable <= serving_hosts(&world), "seed {seed}");
    }
}

#[test]
fn a_head_that_carries_out_an_order_to_open_late_keeps_the_hosts_that_did_not_leave() {
    for seed in 0..40 {
        let mut world = World::new(Config::default(), seed, 2, 10);
        world.faults.late_open_share = 0.9;
        while world.count_orders(|action| matches!(action, Action::Open { .. })) < 4 {
            world.run(Duration::from_millis(20));
        }
        let ordered = world.orders.iter();
        let opened = ordered.filter(|(_, action, _)| matches!(action, Action::Open { .. }));
        let heads: Vec<UpstreamId> = opened.map(|(_, _, host)| host.clone()).collect();
        let others = other_hosts(&world, &heads);
        world.partition(&heads, Partition::FromDeployment);
        let silent: Vec<UpstreamId> = others.iter().step_by(2).cloned().collect();
        world.partition(&silent, Partition::FromDeployment);
        world.run(Duration::from_millis(5_000 + 200 * seed));
        world.partition(&others, Partition::None);
        world.run(secs(15));
    }
}

#[test]
fn a_replica_that_is_cut_off_while_it_forms_keeps_the_hosts_that_did_not_leave() {
    for seed in 0..20 {
        let mut world = World::new(Config::default(), seed, 2, 10);
        while world.count_orders(|action| matches!(action, Action::Join { .. })) < 16 {
            world.run(Duration::from_millis(20));
        }
        world.run(Duration::from_millis(100 * seed));
        let joined = world.hosts.values().filter_map(|host| {
            let membership = host.membership.as_ref()?;
            (1 < membership.hosts.len()).then(|| membership.hosts[0].clone())
        });
        let mut heads: Vec<UpstreamId> = joined.collect();
        heads.sort();
        heads.dedup();
        world.partition(&heads, Partition::FromDeployment);
        world.run(secs(40));
        world.partition(&heads, Partition::None);
        world.run(secs(12));
        assert!(20 - 2 * 3 <= serving_hosts(&world), "seed {seed}");
    }
}

// An entry host's order to leave is answered by the later incarnation, which belongs to nothing.
#[test]
fn a_head_that_restarts_where_only_entry_hosts_reach_it_has_ended_its_replica() {
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        world.partition(&heads, Partition::FromController);
        heads.iter().for_each(|head| world.restart(head));
        world.run(secs(8));
        world.partition(&heads, Partition::None);
        world.run(secs(12));
        assert!(20 - 2 * 3 <= serving_hosts(&world), "seed {seed}");
    }
}

#[test]
fn a_head_that_restarts_behind_the_cut_is_used_again() {
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        world.partition(&heads, Partition::FromDeployment);
        world.run(secs(3));
        heads.iter().for_each(|head| world.restart(head));
        world.run(secs(6));
        world.partition(&heads, Partition::None);
        world.run(secs(12));
        assert!(20 - 2 * 3 <= serving_hosts(&world), "seed {seed}");
    }
}

#[test]
fn a_host_that_restarts_has_left_the_replica_of_the_cut_off_head() {
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        let others = other_hosts(&world, &heads);
        world.partition(&heads, Partition::FromDeployment);
        others.iter().for_each(|host| world.kill(host));
        world.run(secs(3));
        others.iter().for_each(|host| world.restart(host));
        world.run(secs(12));
        let leaves = world.orders.iter().filter(|(_, action, host)| {
            matches!(action, Action::Leave { .. }) && others.contains(host)
        });
        assert_eq!(leaves.count(), 0, "seed {seed}: nothing is left to leave");
        assert_eq!(
            world.controller.take_given_up().len(),
            heads.len(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_host_cut_off_from_its_head_alone_is_used_again_once_the_replica_broke() {
    for seed in 0..10 {
        let (mut world, heads) = world_with_heads(seed);
        let others = other_hosts(&world, &heads);
        world.partition(&others, Partition::FromHosts);
        world.run(secs(8));
        world.partition(&others, Partition::None);
        world.run(secs(12));
        assert!(20 - 2 * 3 <= serving_hosts(&world), "seed {seed}");
    }
}

#[test]
fn a_head_that_comes_back_is_told_to_leave_at_any_time_of_the_wait() {
    for seed in 0..10 {
        for cut in [2_000, 3_000, 5_000, 7_000, 10_000, 60_000] {
            let (mut world, heads) = world_with_heads(seed);
            world.partition(&heads, Partition::FromDeployment);
            world.run(Duration::from_millis(cut));
            world.partition(&heads, Partition::None);
            world.run(secs(12));
            let serving = serving_hosts(&world);
            assert!(
                20 - 2 * 3 <= serving,
                "seed {seed}, cut for {cut} ms: {serving} serve"
            );
        }
    }
}

#[test]
fn a_head_of_a_replica_without_other_hosts_is_not_given_up() {
    let (mut world, heads) = world_with_heads(1);
    let others = other_hosts(&world, &heads);
    world.partition(&heads, Partition::FromDeployment);
    others.iter().for_each(|host| world.kill(host));
    world.run(secs(20));
    assert_eq!(world.controller.take_given_up(), []);
}

#[test]
fn nothing_is_broken_by_cuts_late_orders_restarts_and_new_leaders() {
    for seed in seeds() {
        let (mut world, _) = world_with_heads(seed);
        world.faults = Faults {
            late_order_share: 0.1,
            late_open_share: 0.3,
            lost_commit_share: 0.2,
        };
        for round in 0..16 {
            let up: Vec<_> = world.hosts.values().filter(|host| host.is_up).collect();
            let chosen = up[world.rng.usize(..up.len())].id.clone();
            let table = world.controller.routing_table().unwrap_or_default();
            let heads: Vec<_> = table
                .serving
                .into_iter()
                .map(|replica| replica.head)
                .collect();
            let some_heads: Vec<_> = heads.into_iter().filter(|_| world.rng.bool()).collect();
            match world.rng.u32(0..10) {
                0 => world.change_leader(),
                1 => world.restart_controllers(),
                2 | 3 => world.partition(&some_heads, Partition::FromDeployment),
                4 => world.partition(&some_heads, Partition::FromController),
                5 => world.partition(&[chosen], Partition::FromHosts),
                6 => {
                    let all: Vec<_> = world.hosts.keys().cloned().collect();
                    world.partition(&all, Partition::None);
                }
                7 => world.restart(&chosen),
                8 => {
                    world.kill(&chosen);
                    world.add_host(&format!("n{seed}-{round}"), "d1");
                }
                _ => {
                    let cut = world.rng.bool();
                    world.are_entry_hosts_silent = cut;
                    world.hosts.get_mut(&chosen).unwrap().is_out_of_reach = cut;
                }
            }
            let pause = Duration::from_millis(world.rng.u64(200..6_000));
            world.run(pause);
        }
        let all: Vec<_> = world.hosts.keys().cloned().collect();
        world.partition(&all, Partition::None);
        let hosts = world.hosts.values_mut();
        hosts.for_each(|host| host.is_out_of_reach = false);
        world.faults = Faults::default();
        world.run(secs(60));
        let up = world.hosts.values().filter(|host| host.is_up).count();
        let serving = serving_hosts(&world);
        // Hosts that have a model staged load no other one. So in each of the two domains, fewer
        // hosts of each model than its replicas have may be left over.
        let left_over = 2 * ((4 - 1) + (2 - 1));
        assert!(
            up <= serving + left_over,
            "seed {seed}: {serving} of {up} hosts serve"
        );
    }
}
