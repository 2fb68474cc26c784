//! What a control host reports of the upstreams that announce themselves to it reaches every
//! leader, and an old state never passes for a new one.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::QuickCheck;

use base::Fence;
use base::Incarnation;
use base::NodeId;
use base::Time;
use base::UpstreamId;
use fleet::Announcement;
use fleet::DeparturesHeld;
use fleet::EngineReport;
use fleet::Heartbeat;
use fleet::HeartbeatOutcome;
use fleet::LeaderReports;
use fleet::Place;
use fleet::PlaceState;
use fleet::ReportBatch;
use fleet::Roster;
use fleet::RosterChange;

const FIRST: NodeId = NodeId(1);
const SECOND: NodeId = NodeId(2);

/// The announcement of a host that is in no replica (epoch 0) or serves one.
fn announcement(sequence: u64, epoch: u64) -> Announcement {
    let place = Place {
        replica: format!("r{epoch}").parse().unwrap(),
        epoch: Fence(epoch),
        rank: 0,
        state: PlaceState::Open,
    };
    Announcement {
        id: id(),
        incarnation: Incarnation(1),
        sequence,
        service: "chat".parse().unwrap(),
        addr: ([127, 0, 0, 1], 1).into(),
        centre: "c".parse().unwrap(),
        slots: 6,
        leaving: false,
        cold_left: Duration::ZERO,
        engine: Some(EngineReport {
            domain: None,
            staged: Vec::new(),
            place: (0 < epoch).then_some(place),
        }),
    }
}

fn id() -> UpstreamId {
    "h".parse().unwrap()
}

fn ms(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn epoch_of(roster: &Roster) -> Option<u64> {
    let entry = roster.get(&id())?;
    Some(entry.announcement.place().map_or(0, |place| place.epoch.0))
}

/// A control host that doesn't lead.
#[derive(Default)]
struct Sender {
    roster: Roster,
    reports: LeaderReports,
}

impl Sender {
    fn hear(&mut self, announcement: &Announcement, now: Time) {
        let outcome = self.roster.record_announcement(announcement.clone(), now);
        self.reports.record_announcement(announcement, outcome, now);
    }

    fn hear_departure(&mut self, now: Time) {
        self.roster.record_departure(&id(), Incarnation(1), now);
        self.reports.record_departure(&id(), Incarnation(1), now);
    }

    /// Sends what is due, and returns what it was.
    fn send(&mut self, leader: NodeId, roster: &mut Roster, now: Time) -> ReportBatch {
        let batch = self.reports.next_batch(leader, now);
        let lacking = apply(&batch, roster, now);
        self.reports
            .record_taken(&batch, &lacking, DeparturesHeld::ByEnough);
        batch
    }
}

/// Applies a batch as a leader does, and returns the processes whose state it lacks.
fn apply(batch: &ReportBatch, roster: &mut Roster, now: Time) -> Vec<UpstreamId> {
    for (change, heard_at) in batch.changes_heard(now) {
        roster.apply_change(change.clone(), heard_at);
    }
    let lacking = |heartbeat: &&Heartbeat| {
        roster.record_heartbeat(heartbeat, now) == HeartbeatOutcome::Lacking
    };
    let lacking = batch.heartbeats.iter().filter(lacking);
    lacking.map(|heartbeat| heartbeat.id.clone()).collect()
}

#[test]
fn a_heartbeat_does_not_make_an_older_state_look_fresh() {
    let mut sender = Sender::default();
    let mut leader = Roster::default();
    sender.hear(&announcement(1, 0), ms(0));
    sender.send(FIRST, &mut leader, ms(0));
    let older = leader.clone();
    sender.hear(&announcement(2, 7), ms(1_000));
    sender.send(FIRST, &mut leader, ms(1_000));
    leader = older;
    sender.hear(&announcement(3, 7), ms(2_000));
    sender.send(FIRST, &mut leader, ms(2_000));
    let entry = leader.get(&id()).unwrap();
    assert_eq!((entry.heard_at, epoch_of(&leader)), (ms(0), Some(0)));
    sender.send(FIRST, &mut leader, ms(2_010));
    assert_eq!(epoch_of(&leader), Some(7));
}

#[test]
fn a_leader_that_started_again_need_not_wait_for_a_change() {
    let mut sender = Sender::default();
    sender.hear(&announcement(1, 7), ms(0));
    sender.send(FIRST, &mut Roster::default(), ms(0));
    let mut restarted = Roster::default();
    sender.hear(&announcement(2, 7), ms(1_000));
    sender.send(FIRST, &mut restarted, ms(1_000));
    sender.send(FIRST, &mut restarted, ms(1_010));
    assert_eq!(epoch_of(&restarted), Some(7));
}

#[test]
fn a_heartbeat_of_an_older_release_counts_for_no_state() {
    let mut roster = Roster::default();
    roster.record_announcement(announcement(1, 0), ms(0));
    let text = r#"{"id":"h","life":1,"sequence":2}"#;
    let heartbeat: Heartbeat = serde_json::from_str(text).unwrap();
    roster.record_heartbeat(&heartbeat, ms(1_000));
    let entry = roster.get(&id()).unwrap();
    assert_eq!((entry.heard_at, entry.announcement.sequence), (ms(0), 1));
}

#[test]
fn a_process_whose_state_is_lacking_is_not_forgotten_while_it_is_alive() {
    let mut roster = Roster::default();
    roster.record_announcement(announcement(1, 0), ms(0));
    let text = r#"{"id":"h","life":1,"sequence":2}"#;
    let heartbeat: Heartbeat = serde_json::from_str(text).unwrap();
    roster.record_heartbeat(&heartbeat, ms(59_000));
    roster.remove_silent(ms(61_000));
    assert!(roster.get(&id()).is_some());
}

#[test]
fn a_state_that_only_the_former_leader_took_reaches_the_next_one() {
    let mut sender = Sender::default();
    let mut next = Roster::default();
    next.record_announcement(announcement(1, 0), ms(0));
    sender.hear(&announcement(2, 7), ms(1_000));
    sender.send(FIRST, &mut Roster::default(), ms(1_000));
    sender.send(SECOND, &mut next, ms(1_500));
    assert_eq!(epoch_of(&next), Some(7));
}

#[test]
fn a_departure_that_only_the_former_leader_took_reaches_the_next_one() {
    let mut sender = Sender::default();
    let mut next = Roster::default();
    next.record_announcement(announcement(1, 7), ms(0));
    sender.hear(&announcement(1, 7), ms(0));
    sender.hear_departure(ms(1_000));
    sender.send(FIRST, &mut Roster::default(), ms(1_000));
    sender.send(SECOND, &mut next, ms(1_500));
    assert!(next.get(&id()).is_none());
}

#[test]
fn a_state_heard_during_a_call_is_sent_after_it() {
    let mut sender = Sender::default();
    let mut leader = Roster::default();
    sender.hear(&announcement(1, 0), ms(0));
    let batch = sender.reports.next_batch(FIRST, ms(0));
    sender.hear(&announcement(2, 7), ms(10));
    let lacking = apply(&batch, &mut leader, ms(20));
    sender
        .reports
        .record_taken(&batch, &lacking, DeparturesHeld::ByEnough);
    sender.send(FIRST, &mut leader, ms(30));
    assert_eq!(epoch_of(&leader), Some(7));
}

#[test]
fn a_departure_of_an_earlier_life_does_not_hide_the_later_one() {
    let mut sender = Sender::default();
    let mut leader = Roster::default();
    sender.hear(&announcement(1, 7), ms(0));
    sender.hear_departure(ms(1_000));
    let mut returned = announcement(1, 8);
    returned.incarnation = Incarnation(2);
    sender.hear(&returned, ms(2_000));
    sender.send(FIRST, &mut leader, ms(2_000));
    assert_eq!(epoch_of(&leader), Some(8));
}

#[test]
fn an_announcement_that_is_sent_late_counts_from_when_it_was_heard() {
    let mut sender = Sender::default();
    let mut leader = Roster::default();
    sender.hear(&announcement(1, 0), ms(0));
    sender.send(FIRST, &mut leader, ms(5_000));
    assert_eq!(leader.get(&id()).unwrap().heard_at, ms(0));
}

#[test]
fn an_unchanged_state_costs_heartbeats_only() {
    let mut sender = Sender::default();
    let mut leader = Roster::default();
    let mut changes = 0;
    for round in 1..100 {
        sender.hear(&announcement(round, 7), ms(round * 1_000));
        changes += sender
            .send(FIRST, &mut leader, ms(round * 1_000))
            .changes
            .len();
        changes += sender
            .send(FIRST, &mut leader, ms(round * 1_000 + 250))
            .changes
            .len();
    }
    assert_eq!(changes, 1);
    assert_eq!(leader.get(&id()).unwrap().heard_at, ms(99_000));
}

#[test]
fn an_upstream_that_departed_elsewhere_does_not_come_back_with_a_new_leader() {
    let mut sender = Sender::default();
    sender.hear(&announcement(1, 7), ms(0));
    sender.send(FIRST, &mut Roster::default(), ms(0));
    sender.reports.record_heard_elsewhere(&id());
    let mut next = Roster::default();
    sender.send(SECOND, &mut next, ms(2_000));
    assert_eq!(epoch_of(&next), None);
}

#[test]
fn an_upstream_that_was_silent_for_long_is_not_reported_to_a_new_leader() {
    let mut sender = Sender::default();
    sender.hear(&announcement(1, 7), ms(0));
    sender.send(FIRST, &mut Roster::default(), ms(0));
    let mut next = Roster::default();
    sender.send(SECOND, &mut next, ms(61_000));
    assert_eq!(epoch_of(&next), None);
}

/// A host that announces itself to one of two control hosts, which report it to one of two
/// others, through lost calls, lost replies and restarts.
#[derive(Default)]
struct World {
    senders: [Sender; 2],
    leaders: [Roster; 2],
    sequence: u64,
    epoch: u64,
    /// The epoch and the time of each announcement.
    announced: BTreeMap<u64, (u64, Time)>,
    now: Time,
}

impl World {
    fn announce(&mut self, sender: usize) {
        self.sequence += 1;
        self.announced.insert(self.sequence, (self.epoch, self.now));
        let announcement = announcement(self.sequence, self.epoch);
        self.senders[sender].hear(&announcement, self.now);
    }

    fn step(&mut self, choice: u8) {
        self.now += Duration::from_millis(100);
        let sender = &mut self.senders[usize::from(choice / 16 % 2)];
        let index = usize::from(choice / 32 % 2);
        let leader = &mut self.leaders[index];
        let node = [FIRST, SECOND][index];
        match choice % 16 {
            0 => self.leaders[index] = Roster::default(),
            1 => self.senders[usize::from(choice / 16 % 2)] = Sender::default(),
            2 => drop(sender.reports.next_batch(node, self.now)),
            3 => drop(apply(
                &sender.reports.next_batch(node, self.now),
                leader,
                self.now,
            )),
            4 | 5 => self.epoch = u64::from(choice / 64),
            6..=10 => self.announce(usize::from(choice / 16 % 2)),
            _ => drop(sender.send(node, leader, self.now)),
        }
    }

    /// Whether a leader holds a state that the host did not have, or one as heard too late.
    fn is_deceived(&self, leader: &Roster) -> bool {
        let Some(entry) = leader.get(&id()) else {
            return false;
        };
        let (epoch, announced_at) = self.announced[&entry.announcement.sequence];
        epoch_of(leader) != Some(epoch) || announced_at < entry.heard_at
    }

    /// Whether the leader holds the present state after the host announced it and it was sent.
    fn learns(&mut self) -> bool {
        self.announce(0);
        for _ in 0..3 {
            self.senders[0].send(FIRST, &mut self.leaders[0], self.now);
        }
        epoch_of(&self.leaders[0]) == Some(self.epoch)
    }
}

#[test]
fn no_schedule_of_losses_and_restarts_deceives_a_leader() {
    fn holds(choices: Vec<u8>) -> bool {
        let mut world = World::default();
        let is_deceived = choices.into_iter().any(|choice| {
            world.step(choice);
            world.leaders.iter().any(|leader| world.is_deceived(leader))
        });
        !is_deceived && world.learns()
    }
    QuickCheck::new()
        .tests(3_000)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn more_changes_than_one_call_carries_are_all_sent() {
    let mut sender = Sender::default();
    let mut leader = Roster::default();
    for index in 0..1_200_u16 {
        let mut announcement = announcement(1, 7);
        announcement.id = format!("h{index}").parse().unwrap();
        announcement.addr.set_port(1 + index);
        sender.hear(&announcement, ms(0));
    }
    let mut calls = 0;
    while sender.reports.has_unsent_changes() {
        sender.send(FIRST, &mut leader, ms(0));
        calls += 1;
    }
    assert_eq!((calls, leader.present_entries().count()), (3, 1_200));
    let gone = |change: &RosterChange| matches!(change, RosterChange::Gone { .. });
    assert!(
        !sender
            .send(FIRST, &mut leader, ms(0))
            .changes
            .iter()
            .any(gone)
    );
}
