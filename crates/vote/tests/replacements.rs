//! Voters that are removed, emptied, frozen or stopped while another node is at hand. Guards against
//! groups that still count a removed voter when the next disk is lost (review/11).
//! `SEED=7 cargo test -p vote --test replacements` repeats one seed.

mod fake;

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;

use crate::fake::Clock;
use crate::fake::Cluster;
use crate::fake::Stored;
use crate::fake::seeds::for_seeds;
use base::DiskId;
use base::NodeId;
use base::Time;
use vote::Change;
use vote::MembershipPolicy;
use vote::Release;
use vote::ReleaseWait;
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

/// How long a stopping voter waits until it is replaced, and then until it ends.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(4);
const STOP_TIME: Duration = Duration::from_millis(300);

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
        let policy = MembershipPolicy::tolerating_losses(losses).with_catch_up(CATCH_UP);
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

    /// Stops a node as a deployment does: it asks to be released, hands over and ends.
    fn stop(&mut self, id: NodeId) {
        let now = self.cluster.now;
        self.stop_through_cut(id, now);
    }

    /// Stops a node while the network is cut until `healed_at`.
    fn stop_through_cut(&mut self, id: NodeId, healed_at: Time) {
        if let Some(voter) = &mut self.cluster.node(id).voter {
            voter.stop_offering();
        }
        let end = self.cluster.now + RELEASE_TIMEOUT;
        let own = self.cluster.nodes[&id].voter.as_ref().unwrap();
        let mut wait = ReleaseWait::begin(own, &self.policy);
        while self.cluster.now < end && wait.goes_on(self.ask_for_release(id)) {
            if healed_at <= self.cluster.now {
                self.cluster.network.cut_links.clear();
            }
            self.run(STEP);
        }
        self.cluster.hand_over(id);
        self.run(STOP_TIME);
        self.cluster.crash(id);
        self.cluster.network.cut_links.clear();
        let end = self.cluster.now + RECOVERY;
        while self.cluster.leader().is_none() && self.cluster.now < end {
            self.run(STEP);
        }
    }

    /// Asks the leader that a node knows to release it.
    fn ask_for_release(&mut self, id: NodeId) -> Release {
        let policy = self.policy;
        let own = self.cluster.nodes[&id].voter.as_ref().unwrap();
        if own.has_left() {
            return Release::Released;
        }
        let cut_links = &self.cluster.network.cut_links;
        let is_cut = |leader| leader != id && cut_links.contains(&(id, leader));
        let Some(leader) = own.leader().filter(|leader| !is_cut(*leader)) else {
            return Release::NotLeading;
        };
        let now = self.cluster.now;
        let node = self.cluster.node(leader);
        let local_now = node.local_time(now);
        let voter = node.voter.as_mut();
        // Before it answers, a leader makes sure that it still leads.
        match voter.filter(|voter| voter.lease(local_now).is_some()) {
            Some(voter) => voter.release(id, &policy, local_now),
            None => Release::NotLeading,
        }
    }

    fn lose_disk(&mut self, id: NodeId) {
        let disk = DiskId(self.rng.u64(1..));
        self.cluster.replace_disk(id, disk, Stored::default());
    }

    fn pick(&mut self, from: &BTreeSet<NodeId>) -> NodeId {
        let ids: Vec<NodeId> = from.iter().copied().collect();
        ids[self.rng.usize(..ids.len())]
    }

    fn random_span(&mut self, max_ms: u64) -> Duration {
        Duration::from_millis(self.rng.u64(..=max_ms))
    }

    fn random_trouble(&mut self) -> Trouble {
        match self.rng.usize(..4) {
            0 => Trouble::Freeze(Clock::Runs),
            1 => Trouble::Freeze(Clock::Stopped),
            2 => Trouble::Cut,
            _ => Trouble::StuckDisk,
        }
    }

    fn begin(&mut self, trouble: Trouble, id: NodeId, span: Duration) {
        let ids = self.cluster.ids();
        match trouble {
            Trouble::Freeze(clock) => self.cluster.freeze(id, clock),
            Trouble::Cut => self.cluster.network.isolate(id, &ids),
            Trouble::StuckDisk => {
                let until = self.cluster.now + span;
                self.cluster.node(id).disk_stuck_until = until;
            }
        }
    }

    fn end(&mut self, trouble: Trouble, id: NodeId) {
        match trouble {
            Trouble::Freeze(_) => self.cluster.unfreeze(id),
            Trouble::Cut => self.cluster.network.heal(),
            Trouble::StuckDisk => {}
        }
    }

    fn trouble_network(&mut self) {
        self.cluster.network.loss = 0.02 * self.rng.f64();
        self.cluster.network.delay = Duration::from_millis(self.rng.u64(1..20));
    }
}

/// Why a voter is away for some seconds.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Freeze(Clock),
    Cut,
    StuckDisk,
}

/// How a voter is removed.
#[derive(Clone, Copy, Debug)]
enum Removal {
    Planned,
    Sudden,
}

/// When the successor starts.
#[derive(Clone, Copy, Debug)]
enum Successor {
    /// Long before the removal.
    Before,
    /// This long after it.
    After(Duration),
}

/// Removes a voter, and waits until its successor has had its time.
fn replace_voter(group: &mut Group, victim: NodeId, removal: Removal, successor: Successor) {
    if let Successor::Before = successor {
        group.add_node();
        group.run(CATCH_UP);
    }
    match removal {
        Removal::Planned => group.stop(victim),
        Removal::Sudden => group.cluster.crash(victim),
    }
    match (removal, successor) {
        // The host that was stopped by plan stops counting at once.
        (Removal::Planned, Successor::Before) => {}
        (Removal::Sudden, Successor::Before) => group.run(CATCH_UP),
        (_, Successor::After(late)) => {
            group.run(late);
            group.add_node();
            group.run(CATCH_UP);
        }
    }
}

#[test]
fn a_disk_lost_once_the_successor_had_its_time_ends_no_group() {
    for_seeds(SEED_COUNT, |seed| {
        let losses = 1 + seed as usize % 2;
        let mut group = Group::new(losses, seed);
        for _ in 0..3 {
            group.trouble_network();
            let leader = group.cluster.leader().unwrap();
            let voters = group.voters();
            let victim = match group.rng.bool() {
                true => leader,
                false => group.pick(&voters),
            };
            let removal = match group.rng.bool() {
                true => Removal::Planned,
                false => Removal::Sudden,
            };
            let successor = match group.rng.bool() {
                true => Successor::Before,
                false => Successor::After(group.random_span(2_000)),
            };
            replace_voter(&mut group, victim, removal, successor);
            let wait = group.random_span(1_000);
            group.run(wait);
            let mut left = group.cluster.ids();
            left.retain(|id| group.cluster.nodes[id].voter.is_some());
            let mut left: BTreeSet<NodeId> = left.into_iter().collect();
            let mut emptied = Vec::new();
            for _ in 0..losses {
                let id = group.pick(&left);
                left.remove(&id);
                emptied.push(id);
            }
            let away = group.random_span(4_000);
            group.run(away);
            emptied.iter().for_each(|id| group.cluster.start(*id));
            group.run_until_complete();
            group.cluster.network.heal();
        }
    });
}

#[test]
fn a_planned_stop_with_a_spare_at_hand_has_the_voter_replaced_before_its_end() {
    for_seeds(SEED_COUNT, |seed| {
        let mut group = Group::new(1, seed);
        let spare = group.add_node();
        group.run(Duration::from_secs(1));
        let voters = group.voters();
        let victim = group.pick(&voters);
        group.stop(victim);
        group.cluster.run(Duration::from_millis(100));
        let end = group.cluster.now + RECOVERY;
        while group.cluster.leader().is_none() {
            assert!(group.cluster.now < end, "nobody leads");
            group.run(STEP);
        }
        assert!(group.voters().contains(&spare) && !group.voters().contains(&victim));
        assert!(group.is_complete());
    });
}

#[test]
fn a_planned_stop_without_a_spare_changes_no_member() {
    for_seeds(SEED_COUNT, |seed| {
        let mut group = Group::new(1, seed);
        let voters = group.voters();
        let victim = group.pick(&voters);
        let began_at = group.cluster.now;
        group.stop(victim);
        assert_eq!(group.cluster.now.since(began_at), STOP_TIME);
        group.run(Duration::from_secs(1));
        group.cluster.start(victim);
        group.run_until_complete();
        assert_eq!(group.voters(), voters);
    });
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

#[test]
fn the_silence_of_a_voter_counts_through_a_change_of_leader() {
    for_seeds(SEED_COUNT, |seed| {
        let mut group = Group::new(1, seed);
        group.add_node();
        group.run(Duration::from_secs(1));
        let leader = group.cluster.leader().unwrap();
        let others = group.voters().into_iter().filter(|id| *id != leader);
        let others = others.collect();
        let dead = group.pick(&others);
        group.cluster.crash(dead);
        group.run(Duration::from_millis(1_500));
        group.cluster.hand_over(leader);
        group.run(Duration::from_millis(1_500));
        let voters = group.voters();
        assert!(!voters.contains(&dead), "{dead} is still one of {voters:?}");
    });
}

#[test]
fn a_group_whose_nodes_all_restart_at_once_keeps_its_voters_and_accepts_commands() {
    for_seeds(SEED_COUNT, |seed| {
        let mut group = Group::new(1, seed);
        group.add_node();
        group.run(Duration::from_secs(1));
        let ids = group.cluster.ids();
        ids.iter().for_each(|id| group.cluster.crash(*id));
        for id in ids {
            let away = group.random_span(300);
            group.cluster.run(away);
            group.cluster.start(id);
        }
        group.run_until_complete();
        assert_eq!(group.voters(), (1..=3).map(NodeId).collect());
    });
}

#[test]
fn a_learner_that_is_gone_keeps_no_other_node_out() {
    for_seeds(SEED_COUNT, |seed| {
        let mut group = Group::new(1, seed);
        let first = group.add_node();
        group.run(Duration::from_secs(1));
        let leader = group.cluster.leader().unwrap();
        let disk = group.cluster.nodes[&first].disk;
        group.cluster.crash(first);
        let change = Change::Add { node: first, disk };
        assert!(group.cluster.change(change));
        group.run(Duration::from_secs(1));
        let others = group.voters().into_iter().filter(|id| *id != leader);
        let others = others.collect();
        let victim = group.pick(&others);
        let second = match group.rng.bool() {
            true => {
                group.cluster.crash(victim);
                Some(group.add_node())
            }
            false => {
                group.lose_disk(victim);
                group.cluster.start(victim);
                None
            }
        };
        group.run_until_complete();
        let voters = group.voters();
        assert!(second.is_none_or(|second| voters.contains(&second)));
    });
}

#[test]
fn a_voter_that_was_away_and_replaced_is_a_spare_again() {
    for_seeds(SEED_COUNT, |seed| {
        let mut group = Group::new(1, seed);
        group.add_node();
        group.run(Duration::from_secs(1));
        // Each of the nodes in turn, so the second needs the first.
        for _ in 0..4 {
            let voters = group.voters();
            let victim = group.pick(&voters);
            let span = Duration::from_secs(2) + group.random_span(5_000);
            let trouble = group.random_trouble();
            group.begin(trouble, victim, span);
            group.run(span);
            group.end(trouble, victim);
            group.run_until_complete();
            group.run(CATCH_UP);
        }
        let voters = group.voters();
        let dead = group.pick(&voters);
        group.cluster.crash(dead);
        group.run_until_complete();
        assert!(!group.voters().contains(&dead));
        let dead = group.pick(&group.voters());
        group.lose_disk(dead);
        group.cluster.start(dead);
        group.run_until_complete();
    });
}

#[test]
fn at_no_moment_does_a_voter_on_the_way_out_cost_the_group_more_than_one_loss() {
    for_seeds(SEED_COUNT, |seed| {
        let mut group = Group::new(1, seed);
        group.add_node();
        group.run(Duration::from_secs(1));
        let voters = group.voters();
        let frozen = group.pick(&voters);
        group.cluster.freeze(frozen, Clock::Runs);
        let at = Duration::from_millis(group.rng.u64(1_500..2_500));
        group.run(at);
        group.cluster.unfreeze(frozen);
        group.run(CATCH_UP);
        let running: BTreeSet<NodeId> = group.cluster.ids().into_iter().collect();
        let emptied = group.pick(&running);
        group.lose_disk(emptied);
        let away = group.random_span(3_000);
        group.run(away);
        group.cluster.start(emptied);
        let end = group.cluster.now + RECOVERY;
        while group.voters().len() < 3 || group.cluster.leader().is_none() {
            assert!(group.cluster.now < end, "the group is gone");
            group.run(STEP);
        }
        group.cluster.commit_one(Duration::from_secs(5));
    });
}

/// Guards against a successor that waits for its own next hello, and then for the leader to send
/// again what it had sent too early: two thirds of a second of the time that an exchange has.
#[test]
fn a_spare_that_has_waited_long_votes_at_once_when_it_is_added() {
    for_seeds(SEED_COUNT, |seed| {
        let mut group = Group::new(1, seed);
        let spare = group.add_node();
        let wait = Duration::from_secs(6) + group.random_span(1_000);
        group.run(wait);
        let disk = group.cluster.nodes[&spare].disk;
        assert!(group.cluster.change(Change::Add { node: spare, disk }));
        group.cluster.run(Duration::from_millis(100));
        assert_eq!(group.cluster.standing(spare), Some(Standing::Voter));
    });
}

#[test]
fn the_silence_before_a_replacement_leaves_time_for_the_exchange() {
    let rows = [(0, 1_500), (3, 1_500), (4, 2_000), (5, 3_000), (20, 4_000)];
    for (catch_up_secs, silence_ms) in rows {
        let catch_up = Duration::from_secs(catch_up_secs);
        let policy = MembershipPolicy::tolerating_losses(1).with_catch_up(catch_up);
        let silence = Duration::from_millis(silence_ms);
        assert_eq!(policy.replace_after, silence, "{catch_up:?}");
    }
}

/// Guards against a stopping voter that takes a pause of the leader for the lack of a spare node,
/// and ends while its replacement is under way.
#[test]
fn a_planned_stop_goes_on_waiting_while_the_leader_is_lost_for_a_moment() {
    for_seeds(SEED_COUNT, |seed| {
        let mut group = Group::new(1, seed);
        let spare = group.add_node();
        group.run(Duration::from_secs(1));
        let voters = group.voters();
        let victim = group.pick(&voters);
        assert_eq!(group.ask_for_release(victim), Release::Pending);
        let begun = group.random_span(60);
        group.run(begun);
        let cut = group.cluster.leader().unwrap_or(victim);
        let ids = group.cluster.ids();
        group.cluster.network.isolate(cut, &ids);
        let healed_at = group.cluster.now + Duration::from_millis(group.rng.u64(600..1_500));
        group.stop_through_cut(victim, healed_at);
        assert!(!group.voters().contains(&victim));
        let left = BTreeSet::from_iter(voters.iter().copied().filter(|id| *id != victim));
        let emptied = group.pick(&left);
        group.lose_disk(emptied);
        group.run(Duration::from_secs(1));
        group.cluster.start(emptied);
        group.run_until_complete();
        assert!(group.voters().contains(&spare));
    });
}
