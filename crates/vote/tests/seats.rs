//! The membership policy keeps groups complete without an operator, when disks are lost
//! and nodes are gone for good. `SEED=7 cargo test -p vote --test seats` repeats one seed.

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

/// The number of schedules of each kind.
const SEED_COUNT: u64 = 100;

/// The time between two applications of the policy.
const POLICY_INTERVAL: Duration = Duration::from_millis(300);

/// The time within which a group must be complete again after a loss.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(30);

/// Applies the policy once at the leader, as a deployment does, and proposes a command.
fn run_policy(cluster: &mut Cluster, policy: MembershipPolicy) {
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
    cluster.run(POLICY_INTERVAL);
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

/// Whether the group has the wanted number of voters and all of them are running.
fn is_complete(cluster: &Cluster, policy: MembershipPolicy) -> bool {
    let voters = voters(cluster);
    let votes = |id: &NodeId| cluster.standing(*id) == Some(Standing::Voter);
    voters.len() == policy.voters && voters.iter().all(votes)
}

fn run_until_complete(cluster: &mut Cluster, policy: MembershipPolicy) {
    let end = cluster.now + REPAIR_TIMEOUT;
    while !is_complete(cluster, policy) {
        assert!(cluster.now < end, "the voters are {:?}", voters(cluster));
        run_policy(cluster, policy);
    }
    cluster.commit_one(Duration::from_secs(5));
    let last = cluster.model.last_index();
    let all = cluster.model.commands(last);
    let lost = cluster.model.accepted().iter().find(|c| !all.contains(c));
    assert_eq!(lost, None, "an accepted command is lost");
}

fn run_under_faults(cluster: &mut Cluster, policy: MembershipPolicy, rng: &mut Rng) {
    cluster.network.loss = 0.1 * rng.f64();
    cluster.network.delay = Duration::from_millis(rng.u64(1..60));
    for _ in 0..rng.usize(3..20) {
        run_policy(cluster, policy);
    }
    cluster.network.heal();
}

fn wipe_disk(cluster: &mut Cluster, id: NodeId, rng: &mut Rng) {
    cluster.replace_disk(id, DiskId(rng.u64(1..)), Stored::default());
    cluster.run(Duration::from_millis(rng.u64(0..3_000)));
    cluster.start(id);
}

fn pick(ids: &BTreeSet<NodeId>, count: usize, rng: &mut Rng) -> BTreeSet<NodeId> {
    let mut ids: Vec<NodeId> = ids.iter().copied().collect();
    rng.shuffle(&mut ids);
    ids.into_iter().take(count).collect()
}

#[test]
fn an_emptied_disk_is_taken_back_by_itself_and_nothing_accepted_is_lost() {
    for_seeds(SEED_COUNT, |seed| {
        let losses = 1 + seed as usize % 2;
        let policy = MembershipPolicy::tolerating_losses(losses);
        let mut cluster = Cluster::new(policy.voters as u32, seed);
        let mut rng = Rng::with_seed(seed ^ 0x5ea7);
        run_until_complete(&mut cluster, policy);
        for _ in 0..3 {
            run_under_faults(&mut cluster, policy, &mut rng);
            run_until_complete(&mut cluster, policy);
            for victim in pick(&voters(&cluster), losses, &mut rng) {
                wipe_disk(&mut cluster, victim, &mut rng);
            }
            run_until_complete(&mut cluster, policy);
        }
    });
}

#[test]
fn a_successor_at_another_address_is_taken_in_and_the_dead_one_let_go() {
    for_seeds(SEED_COUNT, |seed| {
        let losses = 1 + seed as usize % 2;
        let policy = MembershipPolicy::tolerating_losses(losses);
        let mut cluster = Cluster::new(policy.voters as u32, seed);
        let mut rng = Rng::with_seed(seed ^ 0xdead);
        let mut last_id = 100;
        run_until_complete(&mut cluster, policy);
        for _ in 0..3 {
            run_under_faults(&mut cluster, policy, &mut rng);
            run_until_complete(&mut cluster, policy);
            let dead = pick(&voters(&cluster), losses, &mut rng);
            for id in &dead {
                cluster.crash(*id);
                last_id += 1;
                let configured_voters: Vec<NodeId> = cluster.ids();
                cluster.add(NodeId(last_id), &configured_voters);
            }
            run_until_complete(&mut cluster, policy);
            let remaining = voters(&cluster);
            assert!(remaining.is_disjoint(&dead), "{dead:?} of {remaining:?}");
        }
    });
}

#[test]
fn a_group_of_three_grows_to_five_where_two_disks_may_be_lost() {
    for_seeds(SEED_COUNT, |seed| {
        let policy = MembershipPolicy::tolerating_losses(2);
        let mut cluster = Cluster::new(3, seed);
        let mut rng = Rng::with_seed(seed ^ 0x9704);
        let configured_voters = cluster.ids();
        for id in 4..=6 {
            cluster.add(NodeId(id), &configured_voters);
        }
        run_until_complete(&mut cluster, policy);
        for id in pick(&voters(&cluster), 2, &mut rng) {
            cluster.replace_disk(id, DiskId(rng.u64(1..)), Stored::default());
        }
        cluster.commit_one(Duration::from_secs(10));
        run_until_four_vote(&mut cluster, policy);
    });
}

#[test]
fn a_new_leader_gives_members_time_to_answer_before_it_replaces_them() {
    for_seeds(SEED_COUNT, |seed| {
        let policy = MembershipPolicy::tolerating_losses(1);
        let mut cluster = Cluster::new(3, seed);
        let original_voters = cluster.ids();
        cluster.add(NodeId(4), &original_voters);
        run_until_complete(&mut cluster, policy);
        for _ in 0..5 {
            let Some(leader) = cluster.leader() else {
                continue;
            };
            cluster.crash(leader);
            cluster.run(Duration::from_millis(300));
            cluster.start(leader);
            let end = cluster.now + Duration::from_secs(3);
            while cluster.now < end {
                run_policy(&mut cluster, policy);
            }
            run_until_complete(&mut cluster, policy);
            assert_eq!(
                voters(&cluster).into_iter().collect::<Vec<_>>(),
                original_voters
            );
        }
    });
}

#[test]
fn a_late_word_of_an_earlier_disk_replaces_nothing() {
    let policy = MembershipPolicy::tolerating_losses(1);
    let mut cluster = Cluster::new(3, 7);
    run_until_complete(&mut cluster, policy);
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
    let replacement = Change::Replace {
        node: other,
        disk: DiskId(9),
    };
    assert_eq!(policy.next_change(&status, &group), Some(replacement));
}

/// Runs until four voters are up: the spare node replaces one of the two that are down
/// with lost disks.
fn run_until_four_vote(cluster: &mut Cluster, policy: MembershipPolicy) {
    let end = cluster.now + REPAIR_TIMEOUT;
    let running_voters = |cluster: &Cluster| {
        let votes = |id: &NodeId| cluster.standing(*id) == Some(Standing::Voter);
        voters(cluster).iter().filter(|id| votes(id)).count()
    };
    while running_voters(cluster) < 4 {
        assert!(cluster.now < end, "the voters are {:?}", voters(cluster));
        run_policy(cluster, policy);
    }
}
