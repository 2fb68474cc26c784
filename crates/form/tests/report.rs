//! What a host reports right before an order is sent may contradict what the order rests on.

mod world;

use std::time::Duration;

use world::World;

use base::Fence;
use base::Incarnation;
use base::ReplicaName;
use fleet::Announcement;
use fleet::EngineReport;
use fleet::HostStatus;
use fleet::Place;
use fleet::PlaceState;
use fleet::ReportedPlace;
use form::Action;
use form::Config;
use form::Order;
use form::Outcome;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// A world whose new leader hears of the hosts of the first domain only that nothing has changed
/// since before they joined their replicas, and doesn't reach the head hosts.
fn world_with_old_announcements(seed: u64) -> World {
    let mut world = World::new(Config::default(), seed, 2, 10);
    world.run(secs(20));
    world.begin_traffic();
    let routing_table = world.controller.routing_table().unwrap();
    for replica in routing_table.serving {
        world.hosts.get_mut(&replica.head).unwrap().is_out_of_reach = true;
    }
    for host in world.hosts.values_mut().filter(|h| h.domain == "d0") {
        host.repeated_announcement = host.announced_before_join.clone();
    }
    world.restart_controllers();
    world
}

// The world panics if a host joins another replica while the head host of its own one serves.

#[test]
fn hosts_do_not_join_elsewhere_because_of_announcements_from_before_their_replica_served() {
    for seed in 0..10 {
        let mut world = world_with_old_announcements(seed);
        world.run(secs(15));
    }
}

/// The announcement of a host that has begun orders before.
fn announcement(sequence: u64, staged: &[&str], place: Option<Place>) -> Announcement {
    Announcement {
        id: "h".parse().unwrap(),
        incarnation: Incarnation(5),
        sequence,
        service: "lm".parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        centre: "c0".parse().unwrap(),
        slots: 17,
        leaving: false,
        cold_left: Duration::ZERO,
        engine: Some(EngineReport {
            domain: Some("d0".parse().unwrap()),
            staged: staged.iter().map(|model| model.parse().unwrap()).collect(),
            place,
        }),
    }
}

/// The only order to the only host, right after its announcement.
fn next_order(world: &mut World, announcement: &Announcement) -> Order {
    world
        .controller
        .record_announcement(announcement, world.now);
    world.now += secs(3);
    let mut orders = world.controller.tick(world.now);
    assert_eq!(orders.len(), 1, "{orders:?}");
    orders.remove(0)
}

fn status(place: ReportedPlace) -> HostStatus {
    HostStatus {
        incarnation: Some(Incarnation(5)),
        begun_orders: 8,
        place,
    }
}

fn world_without_hosts() -> World {
    World::new(Config::default(), 1, 0, 0)
}

#[test]
fn a_join_is_sent_only_to_a_host_that_belongs_to_no_other_replica_than_announced() {
    let place = Place {
        replica: "w7.slim".parse().unwrap(),
        epoch: Fence(7),
        rank: 0,
        state: PlaceState::Joining,
    };
    for (announced, reported, is_sent) in [
        (None, ReportedPlace::Unnamed, true),
        (None, ReportedPlace::In(Fence(7)), false),
        (None, ReportedPlace::Unreadable, false),
        (Some(&place), ReportedPlace::Unnamed, true),
        (Some(&place), ReportedPlace::In(Fence(7)), true),
        (Some(&place), ReportedPlace::In(Fence(8)), false),
        (Some(&place), ReportedPlace::Unreadable, false),
    ] {
        let mut world = world_without_hosts();
        let announcement = announcement(9, &["slim"], announced.cloned());
        let order = next_order(&mut world, &announcement);
        assert!(matches!(order.action, Action::Join { .. }));
        let confirmed = world.controller.confirm_order(&order, &status(reported));
        let sent_count = confirmed.and_then(|order| order.begun_orders);
        assert_eq!(
            sent_count,
            is_sent.then_some(8),
            "{announced:?} {reported:?}"
        );
    }
}

#[test]
fn a_join_is_not_sent_to_a_later_incarnation() {
    for (incarnation, is_sent) in [
        (Some(Incarnation(5)), true),
        (Some(Incarnation(6)), false),
        (None, true),
    ] {
        let mut world = world_without_hosts();
        let order = next_order(&mut world, &announcement(9, &["slim"], None));
        let status = HostStatus {
            incarnation,
            ..status(ReportedPlace::Unnamed)
        };
        let confirmed = world.controller.confirm_order(&order, &status);
        assert_eq!(confirmed.is_some(), is_sent, "{incarnation:?}");
    }
}

#[test]
fn an_order_of_an_earlier_term_is_not_confirmed() {
    let mut world = world_without_hosts();
    let order = next_order(&mut world, &announcement(9, &["slim"], None));
    world.change_leader();
    let confirmed = world
        .controller
        .confirm_order(&order, &status(ReportedPlace::Unnamed));
    assert_eq!(confirmed, None);
}

#[test]
fn a_replica_is_left_wherever_its_host_belongs_now() {
    let replica: ReplicaName = "r7.slim".parse().unwrap();
    let place = Place {
        replica,
        epoch: Fence(7),
        rank: 0,
        state: PlaceState::Open,
    };
    for reported in [ReportedPlace::In(Fence(8)), ReportedPlace::Unreadable] {
        let mut world = world_without_hosts();
        let announcement = announcement(9, &["slim"], Some(place.clone()));
        let order = next_order(&mut world, &announcement);
        assert!(matches!(order.action, Action::Leave { .. }));
        let confirmed = world.controller.confirm_order(&order, &status(reported));
        assert!(confirmed.is_some(), "{reported:?}");
    }
}

#[test]
fn a_count_that_comes_with_another_place_than_announced_confirms_no_later_join() {
    for (reported, later_count) in [
        (ReportedPlace::Unnamed, Some(9)),
        (ReportedPlace::In(Fence(7)), None),
    ] {
        let mut world = world_without_hosts();
        let load = next_order(&mut world, &announcement(9, &[], None));
        assert!(matches!(load.action, Action::Stage { .. }));
        let confirmed = world
            .controller
            .confirm_order(&load, &status(reported))
            .expect("a load affects no replica");
        assert_eq!(confirmed.begun_orders, Some(8));
        let now = world.now;
        world
            .controller
            .record_outcome(load.id, Outcome::Begun, now);
        let join = next_order(&mut world, &announcement(10, &["slim", "wide"], None));
        assert!(matches!(join.action, Action::Join { .. }));
        assert_eq!(join.begun_orders, later_count, "{reported:?}");
    }
}
