//! Voters that are removed, emptied or frozen while another node is at hand.
//! `SEED=7 cargo test -p vote --test replacements` repeats one seed.

mod fake;

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;

use crate::fake::Cluster;
use crate::fake::Stored;
use crate::fake::seeds::for_seeds;
use base::DiskId;
use base::NodeId;
use base::Time;
use vote::MembershipPolicy;
use vote::Standing;

/// The number of schedules of each kind.
const SEED_COUNT: u64 = 100;

/// The time between two applications of the policy at the leader. A committed change of the members
/// is followed by one at once.
const POLICY_INTERVAL: Duration = Duration::from_millis(100);

/// The steps in which time passes.
const STEP: Duration = Duration::from_millis(10);

/// How long a successor may take to catch up.
const CATCH_UP: Duration = Duration::from_secs(4);

/// By then a group accepts commands again and is complete.
const RECOVERY: Duration = Duration::from_secs(12);

/// A group that is kept complete by the policy, as a deployment does.
struct Group {
    cluster: Cluster,
    policy: MembershipPolicy,
    rng: Rng,
    next_check: Time,
    last_group: Option<vote::Group>,
    /// The voters when the group was last complete. A new node has them in its settings.
    last_voters: BTreeSet<NodeId>,
    next_node: u32,
}

impl Group {
    fn new(losses: usize, seed: u64) -> Self {
        let policy = MembershipPolicy::tolerating_losses(losses);
        let mut group = Self {
            cluster: Cluster::new(policy.voters as u32, seed),
            policy,
            rng: Rng::with_seed(seed ^ 0x64),
            next_check: Time::ZERO,
            last_group: None,
            last_voters: BTreeSet::new(),
            next_node: 100,
        };
        group.run_until_complete();
        group
    }

    /// Lets time pass.
    fn run(&mut self, span: Duration) {
        let end = self.cluster.now + span;
        while self.cluster.now < end {
            self.apply_policy();
            self.cluster.run(STEP.min(end.since(self.cluster.now)));
        }
    }

    fn apply_policy(&mut self) {
        let Some(leader) = self.cluster.leader() else {
            return;
        };
        let is_due = self.next_check <= self.cluster.now;
        let voter = self.cluster.node(leader).voter.as_ref().unwrap();
        let group = voter.group().cloned();
        let status = voter.status();
        let is_changed = group != self.last_group && status.commit == status.last;
        if !is_due && !is_changed {
            return;
        }
        let voter = self.cluster.node(leader).voter.as_ref().unwrap();
        let status = voter.status();
        let change = voter
            .group()
            .and_then(|group| self.policy.next_change(&status, group));
        self.next_check = self.cluster.now + POLICY_INTERVAL;
        self.last_group = group;
        self.cluster.propose(leader);
        if let Some(change) = change {
            self.cluster.change(change);
        }
    }

    fn voters(&self) -> BTreeSet<NodeId> {
        let leader = self.cluster.leader();
        let leader = leader.and_then(|id| self.cluster.nodes[&id].voter.as_ref());
        let group = leader.and_then(|voter| voter.group());
        group
            .map(|group| group.voters().collect())
            .unwrap_or_default()
    }

    /// Whether the group has the wanted number of voters and all of them run.
    fn is_complete(&self) -> bool {
        let voters = self.voters();
        let votes = |id: &NodeId| {
            let is_awake = self.cluster.nodes[id].is_awake();
            is_awake && self.cluster.standing(*id) == Some(Standing::Voter)
        };
        voters.len() == self.policy.voters && voters.iter().all(votes)
    }

    fn describe(&self) -> String {
        let nodes = self.cluster.nodes.values();
        let standings: Vec<_> = nodes.map(|node| (node.id, node.standing())).collect();
        let leader = self.cluster.leader();
        let status = leader.and_then(|id| self.cluster.nodes[&id].voter.as_ref());
        let status = status.map(vote::Voter::status);
        format!("nodes {standings:?}, leader {leader:?}: {status:?}")
    }

    /// Runs until the group is complete, and checks that no accepted command is lost.
    fn run_until_complete(&mut self) {
        let end = self.cluster.now + RECOVERY;
        while !self.is_complete() {
            assert!(self.cluster.now < end, "{}", self.describe());
            self.run(STEP);
        }
        self.last_voters = self.voters();
        self.cluster.commit_one(Duration::from_secs(5));
        let last = self.cluster.model.last_index();
        let all = self.cluster.model.commands(last);
        let accepted = self.cluster.model.accepted();
        let lost = accepted.iter().find(|c| !all.contains(c));
        assert_eq!(lost, None, "an accepted command is lost");
    }

    fn add_node(&mut self) -> NodeId {
        self.next_node += 1;
        let id = NodeId(self.next_node);
        let seeds: Vec<NodeId> = self.last_voters.iter().copied().collect();
        self.cluster.add(id, &seeds);
        id
    }

    fn lose_disk(&mut self, id: NodeId) {
        let disk = DiskId(self.rng.u64(1..));
        self.cluster.replace_disk(id, disk, Stored::default());
    }

    fn pick(&mut self, from: &BTreeSet<NodeId>) -> NodeId {
        let ids: Vec<NodeId> = from.iter().copied().collect();
        ids[self.rng.usize(..ids.len())]
    }
}

#[test]
fn a_removed_voter_that_returns_with_its_disk_or_another_takes_part_again() {
    for_seeds(SEED_COUNT, |seed| {
        let mut group = Group::new(1, seed);
        let spare = group.add_node();
        group.run(Duration::from_secs(1));
        let voters = group.voters();
        let victim = group.pick(&voters);
        group.cluster.crash(victim);
        group.run_until_complete();
        assert!(group.voters().contains(&spare));
        if group.rng.bool() {
            group.lose_disk(victim);
        }
        group.cluster.start(victim);
        group.run(CATCH_UP);
        let others = voters.iter().copied().filter(|id| *id != victim).collect();
        let dead = group.pick(&others);
        group.cluster.crash(dead);
        group.run_until_complete();
        assert!(group.voters().contains(&victim));
    });
}
