//! Single steps of an attempt, in virtual time.

use std::sync::Arc;
use std::time::Duration;

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
use state::Digest;
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

fn stored() -> Arc<StoredAnswer> {
    Arc::new(StoredAnswer::new(201, "text/plain", *b"cut and dyed"))
}

/// Opens a call and brings it to where it was granted.
fn granted(table: &mut AttemptTable, call: Call) -> u64 {
    let (sequence, steps) = table.open_attempt(call, at(0)).unwrap();
    assert!(matches!(steps[..], [Action::Propose(Op::Claim(_))]));
    let steps = table.handle_event(
        sequence,
        Event::Reply(Reply::Claim(ClaimReply::Granted)),
        at(10),
    );
    assert_eq!(steps, [Action::Connect]);
    sequence
}

/// Opens a call and brings it to where it was written.
fn written(table: &mut AttemptTable, call: Call) -> u64 {
    let sequence = granted(table, call);
    assert_eq!(
        table.handle_event(sequence, Event::Connected, at(20)),
        [Action::WriteRequest]
    );
    sequence
}

fn refused(ran: Ran, sent: Sent, refusal: Refusal) -> Action {
    let content = AnswerContent::Refused(refusal);
    Action::Answer(Answer { ran, sent, content })
}

fn ran(content: AnswerContent) -> Action {
    let (ran, sent) = (Ran::Run, Sent::Yes);
    Action::Answer(Answer { ran, sent, content })
}

/// The operations that steps propose.
fn proposed(steps: &[Action]) -> Vec<&Op> {
    let ops = steps.iter().filter_map(|step| match step {
        Action::Propose(op) => Some(op),
        _ => None,
    });
    ops.collect()
}

#[test]
fn a_node_that_wakes_with_an_old_claim_withdraws_it() {
    for millis in [2_000, 2_001, 60_000] {
        let mut table = attempt_table();
        let sequence = granted(&mut table, order());
        let steps = table.handle_event(sequence, Event::Connected, at(millis));
        assert!(!steps.contains(&Action::WriteRequest), "{millis}");
        assert!(
            matches!(proposed(&steps)[..], [Op::Withdraw(_)]),
            "{millis}"
        );

        let mut table = attempt_table();
        let (sequence, _) = table.open_attempt(order(), at(0)).unwrap();
        let grant = Event::Reply(Reply::Claim(ClaimReply::Granted));
        let steps = table.handle_event(sequence, grant, at(millis));
        assert!(
            matches!(proposed(&steps)[..], [Op::Withdraw(_)]),
            "{millis}"
        );
        let free = Event::Reply(Reply::Withdraw(KeyStatus::Free));
        let steps = table.handle_event(sequence, free, at(millis));
        let refusal = refused(Ran::NotRun, Sent::No, Refusal::TooLate);
        assert_eq!(steps, [refusal, Action::Close]);
    }
}

#[test]
fn not_run_is_told_only_on_the_ledgers_word() {
    let mut table = attempt_table();
    let sequence = granted(&mut table, order());
    for _ in 0..2 {
        assert_eq!(
            table.handle_event(sequence, Event::ConnectFailed, at(30)),
            [Action::Connect]
        );
    }
    let steps = table.handle_event(sequence, Event::ConnectFailed, at(40));
    assert!(matches!(steps[..], [Action::Propose(Op::Withdraw(_))]));
    let since = LogTime(5);
    let unknown = Event::Reply(Reply::Withdraw(KeyStatus::Unknown { since }));
    let steps = table.handle_event(sequence, unknown, at(50));
    let refusal = Refusal::OutcomeUnknown { since };
    assert_eq!(steps[0], refused(Ran::Unknown, Sent::No, refusal));
}

#[test]
fn a_node_that_is_cut_off_tells_what_it_knows() {
    let cases = [
        (OtherCalls::Possible, Ran::Unknown),
        (OtherCalls::Excluded, Ran::NotRun),
    ];
    for (others, expected) in cases {
        let mut table = attempt_table();
        assert_eq!(
            keyed(OutcomeQuery::Unsupported, others)
                .kind
                .ran_if_unsent(),
            expected
        );
        table
            .open_attempt(keyed(OutcomeQuery::Unsupported, others), at(0))
            .unwrap();
        let mut told = Vec::new();
        for millis in (0..40_000).step_by(100) {
            for (_, step) in table.tick(at(millis)) {
                assert!(!matches!(step, Action::Connect | Action::WriteRequest));
                if let Action::Answer(answer) = step {
                    told.push((millis, answer));
                }
            }
        }
        let [(millis, answer)] = &told[..] else {
            panic!("{told:?}");
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
    let sequence = written(&mut table, order());
    let steps = table.handle_event(sequence, Event::Tick, at(10_000));
    let unknown = refused(Ran::Unknown, Sent::Yes, Refusal::AnswerLost);
    assert!(steps.contains(&unknown));
    let recorded = Event::Reply(Reply::Record(RecordReply::Unknown));
    assert!(
        table
            .handle_event(sequence, recorded, at(10_010))
            .is_empty()
    );
    let steps = table.handle_event(sequence, Event::Answered(stored()), at(30_000));
    let [Action::Propose(Op::Record(record))] = &steps[..] else {
        panic!("{steps:?}");
    };
    assert_eq!(record.outcome, Outcome::Done(stored()));
    let done = Event::Reply(Reply::Record(RecordReply::Done));
    assert_eq!(
        table.handle_event(sequence, done, at(30_010)),
        [Action::Close]
    );
}

#[test]
fn an_answer_waits_for_its_record_but_not_for_long() {
    let mut table = attempt_table();
    let sequence = written(&mut table, order());
    let steps = table.handle_event(sequence, Event::Answered(stored()), at(100));
    assert!(matches!(steps[..], [Action::Propose(Op::Record(_))]));
    assert!(
        !table
            .tick(at(500))
            .iter()
            .any(|(_, s)| matches!(s, Action::Answer(_)))
    );
    let steps: Vec<_> = table.tick(at(600)).into_iter().map(|(_, s)| s).collect();
    assert!(
        steps.contains(&ran(AnswerContent::Fresh(stored()))),
        "{steps:?}"
    );
    // It goes on being recorded.
    let steps = table.tick(at(5_000));
    assert!(matches!(steps[..], [(_, Action::Propose(Op::Record(_)))]));
}

#[test]
fn a_service_that_can_be_asked_is_asked_before_unknown_is_told() {
    let mut table = attempt_table();
    let sequence = written(
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
    let asked = Event::OutcomeQueried(QueryReply::Ran(stored()));
    let steps = table.handle_event(sequence, asked, at(570));
    assert!(matches!(proposed(&steps)[..], [Op::Record(_)]));

    // So it is for a key that became unknown at another node.
    let (sequence, _) = table
        .open_attempt(keyed(OutcomeQuery::Supported, OtherCalls::Possible), at(0))
        .unwrap();
    let since = LogTime(1);
    let unknown = Event::Reply(Reply::Claim(ClaimReply::Unknown { since }));
    assert_eq!(
        table.handle_event(sequence, unknown, at(10)),
        [Action::QueryOutcome]
    );
    let asked = Event::OutcomeQueried(QueryReply::Ran(stored()));
    let steps = table.handle_event(sequence, asked, at(20));
    assert!(matches!(proposed(&steps)[..], [Op::Learn(_)]));
    let (ran, sent) = (Ran::Run, Sent::No);
    let content = AnswerContent::Stored(stored());
    assert_eq!(steps[1], Action::Answer(Answer { ran, sent, content }));
}

#[test]
fn a_caller_that_leaves_before_its_order_is_sent_has_it_withdrawn() {
    let mut table = attempt_table();
    let sequence = granted(&mut table, order());
    let steps = table.handle_event(sequence, Event::CallerGone, at(15));
    assert!(matches!(proposed(&steps)[..], [Op::Withdraw(_)]));
    assert!(
        table
            .handle_event(sequence, Event::Connected, at(16))
            .is_empty()
    );
    let sequence = written(&mut table, order());
    assert!(
        table
            .handle_event(sequence, Event::CallerGone, at(30))
            .is_empty()
    );
    let steps = table.handle_event(sequence, Event::Answered(stored()), at(40));
    assert!(matches!(proposed(&steps)[..], [Op::Record(_)]));
}

#[test]
fn only_idempotent_calls_are_sent_again() {
    let mut table = attempt_table();
    let (sequence, steps) = table
        .open_attempt(call(CallKind::Idempotent), at(0))
        .unwrap();
    assert_eq!(steps, [Action::Connect]);
    table.handle_event(sequence, Event::Connected, at(1));
    assert_eq!(
        table.handle_event(sequence, Event::ConnectionLost, at(2)),
        [Action::Connect]
    );
    table.handle_event(sequence, Event::Connected, at(3));
    let steps = table.handle_event(sequence, Event::Answered(stored()), at(4));
    assert_eq!(steps, [ran(AnswerContent::Fresh(stored())), Action::Close]);

    let (sequence, _) = table.open_attempt(call(CallKind::Keyless), at(0)).unwrap();
    table.handle_event(sequence, Event::Connected, at(1));
    let steps = table.handle_event(sequence, Event::ConnectionLost, at(2));
    let refusal = refused(Ran::Unknown, Sent::Yes, Refusal::AnswerLost);
    assert_eq!(steps, [refusal, Action::Close]);
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
    let seen = |table: &mut AttemptTable, now: Time| match &table
        .open_attempt(order(), now)
        .unwrap()
        .1[..]
    {
        [Action::Propose(Op::Claim(claim))] => claim.seen,
        steps => panic!("{steps:?}"),
    };
    let mut table = attempt_table();
    table.note_applied_index(7, at(0));
    assert_eq!(seen(&mut table, at(0)), 0);
    for millis in (0..2_000).step_by(100) {
        table.tick(at(millis));
    }
    assert_eq!(seen(&mut table, at(2_000)), 7);
    // What it hears on waking came after the calls that waited meanwhile.
    table.note_applied_index(8, at(22_000));
    assert_eq!(seen(&mut table, at(22_000)), 7);
    // After a long stop it cannot tell how old a call is.
    assert_eq!(
        table.open_attempt(order(), at(90_000)),
        Err(OpenError::AfterPause)
    );
    for millis in (90_000..92_000).step_by(100) {
        table.tick(at(millis));
    }
    assert_eq!(seen(&mut table, at(92_000)), 8);
}
