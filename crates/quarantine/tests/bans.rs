//! How a ban begins, is tried and ends, with one leader and two entry hosts.

use std::time::Duration;

use base::Incarnation;
use base::NodeId;
use base::RequestPart;
use base::Time;
use base::UpstreamId;
use quarantine::Admission;
use quarantine::LiftReason;
use quarantine::PartGuard;
use quarantine::Quarantine;
use quarantine::QuarantineEvent;

struct Fleet {
    leader: Quarantine,
    entries: [PartGuard; 2],
    now: Time,
    ended: u32,
}

fn parts(ids: &[&str]) -> Vec<RequestPart> {
    ids.iter().map(|id| id.parse().unwrap()).collect()
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self {
            leader: Quarantine::default(),
            entries: [PartGuard::new(NodeId(1)), PartGuard::new(NodeId(2))],
            now: Time::from_millis(1),
            ended: 0,
        };
        fleet.leader.set_term(Some(1), fleet.now);
        fleet.pass(Duration::from_secs(3));
        fleet
    }

    /// Lets time pass, with messages that arrive at once.
    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += Duration::from_millis(500);
            for entry in &mut self.entries {
                self.leader.record(entry.take_evidence(self.now), self.now);
            }
            self.leader.tick(self.now);
            for entry in &mut self.entries {
                entry.apply(self.leader.published().clone());
            }
        }
    }

    /// Ends a process with a request of an entry host that has these parts.
    fn end_process(&mut self, entry: usize, ids: &[&str]) {
        self.ended += 1;
        let host: UpstreamId = format!("h{}", self.ended).parse().unwrap();
        let sent_at = self.now;
        self.now += Duration::from_millis(200);
        self.entries[entry].record_crash((&host, Incarnation(1)), &parts(ids), sent_at, self.now);
        self.pass(Duration::from_secs(1));
    }

    fn admit(&mut self, entry: usize, ids: &[&str]) -> Admission {
        self.entries[entry].admit(&parts(ids), self.now)
    }
}

fn banned_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    for entry in [0, 1, 0] {
        assert_eq!(fleet.admit(1, &["a", "x"]), Admission::Allowed);
        fleet.end_process(entry, &["a", "x"]);
    }
    fleet
}

#[test]
fn both_entry_hosts_refuse_what_neither_saw_often_enough_alone() {
    let mut fleet = banned_fleet();
    for entry in [0, 1] {
        assert_eq!(fleet.admit(entry, &["a", "x", "y"]), Admission::Banned);
        assert_eq!(fleet.admit(entry, &["a"]), Admission::Allowed);
    }
}

#[test]
fn a_request_with_a_suspected_part_is_not_repeated_until_one_is_answered() {
    let mut fleet = Fleet::new();
    assert!(fleet.entries[1].may_repeat(&parts(&["a"]), fleet.now));
    fleet.end_process(0, &["a"]);
    assert!(!fleet.entries[1].may_repeat(&parts(&["a"]), fleet.now));
    fleet.entries[0].record_sound(&parts(&["a"]), fleet.now);
    fleet.pass(Duration::from_secs(2));
    assert!(fleet.entries[1].may_repeat(&parts(&["a"]), fleet.now));
}

#[test]
fn one_trial_is_given_to_one_entry_host_and_an_answer_lifts_the_ban() {
    let mut fleet = banned_fleet();
    let mut trials = 0;
    for _ in 0..800 {
        let admitted = fleet.admit(1, &["a", "x"]);
        trials += u32::from(admitted == Admission::Trial);
        fleet.pass(Duration::from_secs(1));
        if admitted == Admission::Trial {
            break;
        }
    }
    assert_eq!(trials, 1);
    assert_eq!(fleet.admit(0, &["a", "x"]), Admission::Banned);
    assert_eq!(fleet.admit(1, &["a", "x"]), Admission::Banned);
    fleet.entries[1].record_sound(&parts(&["a", "x"]), fleet.now);
    fleet.pass(Duration::from_secs(2));
    assert_eq!(fleet.admit(0, &["a", "x"]), Admission::Allowed);
}

#[test]
fn trials_that_end_a_replica_are_few_however_long_requests_come() {
    let mut fleet = banned_fleet();
    let mut trials = 0;
    for _ in 0..20_000 {
        if fleet.admit(1, &["a", "x"]) == Admission::Trial {
            trials += 1;
            fleet.end_process(1, &["a", "x"]);
        }
        fleet.pass(Duration::from_secs(1));
    }
    assert!(trials <= 3, "{trials}");
    assert_eq!(fleet.admit(0, &["a", "x"]), Admission::Banned);
}

#[test]
fn a_ban_ends_when_no_request_comes_or_an_operator_lifts_it() {
    let mut fleet = banned_fleet();
    fleet.pass(Duration::from_secs(310));
    assert_eq!(fleet.admit(0, &["a", "x"]), Admission::Allowed);
    let lifted = |fleet: &mut Fleet| match fleet.leader.take_events().pop() {
        Some(QuarantineEvent::Lifted { why, .. }) => why,
        other => panic!("{other:?}"),
    };
    assert_eq!(lifted(&mut fleet), LiftReason::Unused);

    let mut fleet = banned_fleet();
    let ban = fleet.leader.published_bans().next().unwrap().parts.clone();
    assert!(fleet.leader.lift(&ban));
    fleet.pass(Duration::from_secs(5));
    assert_eq!(fleet.admit(0, &["a", "x"]), Admission::Allowed);
    assert_eq!(lifted(&mut fleet), LiftReason::Operator);
}

#[test]
fn parts_that_a_caller_invents_neither_ban_others_nor_fill_the_list() {
    let mut fleet = Fleet::new();
    for index in 0..6_000 {
        let invented = format!("i{index}");
        fleet.entries[0].record_sound(&parts(&["popular", &invented]), fleet.now);
        if index % 100 == 0 {
            // The caller's own requests break, each at another process.
            fleet.end_process(0, &["popular", &invented]);
        }
    }
    assert_eq!(fleet.leader.published_bans().count(), 0);
    assert!(fleet.leader.published().items.len() <= 128);
    assert_eq!(fleet.admit(1, &["popular"]), Admission::Allowed);
}
