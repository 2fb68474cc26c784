//! Random schedules of faults, checked against a plain list of accepted commands.
//!
//! `SEED=7 cargo test -p vote --test schedules` repeats one seed.

mod fake;

use std::time::Duration;

use fastrand::Rng;

use crate::fake::Clock;
use crate::fake::Cluster;
use crate::fake::Stored;
use crate::fake::seeds::for_seeds;
use base::DiskId;
use base::NodeId;
use vote::Change;
use vote::Standing;

const SEED_COUNT: u64 = 400;
const STEPS_PER_SCHEDULE: usize = 250;

fn new_cluster(seed: u64) -> Cluster {
    let size = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut cluster = Cluster::new(size, seed);
    for id in cluster.ids() {
        cluster.node(id).compact_every = 20 * (seed as usize % 3);
    }
    cluster
}

#[test]
fn crashes_partitions_and_frozen_leaders() {
    for_seeds(SEED_COUNT, |seed| {
        let mut cluster = new_cluster(seed);
        let mut rng = Rng::with_seed(seed ^ 0x5eed);
        for _ in 0..STEPS_PER_SCHEDULE {
            let span = Duration::from_millis(rng.u64(1..80));
            cluster.run(span);
            propose_and_read(&mut cluster, &mut rng);
            inject_fault(&mut cluster, &mut rng);
        }
        heal_and_check(&mut cluster);
    });
}

#[test]
fn wiped_and_rolled_back_disks_do_not_count() {
    for_seeds(SEED_COUNT, |seed| {
        let mut cluster = new_cluster(seed);
        let mut rng = Rng::with_seed(seed ^ 0xd15c);
        cluster.commit_one(Duration::from_secs(5));
        for _ in 0..3 {
            let ids = cluster.ids();
            let victim = ids[rng.usize(..ids.len())];
            let older = (
                cluster.node(victim).disk,
                cluster.node(victim).stored.clone(),
            );
            run_with_load(&mut cluster, &mut rng, 20);
            heal_and_check(&mut cluster);
            if rng.bool() {
                wipe_disk(&mut cluster, victim, &mut rng);
            } else {
                roll_back(&mut cluster, victim, older.1.clone());
            }
            run_with_load(&mut cluster, &mut rng, 20);
            replace_disk(&mut cluster, victim, &mut rng);
            if rng.bool() {
                bring_back_old_disk(&mut cluster, victim, older, &mut rng);
            }
        }
        heal_and_check(&mut cluster);
    });
}

#[test]
fn members_change_under_faults() {
    for_seeds(SEED_COUNT, |seed| {
        let mut cluster = new_cluster(seed * 3);
        let mut rng = Rng::with_seed(seed ^ 0xadd);
        cluster.commit_one(Duration::from_secs(5));
        for _ in 0..3 {
            let ids = cluster.ids();
            let victim = ids[rng.usize(..ids.len())];
            for _ in 0..40 {
                cluster.run(Duration::from_millis(rng.u64(1..80)));
                propose_and_read(&mut cluster, &mut rng);
                inject_fault(&mut cluster, &mut rng);
                change_members_at_random(&mut cluster, victim, &mut rng);
            }
            cluster.heal();
            cluster.run(Duration::from_secs(5));
            replace_disk(&mut cluster, victim, &mut rng);
            let other = NodeId(1 + victim.0 % 5);
            if cluster.standing(other) != Some(Standing::Voter) {
                replace_disk(&mut cluster, other, &mut rng);
            }
        }
        heal_and_check(&mut cluster);
    });
}

/// Removes up to two members of five and adds them again, without waiting.
fn change_members_at_random(cluster: &mut Cluster, victim: NodeId, rng: &mut Rng) {
    let other = NodeId(1 + victim.0 % 5);
    for node in [victim, other] {
        let disk = cluster.node(node).disk;
        match rng.u8(..8) {
            0 => cluster.change(Change::Remove { node }),
            1 => cluster.change(Change::Add { node, disk }),
            _ => continue,
        };
    }
}

/// Proposes commands and reads at a random node, more often at the leader.
fn propose_and_read(cluster: &mut Cluster, rng: &mut Rng) {
    let ids = cluster.ids();
    let mut id = ids[rng.usize(..ids.len())];
    if let Some(leader) = cluster.leader()
        && rng.u8(..4) < 3
    {
        id = leader;
    }
    for _ in 0..rng.usize(..4) {
        cluster.propose(id);
    }
    if rng.bool() {
        cluster.read(id);
    }
}

fn inject_fault(cluster: &mut Cluster, rng: &mut Rng) {
    let ids = cluster.ids();
    let any = ids[rng.usize(..ids.len())];
    let id = match cluster.leader() {
        Some(leader) if rng.bool() => leader,
        _ => any,
    };
    match rng.u8(..50) {
        0 | 1 => cluster.crash(id),
        2 => cluster.freeze(id, Clock::Runs),
        3 => cluster.freeze(id, Clock::Stopped),
        4 => cluster.network.isolate(id, &ids),
        5 => {
            cluster.network.cut_links.insert((id, any));
        }
        6..9 => cluster.network.isolate(id, &[any]),
        9 => {
            let max_delay_ms = if rng.bool() { 30 } else { 250 };
            cluster.network.loss = 0.3 * rng.f64();
            cluster.network.repeat = 0.3 * rng.f64();
            cluster.network.delay = Duration::from_millis(rng.u64(1..max_delay_ms));
        }
        10 => cluster.network.heal(),
        11 => {
            let until = cluster.now + Duration::from_millis(rng.u64(10..4_000));
            cluster.node(id).disk_stuck_until = until;
        }
        12 | 13 => cluster.sync_time = Duration::from_millis(rng.u64(1..120)),
        14 | 15 => cluster.heal(),
        16..20 => {
            cluster.crash(any);
            cluster.start(any);
        }
        20 => {
            for id in ids {
                cluster.crash(id);
                cluster.start(id);
            }
        }
        32..34 => cluster.hand_over(id),
        21..32 => start_or_unfreeze(cluster, any),
        _ => {}
    }
}

fn start_or_unfreeze(cluster: &mut Cluster, id: NodeId) {
    if cluster.node(id).voter.is_none() {
        cluster.start(id);
    } else {
        cluster.unfreeze(id);
    }
}

fn run_with_load(cluster: &mut Cluster, rng: &mut Rng, steps: usize) {
    for _ in 0..steps {
        cluster.run(Duration::from_millis(rng.u64(1..80)));
        propose_and_read(cluster, rng);
    }
}

/// Ends all faults. Everything accepted must reach all voters, and work must go on.
fn heal_and_check(cluster: &mut Cluster) {
    cluster.heal();
    cluster.run(Duration::from_secs(5));
    cluster.commit_one(Duration::from_secs(5));
    cluster.run_until(
        Duration::from_secs(5),
        "all voters catch up",
        Cluster::all_caught_up,
    );
    let last = cluster.model.last_index();
    let all = cluster.model.commands(last);
    let lost = cluster.model.accepted().iter().find(|c| !all.contains(c));
    assert_eq!(lost, None, "an accepted command is lost");
    for node in cluster.nodes.values() {
        cluster.model.check_state(node.id, node.applied, &node.app);
    }
}

fn wipe_disk(cluster: &mut Cluster, victim: NodeId, rng: &mut Rng) {
    cluster.replace_disk(victim, DiskId(rng.u64(1..)), Stored::default());
    cluster.run(Duration::from_millis(500));
    cluster.start(victim);
    cluster.run(Duration::from_secs(3));
    assert_eq!(cluster.standing(victim), Some(Standing::Lost));
    assert_does_not_count(cluster, victim);
}

/// Restores an older content of a disk. If it lacks entries that the disk had
/// acknowledged as committed, the voter must notice.
fn roll_back(cluster: &mut Cluster, victim: NodeId, older: Stored) {
    // A heartbeat tells the others what the disk has acknowledged.
    cluster.run(Duration::from_millis(500));
    let newest = last_index(&cluster.node(victim).stored);
    let has_lost_entries = last_index(&older) < newest;
    let disk = cluster.node(victim).disk;
    cluster.replace_disk(victim, disk, older);
    cluster.run(Duration::from_millis(500));
    cluster.start(victim);
    cluster.run(Duration::from_secs(3));
    if has_lost_entries {
        assert_eq!(cluster.standing(victim), Some(Standing::Lost));
        assert_does_not_count(cluster, victim);
    }
}

/// Brings back a disk that was replaced. It was a member's once and must not count any
/// more. Then the new disk returns.
fn bring_back_old_disk(
    cluster: &mut Cluster,
    victim: NodeId,
    old: (DiskId, Stored),
    rng: &mut Rng,
) {
    heal_and_check(cluster);
    let new = cluster.node(victim).stored.clone();
    let new_disk = cluster.node(victim).disk;
    cluster.replace_disk(victim, old.0, old.1);
    cluster.start(victim);
    run_with_load(cluster, rng, 20);
    assert_does_not_count(cluster, victim);
    cluster.replace_disk(victim, new_disk, new);
    cluster.start(victim);
}

/// Connects a node with so few others that only its own vote would make a majority.
/// Nobody may hold a lease then.
fn assert_does_not_count(cluster: &mut Cluster, victim: NodeId) {
    let others = cluster.ids().into_iter().filter(|id| *id != victim);
    let others: Vec<_> = others.collect();
    let (with, without) = others.split_at(others.len() / 2);
    for id in with.iter().chain([&victim]) {
        cluster.network.isolate(*id, without);
    }
    cluster.run(Duration::from_secs(4));
    let now = cluster.now;
    let leader = cluster
        .nodes
        .values()
        .find(|node| node.lease(now).is_some());
    assert!(leader.is_none(), "{victim} counts");
    cluster.heal();
}

fn last_index(stored: &Stored) -> u64 {
    let entry = stored.records.iter().rev().find_map(|record| match record {
        vote::Record::Entry(entry) => Some(entry.index.0),
        _ => None,
    });
    let snapshot = stored.snapshot.as_ref().map(|s| s.last_included.index.0);
    entry.max(snapshot).unwrap_or_default()
}

/// Replaces a disk as an operator does: starts the node with an empty folder and
/// replaces its old disk in the group.
fn replace_disk(cluster: &mut Cluster, victim: NodeId, rng: &mut Rng) {
    let disk = DiskId(rng.u64(1..));
    cluster.replace_disk(victim, disk, Stored::default());
    cluster.start(victim);
    let end = cluster.now + Duration::from_secs(20);
    while cluster.standing(victim) != Some(Standing::Voter) {
        assert!(cluster.now < end, "{victim} does not become a voter");
        let node = victim;
        match cluster.member(node) {
            Some(member) if member.disk == disk => false,
            Some(_) => cluster.change(Change::Replace { node, disk }),
            None => cluster.change(Change::Add { node, disk }),
        };
        cluster.run(Duration::from_millis(400));
    }
}
