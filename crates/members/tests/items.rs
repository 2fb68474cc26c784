//! Items: how fast they spread, that they never go back, and their limits.

mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::quickcheck;

use crate::world::LOSSY;
use crate::world::RELIABLE;
use crate::world::STEP;
use crate::world::World;
use crate::world::seeds;
use base::NodeId;
use base::Time;
use base::Version;
use members::DATAGRAM_OVERHEAD_BYTES;
use members::Item;
use members::ItemKind;
use members::MAX_ITEM_BODY_BYTES;
use members::Members;
use members::Scope;
use members::Standing;

fn item(kind: ItemKind, scope: Scope, body: &[u8]) -> Item {
    Item {
        kind,
        key: 1,
        body: body.to_vec(),
        scope,
        ttl: Duration::from_secs(60),
    }
}

fn converged_world(centres: u32, per_centre: u32, seed: u64) -> World {
    println!("seed {seed}");
    let mut world = World::new(centres, per_centre, seed, RELIABLE);
    let elapsed = world.run_until(Duration::from_secs(25), World::has_converged);
    elapsed.expect("views did not converge after the start");
    world
}

fn publish(world: &mut World, index: usize, item: Item) {
    let now = world.time();
    assert!(world.nodes[index].members.publish(item, now));
}

fn body(world: &World, viewer: usize, origin: usize, kind: ItemKind) -> Option<Vec<u8>> {
    let items = world.nodes[viewer].members.items(kind, world.time());
    let from = NodeId(origin as u32);
    items
        .into_iter()
        .find(|update| update.origin == from)
        .map(|update| update.item.body)
}

fn all_have(world: &World, origin: usize, kind: ItemKind) -> bool {
    let running = (0..world.nodes.len()).filter(|index| world.is_running(*index));
    let mut others = running.filter(|index| *index != origin);
    others.all(|viewer| body(world, viewer, origin, kind).is_some())
}

#[test]
fn leaving_reaches_all_within_3_s_though_datagrams_are_lost() {
    let mut longest = Duration::ZERO;
    for seed in seeds(20) {
        let mut world = converged_world(6, 9, seed);
        world.conditions = LOSSY;
        let index = world.rng.usize(0..world.nodes.len());
        publish(
            &mut world,
            index,
            item(ItemKind::Leaving, Scope::Everywhere, b"h7"),
        );
        let elapsed = world.run_until(Duration::from_secs(3), |w| {
            all_have(w, index, ItemKind::Leaving)
        });
        longest = longest.max(elapsed.expect("the item did not reach every node within 3 s"));
    }
    println!("longest {longest:?}");
}

#[test]
fn leaving_reaches_those_that_the_publisher_cannot_reach() {
    for seed in seeds(20) {
        let mut world = converged_world(3, 5, seed);
        for other in 0..15 {
            let is_cut = (3..5).contains(&other) || 10 <= other;
            if is_cut {
                world.cut(0, other);
            }
        }
        publish(
            &mut world,
            0,
            item(ItemKind::Leaving, Scope::Everywhere, b"h7"),
        );
        let reached_local_peers = |world: &World| {
            let mut local_peers = 1..5;
            local_peers.all(|viewer| body(world, viewer, 0, ItemKind::Leaving).is_some())
        };
        let elapsed = world.run_until(Duration::from_millis(1_500), reached_local_peers);
        elapsed.expect("the item did not reach its data centre within 1.5 s");
        let elapsed = world.run_until(Duration::from_secs(3), |w| {
            all_have(w, 0, ItemKind::Leaving)
        });
        elapsed.expect("the item did not reach every node within 3 s");
    }
}

#[test]
fn an_item_of_one_data_centre_stays_there() {
    let mut world = converged_world(2, 4, 1);
    publish(
        &mut world,
        1,
        item(ItemKind::Loads, Scope::Centre, b"loads"),
    );
    publish(
        &mut world,
        1,
        item(ItemKind::Orders, Scope::Centre, b"orders"),
    );
    world.run_for(Duration::from_secs(10));
    for viewer in 0..8 {
        let expected = viewer < 4;
        assert_eq!(body(&world, viewer, 1, ItemKind::Loads).is_some(), expected);
        assert_eq!(
            body(&world, viewer, 1, ItemKind::Orders).is_some(),
            expected
        );
    }
}

/// A node publishes a counter and is restarted meanwhile. No other node may see
/// it go back, on a network that loses, duplicates and reorders datagrams.
#[test]
fn items_never_go_back_to_an_older_stamp() {
    for seed in seeds(20) {
        let mut world = converged_world(2, 3, seed);
        world.conditions = LOSSY;
        let mut seen: BTreeMap<(usize, ItemKind), Vec<u8>> = BTreeMap::new();
        for round in 0..600_u64 {
            if round % 5 == 0 {
                for kind in [ItemKind::Leaving, ItemKind::Demand] {
                    publish(
                        &mut world,
                        0,
                        item(kind, Scope::Everywhere, &round.to_be_bytes()),
                    );
                }
            }
            match world.rng.u8(0..200) {
                0 => world.restart(0),
                1 => world.freeze(4, Duration::from_secs(5)),
                2 => world.partition(&[0, 1]),
                3..=5 => world.cuts.clear(),
                _ => {}
            }
            world.step();
            for viewer in 1..6 {
                for kind in [ItemKind::Leaving, ItemKind::Demand] {
                    let Some(now) = body(&world, viewer, 0, kind) else {
                        continue;
                    };
                    let before = seen.insert((viewer, kind), now.clone());
                    assert!(
                        before.is_none_or(|before| before <= now),
                        "{viewer} went back to an older item"
                    );
                }
            }
        }
        assert!(!seen.is_empty());
    }
}

#[test]
fn an_expired_item_does_not_come_back_through_one_that_still_has_it() {
    for seed in seeds(20) {
        let mut world = converged_world(2, 3, seed);
        let mut short = item(ItemKind::Leaving, Scope::Everywhere, b"h7");
        short.ttl = Duration::from_secs(5);
        publish(&mut world, 0, short);
        world.run_for(Duration::from_secs(2));
        world.freeze(4, Duration::from_secs(20));
        world.run_for(Duration::from_secs(40));
        assert!((0..6).all(|viewer| body(&world, viewer, 0, ItemKind::Leaving).is_none()));
        let updates = world.nodes[1].members.take_item_updates();
        let leaving_updates = updates
            .iter()
            .filter(|update| update.item.kind == ItemKind::Leaving);
        assert_eq!(leaving_updates.count(), 1);
    }
}

#[test]
fn one_that_was_cut_off_catches_up_by_state() {
    for seed in seeds(10) {
        let mut world = converged_world(3, 4, seed);
        world.partition(&[5]);
        for round in 0..100_u8 {
            for key in 0..10 {
                let mut item = item(ItemKind::Orders, Scope::Everywhere, &[round]);
                item.key = key;
                publish(&mut world, 0, item);
            }
            world.step();
        }
        world.run_for(Duration::from_secs(20));
        world.nodes[5].members.take_item_updates();
        world.cuts.clear();
        let caught_up = |world: &World| {
            let items = world.nodes[5].members.items(ItemKind::Orders, world.time());
            items
                .iter()
                .filter(|update| update.item.body == [99])
                .count()
                == 10
        };
        let elapsed = world.run_until(Duration::from_secs(10), caught_up);
        elapsed.expect("the node did not catch up");
        let updates = world.nodes[5].members.take_item_updates();
        let orders = updates
            .iter()
            .filter(|update| update.item.kind == ItemKind::Orders);
        assert_eq!(
            orders.count(),
            10,
            "older contents of an item were reported too"
        );
    }
}

#[test]
fn bytes_stay_within_the_rate_and_probes_go_on() {
    let mut world = converged_world(2, 8, 1);
    world.run_for(Duration::from_secs(5));
    let limit = f64::from(members::Timing::default().send_bytes_per_second);
    let mut bytes = 0;
    for round in 0..1_200_u64 {
        for index in 0..16 {
            let mut body = vec![index as u8; MAX_ITEM_BODY_BYTES];
            body[..8].copy_from_slice(&round.to_be_bytes());
            for kind in [ItemKind::Loads, ItemKind::Demand, ItemKind::Orders] {
                publish(&mut world, index, item(kind, Scope::Everywhere, &body));
            }
        }
        world.step();
        for of in 0..16 {
            let standing = world.standing(round as usize % 16, of);
            assert!(
                standing < Standing::Dead,
                "{of} was declared dead under load"
            );
        }
        bytes += world
            .sent_by(3)
            .iter()
            .map(|n| n + DATAGRAM_OVERHEAD_BYTES)
            .sum::<usize>();
    }
    let rate = bytes as f64 / (1_200.0 * STEP.as_secs_f64());
    println!("{rate:.0} bytes a second");
    assert!(rate < limit * 1.1);
}

#[test]
fn the_largest_version_is_heard_everywhere_within_2_s() {
    for seed in seeds(10) {
        let mut world = converged_world(5, 7, seed);
        world.conditions.loss = 0.1;
        let now = world.time();
        world.nodes[3].members.set_version(Version(9), now);
        let heard = |world: &World| {
            let mut all = world.nodes.iter();
            all.all(|node| node.members.newest_version() == Version(9))
        };
        let elapsed = world.run_until(Duration::from_secs(2), heard);
        elapsed.expect("the version was not heard everywhere within 2 s");
        world.conditions = RELIABLE;
        world.run_for(Duration::from_secs(10));
        let of = world.nodes[30]
            .members
            .get(NodeId(3), world.time())
            .unwrap();
        assert_eq!(of.version, Version(9));
        let of = world.nodes[30]
            .members
            .get(NodeId(4), world.time())
            .unwrap();
        assert_eq!(of.version, Version(0));
    }
}

#[test]
fn a_body_that_is_too_long_is_refused() {
    let mut world = converged_world(1, 2, 1);
    let now = world.time();
    let long = item(
        ItemKind::Loads,
        Scope::Centre,
        &[0; MAX_ITEM_BODY_BYTES + 1],
    );
    assert!(!world.nodes[0].members.publish(long, now));
    for key in 0..500 {
        let mut item = item(ItemKind::Leaving, Scope::Everywhere, b"x");
        item.key = key;
        world.nodes[0].members.publish(item, now);
    }
    world.run_for(Duration::from_secs(10));
    let known = world.nodes[1]
        .members
        .items(ItemKind::Leaving, world.time());
    assert!(known.len() <= 64);
}

fn standings(members: &Members, now: Time) -> Vec<(NodeId, Standing)> {
    let views = members.views(now);
    views.map(|view| (view.peer.node, view.standing)).collect()
}

#[test]
fn a_datagram_of_no_life_changes_nothing() {
    let mut world = World::new(1, 3, 1, RELIABLE);
    let now = world.time();
    let members = &mut world.nodes[0].members;
    let before = standings(members, now);
    members.receive(NodeId(1), &[0, 1, 0, 0], now);
    assert_eq!(before, standings(members, now));
}

quickcheck! {
    /// A random datagram changes at most what is known of its sender.
    fn random_datagrams_bring_no_members_and_no_items(bytes: Vec<u8>, from: u32) -> bool {
        let mut world = World::new(1, 3, 1, RELIABLE);
        let now = world.time();
        let from = NodeId(from % 5);
        let members = &mut world.nodes[0].members;
        let others = |members: &Members| {
            let mut all = standings(members, now);
            all.retain(|(node, _)| *node != from);
            all
        };
        let before = others(members);
        members.receive(from, &bytes, now);
        members.tick(now);
        before == others(members) && members.take_item_updates().is_empty()
    }

    /// A datagram that was cut off or changed on the way does not panic.
    fn damaged_datagrams_do_not_panic(index: usize, value: u8, keep: usize) -> bool {
        let mut world = World::new(1, 3, 1, RELIABLE);
        publish(&mut world, 0, item(ItemKind::Leaving, Scope::Everywhere, b"h7"));
        let now = world.time();
        world.nodes[0].members.tick(now);
        for packet in world.nodes[0].members.take_packets(now) {
            let mut bytes = packet.bytes;
            let index = index % bytes.len();
            bytes[index] = value;
            bytes.truncate(keep % (bytes.len() + 1));
            let members = &mut world.nodes[1].members;
            members.receive(NodeId(0), &bytes, now);
            members.tick(now);
            members.take_packets(now);
        }
        true
    }
}
