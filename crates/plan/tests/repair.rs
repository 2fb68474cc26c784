//! Single faults and demand changes, and the controller's required reaction to each.

mod world;

use std::time::Duration;

use crate::world::World;
use crate::world::demand;
use crate::world::model;
use base::Fencing;
use base::HostId;
use plan::Action;
use plan::Phase;
use plan::StrandedReason;

const SECOND: Duration = Duration::from_secs(1);

fn world_with(domains: &[usize], wanted: &[(&str, usize, usize)]) -> World {
    let mut world = World::new(1, domains, Fencing::Ignored);
    for (name, width, count) in wanted {
        let count = *count;
        world
            .demand
            .insert(model(name), demand(*width, count, count));
    }
    world
}

#[test]
fn a_second_loss_during_or_right_after_a_repair_is_repaired() {
    for gap in 0..25 {
        let mut world = world_with(&[5, 2], &[("trio", 3, 1)]);
        world.run_for(20 * SECOND);
        assert_eq!(world.serving_count("trio"), 1);
        let lost = world.status().replicas[0].hosts[1];
        world.engine(lost.0).down_until = base::Time::NEVER;
        world.run_for(gap * SECOND);
        let replica = world.status().replicas.last().cloned().unwrap();
        let second = *replica.hosts.iter().find(|host| **host != lost).unwrap();
        world.engine(second.0).down_until = base::Time::NEVER;
        world.run_for(40 * SECOND);
        assert_eq!(world.serving_count("trio"), 1, "gap of {gap} s");
    }
}

#[test]
fn a_domain_that_was_only_cut_off_serves_again_without_a_load() {
    let mut world = world_with(&[4, 4], &[("pair", 2, 4)]);
    world.run_for(40 * SECOND);
    assert_eq!(world.serving_count("pair"), 4);
    let order_count = world.issued_orders.len();
    let up_at = world.now + 12 * SECOND;
    for host in 0..4 {
        world.engine(host).unreachable_until = up_at;
    }
    world.run_for(10 * SECOND);
    assert_eq!(world.serving_count("pair"), 2);
    world.run_for(8 * SECOND);
    assert_eq!(world.serving_count("pair"), 4);
    assert!(world.hosts_formed_since(order_count).is_empty());
}

#[test]
fn a_domain_that_restarts_loads_what_lacks_most_first_and_no_more_at_once_than_allowed() {
    let mut world = world_with(&[12], &[("few", 2, 1), ("many", 1, 9)]);
    world.run_for(60 * SECOND);
    assert!(world.is_demand_met());
    let order_count = world.issued_orders.len();
    let up_at = world.now + 20 * SECOND;
    for host in 0..12 {
        world.engine(host).restart(up_at);
    }
    for _ in 0..600 {
        world.step();
        let replicas = world.status().replicas;
        let loading = replicas.iter().filter(|r| r.phase == Phase::Forming);
        assert!(loading.count() <= world.cfg.max_concurrent_loads);
    }
    assert!(world.is_demand_met());
    let forms = world.issued_orders[order_count..]
        .iter()
        .filter(|o| o.action != Action::Release);
    let few = forms.map(|order| match &order.action {
        Action::Form { model, .. } => model.as_str() == "few",
        Action::Release => false,
    });
    let before = few.take_while(|is_few| !is_few).count();
    assert!(before < world.cfg.max_concurrent_loads);
}

#[test]
fn a_flapping_host_is_held_back_longer_and_longer() {
    let mut world = world_with(&[3], &[("trio", 3, 1)]);
    world.cfg.max_hold_down = 600 * SECOND;
    world.run_for(15 * SECOND);
    let order_count = world.issued_orders.len();
    for _ in 0..60 {
        let up_at = world.now + SECOND;
        world.engine(1).restart(up_at);
        world.run_for(10 * SECOND);
    }
    let forms = world.hosts_formed_since(order_count).len() / 3;
    assert!(
        forms <= 12,
        "{forms} replicas formed in ten minutes of flapping"
    );
    let status = world.status();
    let is_held = |s: &plan::StrandedHost| matches!(s.reason, StrandedReason::Held { .. });
    assert!(status.stranded.iter().any(is_held), "{status:?}");
}

#[test]
fn a_host_that_restarted_and_claims_its_former_place_is_idled_first() {
    let mut world = world_with(&[2], &[("pair", 2, 1)]);
    world.run_for(20 * SECOND);
    let order_count = world.issued_orders.len();
    world.engine(0).report.incarnation.0 += 1;
    world.run_for(20 * SECOND);
    assert_eq!(world.serving_count("pair"), 1);
    let mut orders = world.issued_orders[order_count..]
        .iter()
        .filter(|o| o.host == HostId(0));
    assert_eq!(orders.next().unwrap().action, Action::Release);
}

#[test]
fn a_slow_host_is_replaced_without_a_gap_where_a_copy_fits() {
    let mut world = world_with(&[2, 2], &[("pair", 2, 1)]);
    world.run_for(20 * SECOND);
    let slow = world.status().replicas[0].hosts[0];
    let holder = world.lease_holder().unwrap();
    world.controllers[holder]
        .controller
        .set_relative_speed(slow, Some(0.3));
    for _ in 0..300 {
        world.step();
        assert!(1 <= world.serving_count("pair"));
    }
    let hosts = &world.status().replicas[0].hosts;
    assert!(!hosts.contains(&slow));
}

#[test]
fn a_slow_host_gives_way_to_a_spare_or_stays_where_there_is_none() {
    for (spares, gives_way) in [(1, true), (0, false)] {
        let mut world = world_with(&[2 + spares], &[("pair", 2, 1)]);
        world.run_for(20 * SECOND);
        let slow = world.status().replicas[0].hosts[0];
        let holder = world.lease_holder().unwrap();
        world.controllers[holder]
            .controller
            .set_relative_speed(slow, Some(0.3));
        world.run_for(30 * SECOND);
        assert_eq!(world.serving_count("pair"), 1);
        let hosts = &world.status().replicas[0].hosts;
        assert_eq!(!hosts.contains(&slow), gives_way);
    }
}

#[test]
fn a_leaving_host_gets_no_new_work_after_three_seconds_wherever_the_cut_is() {
    for case in 0..120 {
        let hold = [Duration::ZERO, 8 * SECOND][case % 2];
        let cut_entry = case & 2 == 0;
        let (cut_control, cut_hosts) = (case % 3 == 1, case % 3 == 2);
        let mut world = world_with(&[2], &[("pair", 2, 1)]).with_hold_limit(hold);
        world.run_for(20 * SECOND + (case as u32 / 12) * SECOND / 10);
        let cut = world.now + 30 * SECOND;
        if cut_control {
            world.controllers[0].unreachable_until = cut;
            world.controllers[1].unreachable_until = cut;
        }
        if cut_hosts {
            world.engine(0).unreachable_until = cut;
            world.engine(1).unreachable_until = cut;
        }
        if cut_entry {
            world.entry_nodes[2].unreachable_until = cut;
        }
        world.engine(0).report.leaving = true;
        world.engine(0).report.load.running = 1;
        let now = world.entry_nodes[0].clock.at(world.now);
        world.entry_nodes[0].table.mark_leaving(HostId(0), now);
        assert_eq!(world.serving_count("pair"), 0);
        world.run_for(3 * SECOND);
        for entry in &world.entry_nodes {
            let now = entry.clock.at(world.now);
            let routes = entry.table.valid_routes(&model("pair"), now);
            assert!(routes.is_empty(), "case {case}");
        }
    }
}

#[test]
fn routes_outlive_their_controller_where_hosts_confirm_themselves() {
    for (hold, outlives) in [(8 * SECOND, true), (Duration::ZERO, false)] {
        let mut world = world_with(&[2], &[("pair", 2, 1)]).with_hold_limit(hold);
        world.run_for(30 * SECOND);
        world.controllers[0].frozen_until = base::Time::NEVER;
        let mut least = 1;
        for _ in 0..300 {
            world.step();
            least = least.min(world.serving_count("pair"));
        }
        assert_eq!(least == 1, outlives);
        assert_eq!(world.serving_count("pair"), 1);
    }
}

#[test]
fn a_leaving_host_finishes_its_work_before_its_replica_is_released() {
    let mut world = world_with(&[2, 2], &[("pair", 2, 1)]);
    world.run_for(20 * SECOND);
    let first = world.status().replicas[0].hosts[0];
    world.engine(first.0).report.leaving = true;
    world.engine(first.0).report.load.running = 1;
    world.run_for(60 * SECOND);
    assert_eq!(world.serving_count("pair"), 1);
    assert_eq!(world.status().replicas[0].phase, Phase::Draining);
    world.engine(first.0).report.load.running = 0;
    world.run_for(10 * SECOND);
    assert_eq!(world.status().replicas.len(), 1);
    assert_eq!(world.engines[&first].report.duty, base::Duty::Idle);
}

#[test]
fn demand_that_falls_for_a_moment_ends_nothing_and_for_long_drains() {
    let mut world = world_with(&[4], &[("one", 1, 4)]);
    world.run_for(30 * SECOND);
    let order_count = world.issued_orders.len();
    for _ in 0..10 {
        world.demand.insert(model("one"), demand(1, 1, 2));
        world.run_for(3 * SECOND);
        world.demand.insert(model("one"), demand(1, 1, 4));
        world.run_for(3 * SECOND);
    }
    assert_eq!(world.issued_orders.len(), order_count);
    world.demand.insert(model("one"), demand(1, 1, 2));
    world.run_for(30 * SECOND);
    assert_eq!(world.serving_count("one"), 2);
    assert_eq!(world.issued_orders.len(), order_count + 2);
}

/// Two domains with one narrow replica each, and demand for a wide one.
fn split_world(narrow: &[(&str, usize, usize)]) -> World {
    let mut world = world_with(&[4, 4], narrow);
    for host in [1, 2, 3, 5, 6, 7] {
        world.engine(host).down_until = world.now + 20 * SECOND;
    }
    world.run_for(20 * SECOND);
    assert!(world.is_demand_met());
    world.demand.insert(model("wide"), demand(4, 1, 1));
    world
}

#[test]
fn the_only_narrow_replica_moves_aside_for_a_wide_one_and_serves_all_the_while() {
    let mut world = split_world(&[("one", 1, 1), ("other", 1, 1)]);
    for _ in 0..600 {
        world.step();
        assert_eq!(
            (world.serving_count("one"), world.serving_count("other")),
            (1, 1)
        );
    }
    assert!(world.is_demand_met(), "{:?}", world.status());
}

#[test]
fn one_of_several_narrow_replicas_ends_for_a_wide_one_and_forms_again() {
    let mut world = split_world(&[("one", 1, 2)]);
    for _ in 0..600 {
        world.step();
        assert!(1 <= world.serving_count("one"));
    }
    assert!(world.is_demand_met(), "{:?}", world.status());
}

#[test]
fn a_tenure_that_lapses_and_comes_back_names_no_replica_twice() {
    let mut world = world_with(&[4], &[("one", 1, 2)]);
    world.run_for(20 * SECOND);
    let holder = world.lease_holder().unwrap();
    let fence = world.lease.fence;
    world.controllers[holder].tenure = None;
    world.controllers[holder].lease_unreachable_until = world.now + SECOND;
    world.run_for(2 * SECOND);
    world.demand.insert(model("one"), demand(1, 1, 4));
    world.run_for(20 * SECOND);
    assert_eq!(world.lease.fence, fence);
    assert!(world.is_demand_met());
}

#[test]
fn replicas_of_an_outdated_width_are_replaced_one_at_a_time() {
    let mut world = world_with(&[4], &[("one", 2, 2)]);
    world.run_for(20 * SECOND);
    assert!(world.is_demand_met());
    world.demand.insert(model("one"), demand(1, 2, 2));
    for _ in 0..600 {
        world.step();
        assert!(1 <= world.serving_count("one"));
    }
    assert!(world.is_demand_met());
    assert!(world.status().replicas.iter().all(|r| r.hosts.len() == 1));
}

#[test]
fn reports_that_queued_up_while_the_controller_was_frozen_are_not_believed() {
    for tenth in 0..10 {
        let mut world = world_with(&[2], &[("pair", 2, 1)]);
        world.run_for(20 * SECOND + tenth * SECOND / 10);
        world.controllers[0].frozen_until = world.now + 3 * SECOND;
        world.run_for(SECOND / 5);
        world.engine(0).down_until = base::Time::NEVER;
        world.run_for(10 * SECOND);
        assert_eq!(world.serving_count("pair"), 0);
    }
}
