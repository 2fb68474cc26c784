//! Attempts event by event, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use base::Digest;
use base::Incarnation;
use base::NodeId;
use base::Ran;
use base::Time;
use order::Action;
use order::Answer;
use order::AnswerContent;
use order::AttemptTable;
use order::Call;
use order::CallKind;
use order::Event;
use order::KeyTerms;
use order::OpenError;
use order::OtherCalls;
use order::OutcomeQuery;
use order::QueryReply;
use order::Refusal;
use order::Sent;
use state::ClaimReply;
use state::KeyStatus;
use state::LogTime;
use state::Op;
use state::Outcome;
use state::RecordReply;
use state::Reply;
use state::StoredAnswer;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn attempt_table() -> AttemptTable {
    AttemptTable::new(at(0), NodeId(1), Incarnation(1), 100)
}

fn call(kind: CallKind) -> Call {
    Call {
        service: "orders".parse().unwrap(),
        kind,
        deadline: Duration::from_secs(10),
    }
}

fn keyed(outcome_query: OutcomeQuery, other_calls: OtherCalls) -> Call {
    call(CallKind::Keyed(KeyTerms {
        org: "lantern".parse().unwrap(),
        key: "batch-1".parse().unwrap(),
        body_digest: Digest::of(&[b"200 lanterns"]),
        outcome_query,
        other_calls,
        retention: Duration::from_secs(86_400),
    }))
}

fn order() -> Call {
    keyed(OutcomeQuery::Unsupported, OtherCalls::Possible)
}

fn stored_answer() -> Arc<StoredAnswer> {
    Arc::new(StoredAnswer::new(201, "text/plain", *b"cut and dyed"))
}

/// Opens a call whose claim is granted.
fn open_granted(table: &mut AttemptTable, call: Call) -> u64 {
    let (sequence, actions) = table.open_attempt(call, at(0)).unwrap();
    assert!(matches!(actions[..], [Action::Propose(Op::Claim(_))]));
    let actions = table.handle_event(
        sequence,
        Event::Reply(Reply::Claim(ClaimReply::Granted)),
        at(10),
    );
    assert_eq!(actions, [Action::Connect]);
    sequence
}

/// Opens a call whose request is written to the service.
fn open_written(table: &mut AttemptTable, call: Call) -> u64 {
    let sequence = open_granted(table, call);
    assert_eq!(
        table.handle_event(sequence, Event::Connected, at(20)),
        [Action::WriteRequest]
    );
    sequence
}

fn refusal_action(ran: Ran, sent: Sent, refusal: Refusal) -> Action {
    let content = AnswerContent::Refused(refusal);
    Action::Answer(Answer { ran, sent, content })
}

fn answer_action(content: AnswerContent) -> Action {
    let (ran, sent) = (Ran::Run, Sent::Yes);
    Action::Answer(Answer { ran, sent, content })
}

/// The operations that the actions propose.
fn proposed_ops(actions: &[Action]) -> Vec<&Op> {
    let ops = actions.iter().filter_map(|action| match action {
        Action::Propose(op) => Some(op),
        _ => None,
    });
    ops.collect()
}

#[test]
fn a_node_that_wakes_with_an_old_claim_withdraws_it() {
    for millis in [2_000, 2_001, 60_000] {
        let mut table = attempt_table();
        let sequence = open_granted(&mut table, order());
        let actions = table.handle_event(sequence, Event::Connected, at(millis));
        assert!(!actions.contains(&Action::WriteRequest), "{millis}");
        assert!(
            matches!(proposed_ops(&actions)[..], [Op::Withdraw(_)]),
            "{millis}"
        );

        let mut table = attempt_table();
        let (sequence, _) = table.open_attempt(order(), at(0)).unwrap();
        let grant = Event::Reply(Reply::Claim(ClaimReply::Granted));
        let actions = table.handle_event(sequence, grant, at(millis));
        assert!(
            matches!(proposed_ops(&actions)[..], [Op::Withdraw(_)]),
            "{millis}"
        );
        let reply = Event::Reply(Reply::Withdraw(KeyStatus::Free));
        let actions = table.handle_event(sequence, reply, at(millis));
        let refusal = refusal_action(Ran::NotRun, Sent::No, Refusal::TooLate);
        assert_eq!(actions, [refusal, Action::Close]);
    }
}

#[test]
fn not_run_is_told_only_on_the_ledgers_word() {
    let mut table = attempt_table();
    let sequence = open_granted(&mut table, order());
    for _ in 0..2 {
        assert_eq!(
            table.handle_event(sequence, Event::ConnectFailed, at(30)),
            [Action::Connect]
        );
    }
    let actions = table.handle_event(sequence, Event::ConnectFailed, at(40));
    assert!(matches!(actions[..], [Action::Propose(Op::Withdraw(_))]));
    let since = LogTime(5);
    let unknown = Event::Reply(Reply::Withdraw(KeyStatus::Unknown { since }));
    let actions = table.handle_event(sequence, unknown, at(50));
    let refusal = Refusal::OutcomeUnknown { since };
    assert_eq!(actions[0], refusal_action(Ran::Unknown, Sent::No, refusal));
}

#[test]
fn a_node_that_is_cut_off_tells_what_it_knows() {
    let cases = [
        (OtherCalls::Possible, Ran::Unknown),
        (OtherCalls::Excluded, Ran::NotRun),
    ];
    for (other_calls, expected) in cases {
        let mut table = attempt_table();
        assert_eq!(
            keyed(OutcomeQuery::Unsupported, other_calls)
                .kind
                .ran_if_unsent(),
            expected
        );
        table
            .open_attempt(keyed(OutcomeQuery::Unsupported, other_calls), at(0))
            .unwrap();
        let mut answers = Vec::new();
        for millis in (0..40_000).step_by(100) {
            for (_, action) in table.tick(at(millis)) {
                assert!(!matches!(action, Action::Connect | Action::WriteRequest));
                if let Action::Answer(answer) = action {
                    answers.push((millis, answer));
                }
            }
        }
        let [(millis, answer)] = &answers[..] else {
            panic!("{answers:?}");
        };
        assert!(*millis <= 4_000, "{millis}");
        assert_eq!((answer.ran, answer.sent), (expected, Sent::No));
        assert_eq!(answer.content, AnswerContent::Refused(Refusal::NoQuorum));
        assert_eq!(table.open_attempts(), 0);
    }
}

#[test]
fn an_answer_that_comes_after_unknown_was_told_is_recorded() {
    let mut table = attempt_table();
    let sequence = open_written(&mut table, order());
    let actions = table.handle_event(sequence, Event::Tick, at(10_000));
    let unknown = refusal_action(Ran::Unknown, Sent::Yes, Refusal::AnswerLost);
    assert!(actions.contains(&unknown));
    let recorded = Event::Reply(Reply::Record(RecordReply::Unknown));
    assert!(
        table
            .handle_event(sequence, recorded, at(10_010))
            .is_empty()
    );
    let actions = table.handle_event(sequence, Event::Answered(stored_answer()), at(30_000));
    let [Action::Propose(Op::Record(record))] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(record.outcome, Outcome::Done(stored_answer()));
    let done = Event::Reply(Reply::Record(RecordReply::Done));
    assert_eq!(
        table.handle_event(sequence, done, at(30_010)),
        [Action::Close]
    );
}

#[test]
fn an_answer_waits_for_its_record_but_not_for_long() {
    let mut table = attempt_table();
    let sequence = open_written(&mut table, order());
    let actions = table.handle_event(sequence, Event::Answered(stored_answer()), at(100));
    assert!(matches!(actions[..], [Action::Propose(Op::Record(_))]));
    assert!(
        !table
            .tick(at(500))
            .iter()
            .any(|(_, action)| matches!(action, Action::Answer(_)))
    );
    let actions: Vec<_> = table
        .tick(at(600))
        .into_iter()
        .map(|(_, action)| action)
        .collect();
    assert!(
        actions.contains(&answer_action(AnswerContent::Fresh(stored_answer()))),
        "{actions:?}"
    );
    // The record is still proposed after the caller was answered.
    let actions = table.tick(at(5_000));
    assert!(matches!(actions[..], [(_, Action::Propose(Op::Record(_)))]));
}

#[test]
fn a_service_that_can_be_asked_is_asked_before_unknown_is_told() {
    let mut table = attempt_table();
    let sequence = open_written(
        &mut table,
        keyed(OutcomeQuery::Supported, OtherCalls::Possible),
    );
    assert_eq!(
        table.handle_event(sequence, Event::ConnectionLost, at(50)),
        [Action::QueryOutcome]
    );
    let not_known = Event::OutcomeQueried(QueryReply::NotKnown);
    assert!(table.handle_event(sequence, not_known, at(60)).is_empty());
    assert_eq!(
        table.handle_event(sequence, Event::Tick, at(560)),
        [Action::QueryOutcome]
    );
    let asked = Event::OutcomeQueried(QueryReply::Ran(stored_answer()));
    let actions = table.handle_event(sequence, asked, at(570));
    assert!(matches!(proposed_ops(&actions)[..], [Op::Record(_)]));

    // The same holds for a key whose call at another node has an unknown outcome.
    let (sequence, _) = table
        .open_attempt(keyed(OutcomeQuery::Supported, OtherCalls::Possible), at(0))
        .unwrap();
    let since = LogTime(1);
    let unknown = Event::Reply(Reply::Claim(ClaimReply::Unknown { since }));
    assert_eq!(
        table.handle_event(sequence, unknown, at(10)),
        [Action::QueryOutcome]
    );
    let asked = Event::OutcomeQueried(QueryReply::Ran(stored_answer()));
    let actions = table.handle_event(sequence, asked, at(20));
    assert!(matches!(proposed_ops(&actions)[..], [Op::Learn(_)]));
    let (ran, sent) = (Ran::Run, Sent::No);
    let content = AnswerContent::Stored(stored_answer());
    assert_eq!(actions[1], Action::Answer(Answer { ran, sent, content }));
}

#[test]
fn a_caller_that_leaves_before_its_order_is_sent_has_it_withdrawn() {
    let mut table = attempt_table();
    let sequence = open_granted(&mut table, order());
    let actions = table.handle_event(sequence, Event::CallerGone, at(15));
    assert!(matches!(proposed_ops(&actions)[..], [Op::Withdraw(_)]));
    assert!(
        table
            .handle_event(sequence, Event::Connected, at(16))
            .is_empty()
    );
    let sequence = open_written(&mut table, order());
    assert!(
        table
            .handle_event(sequence, Event::CallerGone, at(30))
            .is_empty()
    );
    let actions = table.handle_event(sequence, Event::Answered(stored_answer()), at(40));
    assert!(matches!(proposed_ops(&actions)[..], [Op::Record(_)]));
}

#[test]
fn only_idempotent_calls_are_sent_again() {
    let mut table = attempt_table();
    let (sequence, actions) = table
        .open_attempt(call(CallKind::Idempotent), at(0))
        .unwrap();
    assert_eq!(actions, [Action::Connect]);
    table.handle_event(sequence, Event::Connected, at(1));
    assert_eq!(
        table.handle_event(sequence, Event::ConnectionLost, at(2)),
        [Action::Connect]
    );
    table.handle_event(sequence, Event::Connected, at(3));
    let actions = table.handle_event(sequence, Event::Answered(stored_answer()), at(4));
    assert_eq!(
        actions,
        [
            answer_action(AnswerContent::Fresh(stored_answer())),
            Action::Close
        ]
    );

    let (sequence, _) = table.open_attempt(call(CallKind::Keyless), at(0)).unwrap();
    table.handle_event(sequence, Event::Connected, at(1));
    let actions = table.handle_event(sequence, Event::ConnectionLost, at(2));
    let refusal = refusal_action(Ran::Unknown, Sent::Yes, Refusal::AnswerLost);
    assert_eq!(actions, [refusal, Action::Close]);
}

#[test]
fn a_node_that_just_started_takes_calls_unless_it_was_stopped_since() {
    let start = at(500_000);
    let mut table = AttemptTable::new(start, NodeId(1), Incarnation(2), 100);
    assert!(table.open_attempt(order(), at(500_100)).is_ok());
    let mut table = AttemptTable::new(start, NodeId(1), Incarnation(2), 100);
    assert_eq!(
        table.open_attempt(order(), at(600_000)),
        Err(OpenError::AfterPause)
    );
}

#[test]
fn a_node_vouches_only_for_what_it_heard_before_a_call_came_in() {
    let seen_index = |table: &mut AttemptTable, now: Time| match &table
        .open_attempt(order(), now)
        .unwrap()
        .1[..]
    {
        [Action::Propose(Op::Claim(claim))] => claim.seen,
        actions => panic!("{actions:?}"),
    };
    let mut table = attempt_table();
    table.note_applied_index(7, at(0));
    assert_eq!(seen_index(&mut table, at(0)), 0);
    for millis in (0..2_000).step_by(100) {
        table.tick(at(millis));
    }
    assert_eq!(seen_index(&mut table, at(2_000)), 7);
    // An index noted right after a pause may be newer than the calls that waited.
    table.note_applied_index(8, at(22_000));
    assert_eq!(seen_index(&mut table, at(22_000)), 7);
    // After a long pause the node cannot tell how old a call is.
    assert_eq!(
        table.open_attempt(order(), at(90_000)),
        Err(OpenError::AfterPause)
    );
    for millis in (90_000..92_000).step_by(100) {
        table.tick(at(millis));
    }
    assert_eq!(seen_index(&mut table, at(92_000)), 8);
}
