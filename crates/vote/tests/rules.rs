//! Single rules of the algorithm, each on one voter or a few.

mod fake;

use std::time::Duration;

use crate::fake::Cluster;
use crate::fake::Stored;
use base::DiskId;
use base::NodeId;
use base::Time;
use vote::Ack;
use vote::AckOutcome;
use vote::AckedIndex;
use vote::AppendEntries;
use vote::Batch;
use vote::Blob;
use vote::Body;
use vote::Config;
use vote::Duty;
use vote::Effects;
use vote::ElectionPhase;
use vote::ElectionReason;
use vote::Entry;
use vote::Group;
use vote::GroupId;
use vote::Index;
use vote::InstallSnapshot;
use vote::Member;
use vote::Message;
use vote::Payload;
use vote::Position;
use vote::ProposeError;
use vote::Record;
use vote::RequestVote;
use vote::Restored;
use vote::Role;
use vote::SendStamp;
use vote::Standing;
use vote::Term;
use vote::VoteAnswer;
use vote::VoteReply;
use vote::Voter;

const GROUP: GroupId = GroupId(11);

fn disk(node: u32) -> DiskId {
    DiskId(10 + u64::from(node))
}

fn group(size: u32) -> Group {
    let member = |node| {
        let disk = disk(node);
        let duty = Duty::Voter;
        (NodeId(node), Member { disk, duty })
    };
    let members = (1..=size).map(member).collect();
    Group { id: GROUP, members }
}

fn position(term: u64, index: u64) -> Position {
    Position {
        term: Term(term),
        index: Index(index),
    }
}

fn entry(term: u64, index: u64) -> Entry {
    Entry {
        term: Term(term),
        index: Index(index),
        payload: Payload::Command(Blob::from(vec![term as u8, index as u8])),
    }
}

/// Opens voter 3 of three. Its log has the entry that formed the group, then these.
fn third_voter(entries: &[Entry]) -> Voter {
    let first = Entry {
        payload: Payload::Group(group(3)),
        ..entry(1, 1)
    };
    let mut records = vec![Record::Bound(GROUP), Record::Entry(first)];
    records.extend(entries.iter().cloned().map(Record::Entry));
    let config = Config::new(NodeId(3), disk(3), (1..=3).map(NodeId));
    let restored = Restored {
        snapshot: None,
        records,
    };
    Voter::open(config, restored, Time::ZERO)
}

fn message_from(node: u32, body: Body) -> Message {
    Message {
        disk: disk(node),
        group: Some(GROUP),
        body,
    }
}

fn request_vote(phase: ElectionPhase, term: u64, last: Position) -> Body {
    Body::RequestVote(RequestVote {
        phase,
        reason: ElectionReason::ElectionTimeout,
        term: Term(term),
        last,
        acked: AckedIndex {
            node: NodeId(3),
            disk: disk(3),
            index: Index(0),
        },
    })
}

fn append_entries(term: u64, prev: Position, entries: Vec<Entry>) -> Body {
    Body::Append(AppendEntries {
        silent: Vec::new(),
        term: Term(term),
        stamp: SendStamp::default(),
        prev,
        entries,
        commit: Index(0),
        acked: Vec::new(),
    })
}

fn vote_answers(effects: &Effects) -> Vec<VoteAnswer> {
    let reply = |outgoing: &vote::Outgoing| match outgoing.message.body {
        Body::VoteReply(reply) => Some(reply.answer),
        _ => None,
    };
    effects.sends.iter().filter_map(reply).collect()
}

fn ack_outcomes(effects: &Effects) -> Vec<AckOutcome> {
    let outcome = |outgoing: &vote::Outgoing| match outgoing.message.body {
        Body::Ack(ack) => Some(ack.outcome),
        _ => None,
    };
    effects.sends.iter().filter_map(outcome).collect()
}

fn sync_batch(voter: &mut Voter, batch: Option<Batch>, now: Time) -> Effects {
    voter.mark_synced(batch.unwrap().id, now);
    voter.take_effects()
}

/// Makes a voter win an election.
fn win_election(voter: &mut Voter, term: u64, now: Time) {
    voter.tick(now);
    for phase in [ElectionPhase::PreVote, ElectionPhase::Vote] {
        let reply = Body::VoteReply(VoteReply {
            phase,
            term: Term(term),
            answer: VoteAnswer::Granted,
        });
        voter.receive(NodeId(1), message_from(1, reply), now);
        if phase == ElectionPhase::PreVote {
            let batch = voter.take_effects().batch;
            voter.mark_synced(batch.unwrap().id, now);
        }
    }
    assert_eq!(voter.role(), Role::Leader);
}

/// A lease of 600 ms from before the start has expired by this time, but votes are
/// still withheld until 700 ms.
const AFTER_OLD_LEASE: Time = Time::from_millis(650);

#[test]
fn a_vote_leaves_only_once_it_is_on_disk_and_goes_to_one_candidate() {
    let mut voter = third_voter(&[]);
    let now = Time::from_millis(700);
    voter.receive(
        NodeId(1),
        message_from(1, request_vote(ElectionPhase::Vote, 5, position(1, 1))),
        now,
    );
    let effects = voter.take_effects();
    assert_eq!(vote_answers(&effects), []);
    let effects = sync_batch(&mut voter, effects.batch, now);
    assert_eq!(vote_answers(&effects), [VoteAnswer::Granted]);

    voter.receive(
        NodeId(2),
        message_from(2, request_vote(ElectionPhase::Vote, 5, position(9, 9))),
        now,
    );
    assert_eq!(vote_answers(&voter.take_effects()), [VoteAnswer::Refused]);
}

#[test]
fn no_vote_is_given_while_a_leader_is_heard_or_right_after_a_restart() {
    for phase in [ElectionPhase::PreVote, ElectionPhase::Vote] {
        let mut voter = third_voter(&[]);
        voter.receive(
            NodeId(2),
            message_from(2, request_vote(phase, 5, position(1, 1))),
            AFTER_OLD_LEASE,
        );
        assert_eq!(vote_answers(&voter.take_effects()), [VoteAnswer::Refused]);

        let heard = Time::from_millis(5_000);
        let heartbeat = append_entries(4, position(1, 1), Vec::new());
        voter.receive(NodeId(1), message_from(1, heartbeat), heard);
        let batch = voter.take_effects().batch;
        sync_batch(&mut voter, batch, heard);
        let now = heard + Duration::from_millis(650);
        voter.receive(
            NodeId(2),
            message_from(2, request_vote(phase, 5, position(1, 1))),
            now,
        );
        assert_eq!(vote_answers(&voter.take_effects()), [VoteAnswer::Refused]);
        assert_eq!(voter.status().term, Term(4));
    }
}

#[test]
fn a_candidate_counts_its_own_vote_and_asks_only_once_it_is_on_disk() {
    let mut voter = third_voter(&[]);
    let now = voter.next_deadline();
    voter.tick(now);
    let granted = |phase, term| {
        let term = Term(term);
        let answer = VoteAnswer::Granted;
        Body::VoteReply(VoteReply {
            phase,
            term,
            answer,
        })
    };
    voter.receive(
        NodeId(1),
        message_from(1, granted(ElectionPhase::PreVote, 1)),
        now,
    );
    let effects = voter.take_effects();
    let vote_requests = |effects: &Effects| {
        let is_vote_request = |o: &&vote::Outgoing| matches!(&o.message.body, Body::RequestVote(request) if request.phase == ElectionPhase::Vote);
        effects.sends.iter().filter(is_vote_request).count()
    };
    assert_eq!(vote_requests(&effects), 0);
    voter.receive(
        NodeId(1),
        message_from(1, granted(ElectionPhase::Vote, 1)),
        now,
    );
    assert_eq!(voter.role(), Role::Candidate);
    let effects = sync_batch(&mut voter, effects.batch, now);
    assert_eq!(vote_requests(&effects), 2);
    assert_eq!(voter.role(), Role::Leader);
}

#[test]
fn votes_of_another_disk_do_not_count() {
    let mut voter = third_voter(&[]);
    let now = voter.next_deadline();
    voter.tick(now);
    voter.take_effects();
    let reply = VoteReply {
        phase: ElectionPhase::PreVote,
        term: Term(1),
        answer: VoteAnswer::Granted,
    };
    let mut message = message_from(1, Body::VoteReply(reply));
    message.disk = DiskId(99);
    voter.receive(NodeId(1), message, now);
    assert_eq!(voter.take_effects().batch, None);
}

#[test]
fn entries_are_acknowledged_only_once_they_are_on_disk() {
    let mut voter = third_voter(&[]);
    let entries = vec![entry(4, 2), entry(4, 3)];
    voter.receive(
        NodeId(1),
        message_from(1, append_entries(4, position(1, 1), entries)),
        AFTER_OLD_LEASE,
    );
    let effects = voter.take_effects();
    assert_eq!(ack_outcomes(&effects), []);
    let effects = sync_batch(&mut voter, effects.batch, AFTER_OLD_LEASE);
    assert_eq!(ack_outcomes(&effects), [AckOutcome::Matched(Index(3))]);
}

/// The snapshot's last entry is in the log. The entries after it were acknowledged
/// and must stay.
#[test]
fn a_snapshot_keeps_the_entries_after_it() {
    let mut voter = third_voter(&[entry(4, 2), entry(4, 3), entry(4, 4)]);
    let install = InstallSnapshot {
        term: Term(4),
        stamp: SendStamp::default(),
        last_included: position(4, 3),
        group: group(3),
        total_bytes: 1,
        offset: 0,
        chunk: Blob::from(vec![7]),
    };
    voter.receive(
        NodeId(1),
        message_from(1, Body::Install(install)),
        AFTER_OLD_LEASE,
    );
    let effects = voter.take_effects();
    assert_eq!(effects.install.unwrap().state[..], [7]);
    assert_eq!(voter.status().last, Index(4));
}

/// Entries that were synced and then replaced must not make newer entries at the
/// same indexes count as synced.
#[test]
fn entries_that_were_replaced_do_not_count_as_synced() {
    for first_synced in ["before", "after"] {
        let mut voter = third_voter(&[]);
        let old = append_entries(
            4,
            position(1, 1),
            vec![entry(4, 2), entry(4, 3), entry(4, 4)],
        );
        voter.receive(NodeId(1), message_from(1, old), AFTER_OLD_LEASE);
        let first_batch = voter.take_effects().batch;
        if first_synced == "before" {
            sync_batch(&mut voter, first_batch.clone(), AFTER_OLD_LEASE);
        }
        let new = append_entries(6, position(1, 1), vec![entry(5, 2)]);
        voter.receive(NodeId(2), message_from(2, new), AFTER_OLD_LEASE);
        let second_batch = voter.take_effects().batch;
        if first_synced == "after" {
            sync_batch(&mut voter, first_batch, AFTER_OLD_LEASE);
        }
        sync_batch(&mut voter, second_batch, AFTER_OLD_LEASE);

        let now = voter.next_deadline();
        win_election(&mut voter, 7, now);
        let own_batch = voter.take_effects().batch;
        let ack = Body::Ack(Ack {
            term: Term(7),
            stamp: SendStamp::default(),
            outcome: AckOutcome::Matched(Index(3)),
        });
        voter.receive(NodeId(1), message_from(1, ack), now);
        assert_eq!(voter.take_effects().committed, []);
        assert_eq!(sync_batch(&mut voter, own_batch, now).committed.len(), 3);
    }
}

/// Acks alone do not commit an entry of an earlier term, because another leader may
/// still replace it.
#[test]
fn only_entries_of_the_leaders_term_are_committed_by_counting() {
    let mut voter = third_voter(&[entry(4, 2)]);
    let now = voter.next_deadline();
    win_election(&mut voter, 1, now);
    let own_batch = voter.take_effects().batch;
    sync_batch(&mut voter, own_batch, now);
    for (matched, committed) in [(2, 0), (3, 3)] {
        let ack = Body::Ack(Ack {
            term: Term(1),
            stamp: SendStamp::default(),
            outcome: AckOutcome::Matched(Index(matched)),
        });
        voter.receive(NodeId(1), message_from(1, ack), now);
        assert_eq!(voter.take_effects().committed.len(), committed);
    }
}

#[test]
fn acknowledgements_of_another_disk_do_not_count() {
    let mut voter = third_voter(&[]);
    let now = voter.next_deadline();
    win_election(&mut voter, 1, now);
    let own_batch = voter.take_effects().batch;
    sync_batch(&mut voter, own_batch, now);
    let ack = Ack {
        term: Term(1),
        stamp: SendStamp::default(),
        outcome: AckOutcome::Matched(Index(2)),
    };
    let mut message = message_from(1, Body::Ack(ack));
    message.disk = DiskId(99);
    voter.receive(NodeId(1), message, now);
    assert_eq!(voter.take_effects().committed, []);
}

#[test]
fn a_lease_counts_from_when_the_heartbeat_left() {
    let mut voter = third_voter(&[]);
    let sent = voter.next_deadline();
    win_election(&mut voter, 1, sent);
    let own_batch = voter.take_effects().batch;
    sync_batch(&mut voter, own_batch, sent);
    let now = sent + Duration::from_millis(500);
    assert_eq!(voter.lease(now), None);
    let ack = Body::Ack(Ack {
        term: Term(1),
        stamp: SendStamp { round: 1, sent },
        outcome: AckOutcome::Matched(Index(2)),
    });
    voter.receive(NodeId(1), message_from(1, ack), now);
    let until = sent + Duration::from_millis(600);
    assert_eq!(voter.lease(now).unwrap().until, until);
    assert_eq!(voter.lease(until), None);
}

#[test]
fn a_returning_node_disturbs_nobody() {
    let mut cluster = Cluster::new(3, 2);
    cluster.commit_one(Duration::from_secs(5));
    let leader = cluster.leader().unwrap();
    let term = cluster.term(leader);
    let ids = cluster.ids();
    let isolated = *ids.iter().find(|id| **id != leader).unwrap();
    cluster.network.isolate(isolated, &ids);
    cluster.run(Duration::from_secs(20));
    cluster.network.heal();
    cluster.run(Duration::from_secs(5));
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.term(isolated), term);
}

#[test]
fn a_group_forms_at_once_and_only_when_all_are_there() {
    for size in [1, 3, 5] {
        for seed in 0..50 {
            let mut cluster = Cluster::new(size, seed);
            cluster.commit_one(Duration::from_millis(400));
        }
    }
    let mut cluster = Cluster::new(3, 1);
    cluster.crash(NodeId(3));
    cluster.run(Duration::from_secs(10));
    assert_eq!(cluster.standing(NodeId(1)), Some(Standing::Fresh));
    cluster.start(NodeId(3));
    cluster.commit_one(Duration::from_secs(1));
}

#[test]
fn a_lone_voter_goes_on_after_a_restart() {
    let mut cluster = Cluster::new(1, 3);
    for _ in 0..5 {
        cluster.commit_one(Duration::from_millis(50));
        let last_before_crash = cluster.model.last_index();
        cluster.crash(NodeId(1));
        cluster.start(NodeId(1));
        cluster.run(Duration::from_millis(50));
        assert!(last_before_crash < cluster.node(NodeId(1)).applied);
    }
}

/// The node with the smallest id forms groups. With an empty disk it must not form
/// another one while any other member still has its data.
#[test]
fn a_wiped_disk_forms_no_other_group() {
    let mut cluster = Cluster::new(3, 4);
    cluster.commit_one(Duration::from_secs(5));
    for (id, disk) in [(1, 91), (2, 92)] {
        cluster.replace_disk(NodeId(id), DiskId(disk), Stored::default());
        cluster.start(NodeId(id));
    }
    cluster.run(Duration::from_secs(20));
    assert_eq!(cluster.leader(), None);
    assert_eq!(cluster.standing(NodeId(1)), Some(Standing::Lost));
}

/// A hello that names another disk is outdated and must not count: its sender may
/// have joined another group since.
#[test]
fn a_group_forms_only_with_those_that_have_met_this_disk() {
    let config = Config::new(NodeId(1), disk(1), (1..=2).map(NodeId));
    let mut voter = Voter::open(config, Restored::default(), Time::ZERO);
    let hello = |seen| Message {
        disk: disk(2),
        group: None,
        body: Body::Hello { seen },
    };
    voter.receive(NodeId(2), hello(Some(DiskId(99))), Time::ZERO);
    voter.tick(Time::ZERO);
    assert_eq!(voter.take_effects().batch, None);
    voter.receive(NodeId(2), hello(Some(disk(1))), Time::ZERO);
    assert!(voter.take_effects().batch.is_some());
}

#[test]
fn a_leader_that_stops_hands_over_without_a_pause() {
    for seed in 0..50 {
        let mut cluster = Cluster::new(3, seed);
        cluster.commit_one(Duration::from_secs(5));
        let leader = cluster.leader().unwrap();
        cluster.run(Duration::from_millis(200));
        cluster.hand_over(leader);
        cluster.crash(leader);
        cluster.commit_one(Duration::from_millis(60));
        assert_ne!(cluster.leader(), Some(leader));
    }
}

/// A handover counts in the next term only, because later there may be another
/// leader.
#[test]
fn an_old_hand_over_counts_for_nothing() {
    for (term, answer) in [(5, VoteAnswer::Granted), (6, VoteAnswer::Refused)] {
        let mut voter = third_voter(&[]);
        let heartbeat = append_entries(4, position(1, 1), Vec::new());
        voter.receive(NodeId(1), message_from(1, heartbeat), AFTER_OLD_LEASE);
        let batch = voter.take_effects().batch;
        sync_batch(&mut voter, batch, AFTER_OLD_LEASE);
        let Body::RequestVote(mut request) =
            request_vote(ElectionPhase::Vote, term, position(1, 1))
        else {
            unreachable!()
        };
        request.reason = ElectionReason::HandOver;
        voter.receive(
            NodeId(2),
            message_from(2, Body::RequestVote(request)),
            AFTER_OLD_LEASE,
        );
        let effects = voter.take_effects();
        let effects = match effects.batch {
            Some(batch) => sync_batch(&mut voter, Some(batch), AFTER_OLD_LEASE),
            None => effects,
        };
        assert_eq!(vote_answers(&effects), [answer]);
    }
}

#[test]
fn a_voter_with_a_stuck_disk_hands_over() {
    let mut cluster = Cluster::new(3, 5);
    cluster.commit_one(Duration::from_secs(5));
    let leader = cluster.leader().unwrap();
    cluster.node(leader).disk_stuck_until = cluster.now + Duration::from_secs(60);
    cluster.propose(leader);
    cluster.run(Duration::from_secs(5));
    assert_ne!(cluster.leader(), Some(leader));
    cluster.commit_one(Duration::from_secs(1));
}

#[test]
fn commands_are_bounded() {
    let mut cluster = Cluster::new(1, 6);
    cluster.commit_one(Duration::from_secs(1));
    let now = cluster.now;
    let node = cluster.node(NodeId(1));
    let local_now = node.local_time(now);
    let voter = node.voter.as_mut().unwrap();
    let large = vec![0; (4 << 20) + 1];
    let error = voter.propose(large, local_now).unwrap_err();
    assert!(matches!(error, ProposeError::TooLarge { .. }));
    let taken = (0..100).take_while(|_| voter.propose(vec![0; 1 << 20], local_now).is_ok());
    assert!(taken.count() < 20);
}

#[test]
fn messages_and_records_survive_both_formats() {
    let message = message_from(1, append_entries(4, position(1, 1), vec![entry(4, 2)]));
    let json = serde_json::to_string(&message).unwrap();
    assert_eq!(serde_json::from_str::<Message>(&json).unwrap(), message);
    let bytes = postcard::to_stdvec(&message).unwrap();
    assert_eq!(postcard::from_bytes::<Message>(&bytes).unwrap(), message);
    let record = Record::Entry(Entry {
        payload: Payload::Group(group(3)),
        ..entry(1, 1)
    });
    let bytes = postcard::to_stdvec(&record).unwrap();
    assert_eq!(postcard::from_bytes::<Record>(&bytes).unwrap(), record);
    let json = serde_json::to_string(&record).unwrap();
    assert_eq!(serde_json::from_str::<Record>(&json).unwrap(), record);
}
