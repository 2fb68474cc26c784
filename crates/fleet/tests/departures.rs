//! A departure that was acknowledged takes effect, whichever control hosts are lost right
//! afterwards.

use std::time::Duration;

use quickcheck::QuickCheck;

use base::Incarnation;
use base::NodeId;
use base::Time;
use base::UpstreamId;
use fleet::Announcement;
use fleet::DeparturesHeld;
use fleet::LeaderReports;
use fleet::Revision;
use fleet::RevisionHolders;
use fleet::Roster;
use fleet::RosterChange;
use fleet::UpdateOutcome;
use fleet::required_followers;

const LIFE: Incarnation = Incarnation(1);

fn id() -> UpstreamId {
    "a".parse().unwrap()
}

fn announcement(sequence: u64, leaving: bool) -> Announcement {
    Announcement {
        id: id(),
        incarnation: LIFE,
        sequence,
        service: "orders".parse().unwrap(),
        addr: ([127, 0, 0, 1], 1).into(),
        centre: "c".parse().unwrap(),
        slots: 6,
        leaving,
        cold_left: Duration::ZERO,
        engine: None,
    }
}

fn node(index: usize) -> NodeId {
    NodeId(index as u32)
}

/// A control host.
#[derive(Clone, Default)]
struct Host {
    roster: Roster,
    reports: LeaderReports,
    /// The start of the leader's process that this host follows, and the revision that it holds.
    follows: (u32, Revision),
    /// Which revisions followers hold, while this host leads.
    holders: RevisionHolders,
    /// Which start of the process this is.
    start: u32,
}

/// How an upstream says that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Farewell {
    Departure,
    Leaving,
}

/// Some control hosts, one of which leads, and an upstream.
#[derive(Clone)]
struct World {
    hosts: Vec<Host>,
    leader: usize,
    max_losses: usize,
    sequence: u64,
    starts: u32,
    farewell: Farewell,
    now: Time,
}

impl World {
    fn new(members: usize, max_losses: usize, farewell: Farewell) -> Self {
        let host = |index| Host {
            start: index as u32 + 1,
            ..Host::default()
        };
        Self {
            hosts: (0..members).map(host).collect(),
            leader: 0,
            max_losses,
            sequence: 0,
            starts: members as u32,
            farewell,
            now: Time::ZERO,
        }
    }

    fn announce(&mut self, at: usize, leaving: bool) {
        self.sequence += 1;
        let announcement = announcement(self.sequence, leaving);
        let host = &mut self.hosts[at];
        let outcome = host
            .roster
            .record_announcement(announcement.clone(), self.now);
        host.reports
            .record_announcement(&announcement, outcome, self.now);
    }

    /// The upstream tells a control host that it leaves. Returns whether that one knows it.
    fn say_farewell(&mut self, at: usize) -> bool {
        if self.farewell == Farewell::Leaving {
            self.announce(at, true);
            return true;
        }
        let host = &mut self.hosts[at];
        let Some(life) = host.roster.latest_incarnation(&id()) else {
            return false;
        };
        let outcome = host.roster.record_departure(&id(), life, self.now);
        if outcome == UpdateOutcome::Changed {
            host.reports.record_departure(&id(), life, self.now);
        }
        true
    }

    /// A follower reports to the leader.
    fn report(&mut self, at: usize) {
        if at == self.leader {
            return;
        }
        let leader = self.leader;
        let batch = self.hosts[at].reports.next_batch(node(leader), self.now);
        let mut lacking = Vec::new();
        for change in batch.changes.clone() {
            self.apply(leader, change);
        }
        for heartbeat in &batch.heartbeats {
            let roster = &mut self.hosts[leader].roster;
            let outcome = roster.record_heartbeat(heartbeat, self.now);
            if outcome == fleet::HeartbeatOutcome::Lacking {
                lacking.push(heartbeat.id.clone());
            }
        }
        let host = &self.hosts[leader];
        let required = required_followers(self.max_losses, self.hosts.len());
        let revision = host.roster.revision();
        let held = match host.holders.is_held(revision, Some(node(at)), required) {
            true => DeparturesHeld::ByEnough,
            false => DeparturesHeld::ByTooFew,
        };
        self.hosts[at].reports.record_taken(&batch, &lacking, held);
    }

    fn apply(&mut self, at: usize, change: RosterChange) {
        let host = &mut self.hosts[at];
        if host.roster.apply_change(change, self.now) == UpdateOutcome::Changed {
            host.reports.record_heard_elsewhere(&id());
        }
    }

    /// A follower asks the leader for what is newer.
    fn watch(&mut self, at: usize) {
        if at == self.leader {
            return;
        }
        let leader_start = self.hosts[self.leader].start;
        let (start, revision) = self.hosts[at].follows;
        let held = match start == leader_start {
            true => revision,
            false => Revision::default(),
        };
        self.hosts[self.leader].holders.record(node(at), held);
        if start != leader_start {
            let Host {
                roster, reports, ..
            } = &mut self.hosts[at];
            reports.forget_leader();
            for (change, heard_at) in roster.departures() {
                reports.record_known_departure(change, heard_at);
            }
        }
        let leader = &self.hosts[self.leader].roster;
        let (changes, newest) = (leader.changes_since(held), leader.revision());
        for change in changes {
            self.apply(at, change);
        }
        self.hosts[at].follows = (leader_start, newest);
    }

    /// Whether a control host would acknowledge the departure now.
    fn is_acknowledged(&self, at: usize) -> bool {
        let host = &self.hosts[at];
        if at != self.leader {
            let leader = &self.hosts[self.leader];
            return host.follows.0 == leader.start && host.reports.is_reported(&id());
        }
        let required = required_followers(self.max_losses, self.hosts.len());
        let revision = host.roster.revision_of(&id());
        revision.is_none_or(|revision| host.holders.is_held(revision, None, required))
    }

    /// The hosts in `lost` end and start again with nothing, and another host leads.
    fn lose(&mut self, lost: &[usize], leader: usize) {
        for index in lost {
            self.starts += 1;
            self.hosts[*index] = Host {
                start: self.starts,
                ..Host::default()
            };
        }
        self.leader = leader;
    }

    /// All hosts exchange what they know, after a late announcement of the upstream has come to
    /// each of those that started again.
    fn settle(&mut self, late_at: &[usize]) {
        for index in late_at {
            let late = announcement(0, false);
            let host = &mut self.hosts[*index];
            let outcome = host.roster.record_announcement(late.clone(), self.now);
            host.reports.record_announcement(&late, outcome, self.now);
        }
        for _ in 0..3 {
            self.now += Duration::from_millis(50);
            for index in 0..self.hosts.len() {
                self.watch(index);
                self.report(index);
            }
        }
    }

    fn takes_requests(&self, at: usize) -> bool {
        let entry = self.hosts[at].roster.get(&id());
        entry.is_some_and(|entry| !entry.announcement.leaving)
    }

    /// Whether the departure takes effect everywhere, whichever hosts are lost now.
    fn bears_all_losses(&self) -> bool {
        let members = self.hosts.len();
        let sets =
            (0..1_usize << members).filter(|set| set.count_ones() as usize == self.max_losses);
        sets.into_iter().all(|set| {
            let (lost, left): (Vec<_>, Vec<_>) =
                (0..members).partition(|index| set >> index & 1 == 1);
            left.iter().all(|leader| {
                let mut world = self.clone();
                world.lose(&lost, *leader);
                world.settle(&lost);
                (0..members).all(|index| !world.takes_requests(index))
            })
        })
    }

    fn step(&mut self, choice: u8) {
        self.now += Duration::from_millis(20);
        let at = usize::from(choice / 16) % self.hosts.len();
        match choice % 8 {
            0 | 1 => self.announce(at, false),
            2..=4 => self.report(at),
            _ => self.watch(at),
        }
    }
}

/// Plays a schedule before the upstream leaves, and one after it. Returns whether each
/// acknowledgement holds.
fn holds(world: &World, before: &[u8], told: u8, after: &[u8]) -> bool {
    let mut world = world.clone();
    for choice in before {
        world.step(*choice);
    }
    let told = usize::from(told) % world.hosts.len();
    if !world.say_farewell(told) {
        return true;
    }
    let is_right = |world: &World| !world.is_acknowledged(told) || world.bears_all_losses();
    // Only reports and watch calls follow: the upstream announces itself no more.
    is_right(&world)
        && after.iter().all(|choice| {
            world.step(choice | 2);
            is_right(&world)
        })
}

/// Guards against a departure that is acknowledged by a control host, the leader or another one,
/// and lost with it (rule DRAIN).
#[test]
fn an_acknowledged_departure_outlives_the_hosts_whose_loss_is_to_be_borne() {
    fn check(before: Vec<u8>, told: u8, after: Vec<u8>) -> bool {
        let deployments = [(3, 1), (5, 2), (4, 1)];
        deployments.into_iter().all(|(members, max_losses)| {
            [Farewell::Departure, Farewell::Leaving]
                .into_iter()
                .all(|farewell| {
                    let world = World::new(members, max_losses, farewell);
                    holds(&world, &before, told, &after)
                })
        })
    }
    QuickCheck::new()
        .tests(400)
        .quickcheck(check as fn(Vec<u8>, u8, Vec<u8>) -> bool);
}

/// Guards against departures that nobody acknowledges any more, because more control hosts would
/// have to hold them than are left after the losses that are to be borne.
#[test]
fn the_hosts_that_are_left_after_the_losses_suffice_to_acknowledge() {
    for members in 1..=9_usize {
        for max_losses in 0..=4 {
            let borne = max_losses.min((members - 1) / 2);
            let left = members - borne;
            let holders = required_followers(max_losses, members) + 1;
            assert!(holders <= left, "{holders} of {left}, {members} members");
            assert!(borne < holders, "{holders}, {borne} lost of {members}");
        }
    }
    // The other one of a pair has to know, too, if one may be lost.
    assert_eq!(required_followers(1, 2), 1);
}

/// Each host, told while all hosts are in step, acknowledges after one exchange.
#[test]
fn each_departure_is_acknowledged_after_one_exchange() {
    for (members, max_losses) in [(1, 0), (1, 1), (2, 1), (3, 1), (5, 2), (8, 2)] {
        for farewell in [Farewell::Departure, Farewell::Leaving] {
            for told in 0..members {
                let mut world = World::new(members, max_losses, farewell);
                world.announce(0, false);
                (0..members).for_each(|index| world.watch(index));
                assert!(world.say_farewell(told));
                assert_eq!(world.is_acknowledged(told), members == 1);
                for _ in 0..2 {
                    world.report(told);
                    (0..members).for_each(|index| world.watch(index));
                    (0..members).for_each(|index| world.watch(index));
                }
                assert!(world.is_acknowledged(told), "{members} {told} {farewell:?}");
            }
        }
    }
}
