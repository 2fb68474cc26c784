//! Groups that are kept whole without an operator, under lost disks, nodes that are gone
//! for good and their successors. `SEED=7 cargo test -p vote --test seats` runs one again.

mod fake;

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;

use crate::fake::Cluster;
use crate::fake::Stored;
use crate::fake::seeds::for_seeds;
use base::DiskId;
use base::NodeId;
use vote::Change;
use vote::MembershipPolicy;
use vote::NonMember;
use vote::Standing;

/// Schedules of each kind.
const SEEDS: u64 = 100;

/// Time between two looks at the seats.
const LOOK: Duration = Duration::from_millis(300);

/// Time in which a group is whole again after a loss.
const WHOLE_WITHIN: Duration = Duration::from_secs(30);

/// Does what the leader of a deployment does, and goes on proposing.
fn keep(cluster: &mut Cluster, policy: MembershipPolicy) {
    if let Some(id) = cluster.leader() {
        cluster.propose(id);
        let voter = cluster.node(id).voter.as_ref().unwrap();
        let change = voter
            .group()
            .and_then(|group| policy.next_change(&voter.status(), group));
        if let Some(change) = change {
            cluster.change(change);
        }
    }
    cluster.run(LOOK);
}

fn voters(cluster: &Cluster) -> BTreeSet<NodeId> {
    let leader = cluster
        .leader()
        .and_then(|id| cluster.nodes[&id].voter.as_ref());
    let group = leader.and_then(|voter| voter.group());
    group
        .map(|group| group.voters().collect())
        .unwrap_or_default()
}

/// Whether all that are wanted vote, live and have all that was accepted.
fn is_whole(cluster: &Cluster, policy: MembershipPolicy) -> bool {
    let voters = voters(cluster);
    let votes = |id: &NodeId| cluster.standing(*id) == Some(Standing::Voter);
    voters.len() == policy.voters && voters.iter().all(votes)
}

fn until_whole(cluster: &mut Cluster, policy: MembershipPolicy) {
    let end = cluster.now + WHOLE_WITHIN;
    while !is_whole(cluster, policy) {
        assert!(cluster.now < end, "{:?} vote", voters(cluster));
        keep(cluster, policy);
    }
    cluster.commit_one(Duration::from_secs(5));
    let last = cluster.model.last();
    let all = cluster.model.commands(last);
    let lost = cluster.model.accepted().iter().find(|c| !all.contains(c));
    assert_eq!(lost, None, "an accepted command is lost");
}

fn busy(cluster: &mut Cluster, policy: MembershipPolicy, rng: &mut Rng) {
    cluster.network.loss = 0.1 * rng.f64();
    cluster.network.delay = Duration::from_millis(rng.u64(1..60));
    for _ in 0..rng.usize(3..20) {
        keep(cluster, policy);
    }
    cluster.network.heal();
}

fn wipe(cluster: &mut Cluster, id: NodeId, rng: &mut Rng) {
    cluster.replace_disk(id, DiskId(rng.u64(1..)), Stored::default());
    cluster.run(Duration::from_millis(rng.u64(0..3_000)));
    cluster.start(id);
}

fn some(ids: &BTreeSet<NodeId>, count: usize, rng: &mut Rng) -> BTreeSet<NodeId> {
    let mut ids: Vec<NodeId> = ids.iter().copied().collect();
    rng.shuffle(&mut ids);
    ids.into_iter().take(count).collect()
}

#[test]
fn an_emptied_disk_is_taken_back_by_itself_and_nothing_accepted_is_lost() {
    for_seeds(SEEDS, |seed| {
        let losses = 1 + seed as usize % 2;
        let policy = MembershipPolicy::tolerating_losses(losses);
        let mut cluster = Cluster::new(policy.voters as u32, seed);
        let mut rng = Rng::with_seed(seed ^ 0x5ea7);
        until_whole(&mut cluster, policy);
        for _ in 0..3 {
            busy(&mut cluster, policy, &mut rng);
            until_whole(&mut cluster, policy);
            for victim in some(&voters(&cluster), losses, &mut rng) {
                wipe(&mut cluster, victim, &mut rng);
            }
            until_whole(&mut cluster, policy);
        }
    });
}

#[test]
fn a_successor_at_another_address_is_taken_in_and_the_dead_one_let_go() {
    for_seeds(SEEDS, |seed| {
        let losses = 1 + seed as usize % 2;
        let policy = MembershipPolicy::tolerating_losses(losses);
        let mut cluster = Cluster::new(policy.voters as u32, seed);
        let mut rng = Rng::with_seed(seed ^ 0xdead);
        let mut next = 100;
        until_whole(&mut cluster, policy);
        for _ in 0..3 {
            busy(&mut cluster, policy, &mut rng);
            until_whole(&mut cluster, policy);
            let dead = some(&voters(&cluster), losses, &mut rng);
            for id in &dead {
                cluster.crash(*id);
                next += 1;
                let seeds: Vec<NodeId> = cluster.ids();
                cluster.add(NodeId(next), &seeds);
            }
            until_whole(&mut cluster, policy);
            let left = voters(&cluster);
            assert!(left.is_disjoint(&dead), "{dead:?} of {left:?}");
        }
    });
}

#[test]
fn a_group_of_three_grows_to_five_where_two_disks_may_be_lost() {
    for_seeds(SEEDS, |seed| {
        let policy = MembershipPolicy::tolerating_losses(2);
        let mut cluster = Cluster::new(3, seed);
        let mut rng = Rng::with_seed(seed ^ 0x9704);
        let seeds = cluster.ids();
        for id in 4..=6 {
            cluster.add(NodeId(id), &seeds);
        }
        until_whole(&mut cluster, policy);
        for id in some(&voters(&cluster), 2, &mut rng) {
            cluster.replace_disk(id, DiskId(rng.u64(1..)), Stored::default());
        }
        cluster.commit_one(Duration::from_secs(10));
        until_whole_without(&mut cluster, policy);
    });
}

#[test]
fn a_new_leader_gives_members_time_to_answer_before_it_replaces_them() {
    for_seeds(SEEDS, |seed| {
        let policy = MembershipPolicy::tolerating_losses(1);
        let mut cluster = Cluster::new(3, seed);
        let first = cluster.ids();
        cluster.add(NodeId(4), &first);
        until_whole(&mut cluster, policy);
        for _ in 0..5 {
            let Some(leader) = cluster.leader() else {
                continue;
            };
            cluster.crash(leader);
            cluster.run(Duration::from_millis(300));
            cluster.start(leader);
            let end = cluster.now + Duration::from_secs(3);
            while cluster.now < end {
                keep(&mut cluster, policy);
            }
            until_whole(&mut cluster, policy);
            assert_eq!(voters(&cluster).into_iter().collect::<Vec<_>>(), first);
        }
    });
}

#[test]
fn a_late_word_of_an_earlier_disk_replaces_nothing() {
    let policy = MembershipPolicy::tolerating_losses(1);
    let mut cluster = Cluster::new(3, 7);
    until_whole(&mut cluster, policy);
    let leader = cluster.leader().unwrap();
    let other = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
    let voter = cluster.node(leader).voter.as_ref().unwrap();
    let mut status = voter.status();
    let group = voter.group().unwrap().clone();
    status.non_members.push(NonMember {
        node: other,
        disk: DiskId(9),
    });
    assert_eq!(policy.next_change(&status, &group), None);
    for peer in &mut status.peers {
        peer.silent = Some(Duration::from_secs(1));
    }
    let back = Change::Replace {
        node: other,
        disk: DiskId(9),
    };
    assert_eq!(policy.next_change(&status, &group), Some(back));
}

/// Two are dark with their disks lost, one more stands by: it is taken in.
fn until_whole_without(cluster: &mut Cluster, policy: MembershipPolicy) {
    let end = cluster.now + WHOLE_WITHIN;
    let alive = |cluster: &Cluster| {
        let votes = |id: &NodeId| cluster.standing(*id) == Some(Standing::Voter);
        voters(cluster).iter().filter(|id| votes(id)).count()
    };
    while alive(cluster) < 4 {
        assert!(cluster.now < end, "{:?} vote", voters(cluster));
        keep(cluster, policy);
    }
}
