//! Membership: joining, failure detection, refutation, returning and leaving.

mod world;

use std::time::Duration;

use crate::world::LOSSY;
use crate::world::RELIABLE;
use crate::world::World;
use crate::world::seeds;
use base::NodeId;
use base::Version;
use members::Generation;
use members::Standing;

/// Longest time until every reachable node sees a crashed node as dead, in data
/// centres of up to 17 nodes.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(15);

/// Longest time until all that can reach each other see each other as alive.
const MAX_CONVERGENCE_TIME: Duration = Duration::from_secs(25);

fn converged_world(centres: u32, per_centre: u32, seed: u64) -> World {
    println!("seed {seed}");
    let mut world = World::new(centres, per_centre, seed, RELIABLE);
    let elapsed = world.run_until(MAX_CONVERGENCE_TIME, World::has_converged);
    elapsed.expect("views did not converge after the start");
    world
}

#[test]
fn all_join_by_settings() {
    for (centres, per_centre) in [(1, 1), (1, 3), (3, 3), (5, 8), (6, 17)] {
        converged_world(centres, per_centre, 1);
    }
}

#[test]
fn a_node_that_others_do_not_list_joins_through_its_seeds() {
    let mut world = converged_world(3, 3, 2);
    let new = world.join(world::peer(9, 3));
    world.step();
    let elapsed = world.run_until(MAX_CONVERGENCE_TIME, World::has_converged);
    assert!(elapsed.is_some(), "node {new} did not join");
}

#[test]
fn a_dead_node_is_dead_everywhere_within_the_bound() {
    let mut longest = Duration::ZERO;
    for seed in seeds(40) {
        let (centres, per_centre) = [(3, 3), (2, 8), (3, 17)][seed as usize % 3];
        let mut world = converged_world(centres, per_centre, seed);
        let loss = [0.0, 0.1][seed as usize % 2];
        world.conditions.loss = loss;
        let index = world.rng.usize(0..world.nodes.len());
        world.crash(index);
        let is_dead = |world: &World| {
            (0..world.nodes.len())
                .filter(|viewer| world.is_running(*viewer))
                .all(|viewer| world.standing(viewer, index) == Standing::Dead)
        };
        let elapsed = world.run_until(MAX_DETECTION_TIME, is_dead);
        longest = longest.max(elapsed.expect("the crashed node was not declared dead in time"));
        world.conditions = RELIABLE;
        world.restart(index);
        let elapsed = world.run_until(MAX_CONVERGENCE_TIME, World::has_converged);
        elapsed.expect("views did not converge again");
        assert_eq!(world.nodes[index].members.generation().incarnation.0, 2);
    }
    println!("longest {longest:?}");
}

#[test]
fn live_nodes_are_not_declared_dead_at_20_percent_loss() {
    let mut refutations = 0;
    for seed in seeds(20) {
        let mut world = converged_world(3, 5, seed);
        world.conditions = LOSSY;
        for _ in 0..1_200 {
            world.step();
            for viewer in 0..world.nodes.len() {
                for of in 0..world.nodes.len() {
                    assert_ne!(
                        world.standing(viewer, of),
                        Standing::Dead,
                        "{viewer}'s view of {of}"
                    );
                }
            }
        }
        let all = world.nodes.iter().map(|node| node.members.generation());
        refutations += all.map(|g| g.refutation).sum::<u32>();
    }
    println!("{refutations} refutations");
}

#[test]
fn one_that_hears_nothing_is_dead_to_others_and_comes_back() {
    for seed in seeds(20) {
        let mut world = converged_world(2, 6, seed);
        let index = world.rng.usize(0..12);
        for other in (0..12).filter(|other| *other != index) {
            world.cut(other, index);
        }
        let is_dead = |world: &World| {
            let others = (0..12).filter(|viewer| *viewer != index);
            let mut others = others.map(|viewer| world.standing(viewer, index));
            others.all(|standing| standing == Standing::Dead)
        };
        let elapsed = world.run_until(MAX_DETECTION_TIME, is_dead);
        elapsed.expect("the others did not declare the node dead");
        world.cuts.clear();
        let elapsed = world.run_until(MAX_CONVERGENCE_TIME, World::has_converged);
        elapsed.expect("views did not converge again");
    }
}

#[test]
fn a_cut_between_two_members_alone_makes_neither_suspect() {
    for seed in seeds(20) {
        let mut world = converged_world(1, 6, seed);
        world.cut(0, 1);
        world.cut(1, 0);
        for _ in 0..800 {
            world.step();
            assert_eq!(world.standing(0, 1), Standing::Alive);
            assert_eq!(world.standing(1, 0), Standing::Alive);
        }
    }
}

#[test]
fn a_node_that_leaves_is_left_at_once_and_only_a_new_life_returns() {
    for seed in seeds(20) {
        let mut world = converged_world(3, 4, seed);
        world.conditions.loss = 0.1;
        let index = world.rng.usize(0..12);
        let now = world.time();
        world.nodes[index].members.leave(now);
        world.run_for(Duration::from_secs(1));
        world.crash(index);
        let has_left = |world: &World| {
            let others = (0..12).filter(|viewer| *viewer != index);
            let mut others = others.map(|viewer| world.standing(viewer, index));
            others.all(|standing| standing == Standing::Left)
        };
        let elapsed = world.run_until(Duration::from_secs(5), has_left);
        elapsed.expect("not all nodes saw that the node left");
        world.run_for(Duration::from_secs(30));
        assert!(has_left(&world));
        world.restart(index);
        let elapsed = world.run_until(MAX_CONVERGENCE_TIME, World::has_converged);
        elapsed.expect("views did not converge again");
    }
}

#[test]
fn a_cut_off_data_centre_goes_on_and_returns() {
    for seed in seeds(10) {
        let mut world = converged_world(3, 4, seed);
        world.partition(&[0, 1, 2, 3]);
        world.run_for(Duration::from_secs(40));
        for viewer in 0..12 {
            for of in 0..12 {
                let expected = match (viewer < 4) == (of < 4) {
                    true => Standing::Alive,
                    false => Standing::Dead,
                };
                assert_eq!(
                    world.standing(viewer, of),
                    expected,
                    "{viewer}'s view of {of}"
                );
            }
        }
        world.cuts.clear();
        let elapsed = world.run_until(MAX_CONVERGENCE_TIME, World::has_converged);
        elapsed.expect("views did not converge again");
    }
}

#[test]
fn two_halves_of_a_data_centre_find_each_other_again() {
    for seed in seeds(5) {
        let mut world = converged_world(1, 6, seed);
        world.partition(&[0, 1, 2]);
        world.run_for(Duration::from_secs(30));
        assert_eq!(world.standing(0, 3), Standing::Dead);
        assert_eq!(world.standing(3, 0), Standing::Dead);
        world.cuts.clear();
        let elapsed = world.run_until(MAX_CONVERGENCE_TIME, World::has_converged);
        elapsed.expect("views did not converge again");
    }
}

#[test]
fn one_that_did_not_run_takes_nobody_for_dead() {
    let mut world = converged_world(2, 4, 3);
    world.crash(1);
    let is_suspect = |world: &World| world.standing(0, 1) == Standing::Suspect;
    world
        .run_until(MAX_DETECTION_TIME, is_suspect)
        .expect("the crashed node was not suspected");
    let woken = world.time() + Duration::from_secs(60);
    let members = &mut world.nodes[0].members;
    members.tick(woken);
    let mut views = members.views(woken);
    assert!(views.all(|view| view.standing < Standing::Dead));
}

#[test]
fn datagrams_of_a_former_life_are_not_used() {
    let mut world = converged_world(1, 3, 4);
    let now = world.time();
    world.nodes[0].members.set_version(Version(7), now);
    let old = world.nodes[0].members.take_packets(now);
    world.crash(0);
    world.run_for(Duration::from_secs(20));
    assert_eq!(world.standing(1, 0), Standing::Dead);
    world.restart(0);
    let elapsed = world.run_until(MAX_CONVERGENCE_TIME, World::has_converged);
    elapsed.expect("views did not converge again");
    let now = world.time();
    let members = &mut world.nodes[1].members;
    for packet in old.iter().filter(|packet| packet.to == NodeId(1)) {
        members.receive(NodeId(0), &packet.bytes, now);
    }
    let view = members.get(NodeId(0), now).unwrap();
    assert_eq!(
        (view.generation.incarnation.0, view.version),
        (2, Version(0))
    );
    assert_eq!(members.newest_version(), Version(0));
}

#[test]
fn a_life_that_cannot_be_is_not_believed() {
    let mut world = converged_world(1, 3, 4);
    let now = world.time();
    let members = &mut world.nodes[0].members;
    let before = members.get(NodeId(1), now);
    let mut header = vec![0xff; 9];
    header.extend([1, 0, 0, 0]);
    members.receive(NodeId(1), &header, now);
    assert_eq!(before, members.get(NodeId(1), now));
}

/// A member cut off from only its own data centre tells the others that all other
/// members there are dead, and forgets these claims by a restart.
#[test]
fn a_claim_that_its_maker_forgot_is_refuted() {
    for seed in seeds(20) {
        let mut world = converged_world(2, 5, seed);
        for other in 5..9 {
            world.cut(9, other);
            world.cut(other, 9);
        }
        let believed = |world: &World| {
            let dead = |of| (0..5).any(|viewer| world.standing(viewer, of) == Standing::Dead);
            (5..9).any(dead)
        };
        let elapsed = world.run_until(Duration::from_secs(30), believed);
        elapsed.expect("the claim did not spread");
        world.restart(9);
        world.cuts.clear();
        let elapsed = world.run_until(MAX_CONVERGENCE_TIME, World::has_converged);
        elapsed.expect("the claim was not refuted");
    }
}

/// Crashes, restarts, suspensions and cuts on a lossy network. No node's view goes
/// back to an older generation, and all agree once the network is repaired.
#[test]
fn views_never_go_back_and_agree_after_healing() {
    for seed in seeds(40) {
        let mut world = converged_world(3, 3, seed);
        world.conditions = LOSSY;
        let mut known = vec![[Generation::default(); 9]; 9];
        for _ in 0..1_200 {
            disturb(&mut world);
            world.step();
            for (viewer, known) in known.iter_mut().enumerate() {
                check_views(&world, viewer, known);
            }
        }
        world.conditions = RELIABLE;
        world.cuts.clear();
        for index in (0..9)
            .filter(|index| !world.nodes[*index].up)
            .collect::<Vec<_>>()
        {
            world.restart(index);
        }
        let elapsed = world.run_until(Duration::from_secs(45), World::has_converged);
        elapsed.expect("views did not converge after the network was repaired");
    }
}

fn disturb(world: &mut World) {
    if 0.02 < world.rng.f64() {
        return;
    }
    let index = world.rng.usize(0..9);
    let other = world.rng.usize(0..9);
    let span = Duration::from_millis(world.rng.u64(500..15_000));
    match world.rng.u8(0..7) {
        0 => world.crash(index),
        1 | 2 if !world.nodes[index].up => world.restart(index),
        3 => world.freeze(index, span),
        4 => world.cut(index, other),
        5 => world.partition(&[index, other]),
        _ => world.cuts.clear(),
    }
}

fn check_views(world: &World, viewer: usize, known: &mut [Generation; 9]) {
    let node = &world.nodes[viewer];
    if !node.up {
        *known = Default::default();
        return;
    }
    for view in node.members.views(world.time()) {
        let of = view.peer.node.0 as usize;
        assert!(
            known[of] <= view.generation,
            "{viewer} went back to an older generation of {of}"
        );
        assert!(view.generation.incarnation.0 <= world.nodes[of].incarnation);
        known[of] = view.generation;
    }
}
