//! Single steps of an attempt, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use base::Incarnation;
use base::NodeId;
use base::Ran;
use base::Time;
use order::Answer;
use order::Ask;
use order::AskReply;
use order::Book;
use order::Call;
use order::Content;
use order::Event;
use order::Key;
use order::Kind;
use order::NotTaken;
use order::Others;
use order::Refusal;
use order::Sent;
use order::Step;
use state::ClaimReply;
use state::Digest;
use state::Millis;
use state::Op;
use state::Outcome;
use state::RecordReply;
use state::Reply;
use state::Standing;
use state::StoredAnswer;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn book() -> Book {
    Book::open_at(at(0), NodeId(1), Incarnation(1), 100)
}

fn call(kind: Kind) -> Call {
    Call {
        service: "orders".parse().unwrap(),
        kind,
        deadline: Duration::from_secs(10),
    }
}

fn keyed(ask: Ask, others: Others) -> Call {
    call(Kind::Keyed(Key {
        org: "lantern".parse().unwrap(),
        key: "batch-1".parse().unwrap(),
        body: Digest::of(&[b"200 lanterns"]),
        ask,
        others,
        retention: Duration::from_secs(86_400),
    }))
}

fn order() -> Call {
    keyed(Ask::Never, Others::Possible)
}

fn stored() -> Arc<StoredAnswer> {
    Arc::new(StoredAnswer::new(201, "text/plain", *b"cut and dyed"))
}

/// Opens a call and brings it to where it was granted.
fn granted(book: &mut Book, call: Call) -> u64 {
    let (sequence, steps) = book.open(call, at(0)).unwrap();
    assert!(matches!(steps[..], [Step::Propose(Op::Claim(_))]));
    let steps = book.on(
        sequence,
        Event::Reply(Reply::Claim(ClaimReply::Granted)),
        at(10),
    );
    assert_eq!(steps, [Step::Connect]);
    sequence
}

/// Opens a call and brings it to where it was written.
fn written(book: &mut Book, call: Call) -> u64 {
    let sequence = granted(book, call);
    assert_eq!(book.on(sequence, Event::Connected, at(20)), [Step::Write]);
    sequence
}

fn refused(ran: Ran, sent: Sent, refusal: Refusal) -> Step {
    let content = Content::Refused(refusal);
    Step::Answer(Answer { ran, sent, content })
}

fn ran(content: Content) -> Step {
    let (ran, sent) = (Ran::Run, Sent::Yes);
    Step::Answer(Answer { ran, sent, content })
}

/// The operations that steps propose.
fn proposed(steps: &[Step]) -> Vec<&Op> {
    let ops = steps.iter().filter_map(|step| match step {
        Step::Propose(op) => Some(op),
        _ => None,
    });
    ops.collect()
}

#[test]
fn a_node_that_wakes_with_an_old_claim_withdraws_it() {
    for millis in [2_000, 2_001, 60_000] {
        let mut book = book();
        let sequence = granted(&mut book, order());
        let steps = book.on(sequence, Event::Connected, at(millis));
        assert!(!steps.contains(&Step::Write), "{millis}");
        assert!(
            matches!(proposed(&steps)[..], [Op::Withdraw(_)]),
            "{millis}"
        );

        let mut book = self::book();
        let (sequence, _) = book.open(order(), at(0)).unwrap();
        let grant = Event::Reply(Reply::Claim(ClaimReply::Granted));
        let steps = book.on(sequence, grant, at(millis));
        assert!(
            matches!(proposed(&steps)[..], [Op::Withdraw(_)]),
            "{millis}"
        );
        let free = Event::Reply(Reply::Withdraw(Standing::Free));
        let steps = book.on(sequence, free, at(millis));
        let refusal = refused(Ran::NotRun, Sent::No, Refusal::TooLate);
        assert_eq!(steps, [refusal, Step::Close]);
    }
}

#[test]
fn not_run_is_told_only_on_the_ledgers_word() {
    let mut book = book();
    let sequence = granted(&mut book, order());
    for _ in 0..2 {
        assert_eq!(
            book.on(sequence, Event::ConnectFailed, at(30)),
            [Step::Connect]
        );
    }
    let steps = book.on(sequence, Event::ConnectFailed, at(40));
    assert!(matches!(steps[..], [Step::Propose(Op::Withdraw(_))]));
    let since = Millis(5);
    let unknown = Event::Reply(Reply::Withdraw(Standing::Unknown { since }));
    let steps = book.on(sequence, unknown, at(50));
    let refusal = Refusal::OutcomeUnknown { since };
    assert_eq!(steps[0], refused(Ran::Unknown, Sent::No, refusal));
}

#[test]
fn a_node_that_is_cut_off_tells_what_it_knows() {
    let cases = [
        (Others::Possible, Ran::Unknown),
        (Others::Excluded, Ran::NotRun),
    ];
    for (others, expected) in cases {
        let mut book = book();
        assert_eq!(keyed(Ask::Never, others).kind.ran_if_unsent(), expected);
        book.open(keyed(Ask::Never, others), at(0)).unwrap();
        let mut told = Vec::new();
        for millis in (0..40_000).step_by(100) {
            for (_, step) in book.tick(at(millis)) {
                assert!(!matches!(step, Step::Connect | Step::Write));
                if let Step::Answer(answer) = step {
                    told.push((millis, answer));
                }
            }
        }
        let [(millis, answer)] = &told[..] else {
            panic!("{told:?}");
        };
        assert!(*millis <= 4_000, "{millis}");
        assert_eq!((answer.ran, answer.sent), (expected, Sent::No));
        assert_eq!(answer.content, Content::Refused(Refusal::NoQuorum));
        assert_eq!(book.open_attempts(), 0);
    }
}

#[test]
fn an_answer_that_comes_after_unknown_was_told_is_recorded() {
    let mut book = book();
    let sequence = written(&mut book, order());
    let steps = book.on(sequence, Event::Tick, at(10_000));
    let unknown = refused(Ran::Unknown, Sent::Yes, Refusal::AnswerLost);
    assert!(steps.contains(&unknown));
    let recorded = Event::Reply(Reply::Record(RecordReply::Unknown));
    assert!(book.on(sequence, recorded, at(10_010)).is_empty());
    let steps = book.on(sequence, Event::Answered(stored()), at(30_000));
    let [Step::Propose(Op::Record(record))] = &steps[..] else {
        panic!("{steps:?}");
    };
    assert_eq!(record.outcome, Outcome::Done(stored()));
    let done = Event::Reply(Reply::Record(RecordReply::Done));
    assert_eq!(book.on(sequence, done, at(30_010)), [Step::Close]);
}

#[test]
fn an_answer_waits_for_its_record_but_not_for_long() {
    let mut book = book();
    let sequence = written(&mut book, order());
    let steps = book.on(sequence, Event::Answered(stored()), at(100));
    assert!(matches!(steps[..], [Step::Propose(Op::Record(_))]));
    assert!(
        !book
            .tick(at(500))
            .iter()
            .any(|(_, s)| matches!(s, Step::Answer(_)))
    );
    let steps: Vec<_> = book.tick(at(600)).into_iter().map(|(_, s)| s).collect();
    assert!(steps.contains(&ran(Content::Fresh(stored()))), "{steps:?}");
    // It goes on being recorded.
    let steps = book.tick(at(5_000));
    assert!(matches!(steps[..], [(_, Step::Propose(Op::Record(_)))]));
}

#[test]
fn a_service_that_can_be_asked_is_asked_before_unknown_is_told() {
    let mut book = book();
    let sequence = written(&mut book, keyed(Ask::Allowed, Others::Possible));
    assert_eq!(book.on(sequence, Event::Lost, at(50)), [Step::Ask]);
    let not_known = Event::Asked(AskReply::NotKnown);
    assert!(book.on(sequence, not_known, at(60)).is_empty());
    assert_eq!(book.on(sequence, Event::Tick, at(560)), [Step::Ask]);
    let asked = Event::Asked(AskReply::Ran(stored()));
    let steps = book.on(sequence, asked, at(570));
    assert!(matches!(proposed(&steps)[..], [Op::Record(_)]));

    // So it is for a key that became unknown at another node.
    let (sequence, _) = book
        .open(keyed(Ask::Allowed, Others::Possible), at(0))
        .unwrap();
    let since = Millis(1);
    let unknown = Event::Reply(Reply::Claim(ClaimReply::Unknown { since }));
    assert_eq!(book.on(sequence, unknown, at(10)), [Step::Ask]);
    let asked = Event::Asked(AskReply::Ran(stored()));
    let steps = book.on(sequence, asked, at(20));
    assert!(matches!(proposed(&steps)[..], [Op::Learn(_)]));
    let (ran, sent) = (Ran::Run, Sent::No);
    let content = Content::Stored(stored());
    assert_eq!(steps[1], Step::Answer(Answer { ran, sent, content }));
}

#[test]
fn a_caller_that_leaves_before_its_order_is_sent_has_it_withdrawn() {
    let mut book = book();
    let sequence = granted(&mut book, order());
    let steps = book.on(sequence, Event::CallerGone, at(15));
    assert!(matches!(proposed(&steps)[..], [Op::Withdraw(_)]));
    assert!(book.on(sequence, Event::Connected, at(16)).is_empty());
    let sequence = written(&mut book, order());
    assert!(book.on(sequence, Event::CallerGone, at(30)).is_empty());
    let steps = book.on(sequence, Event::Answered(stored()), at(40));
    assert!(matches!(proposed(&steps)[..], [Op::Record(_)]));
}

#[test]
fn only_idempotent_calls_are_sent_again() {
    let mut book = book();
    let (sequence, steps) = book.open(call(Kind::Repeatable), at(0)).unwrap();
    assert_eq!(steps, [Step::Connect]);
    book.on(sequence, Event::Connected, at(1));
    assert_eq!(book.on(sequence, Event::Lost, at(2)), [Step::Connect]);
    book.on(sequence, Event::Connected, at(3));
    let steps = book.on(sequence, Event::Answered(stored()), at(4));
    assert_eq!(steps, [ran(Content::Fresh(stored())), Step::Close]);

    let (sequence, _) = book.open(call(Kind::Keyless), at(0)).unwrap();
    book.on(sequence, Event::Connected, at(1));
    let steps = book.on(sequence, Event::Lost, at(2));
    let refusal = refused(Ran::Unknown, Sent::Yes, Refusal::AnswerLost);
    assert_eq!(steps, [refusal, Step::Close]);
}

#[test]
fn a_node_that_just_started_takes_calls_unless_it_was_stopped_since() {
    let start = at(500_000);
    let mut book = Book::open_at(start, NodeId(1), Incarnation(2), 100);
    assert!(book.open(order(), at(500_100)).is_ok());
    let mut book = Book::open_at(start, NodeId(1), Incarnation(2), 100);
    assert_eq!(book.open(order(), at(600_000)), Err(NotTaken::JustWoke));
}

#[test]
fn a_node_vouches_only_for_what_it_heard_before_a_call_came_in() {
    let seen = |book: &mut Book, now: Time| match &book.open(order(), now).unwrap().1[..] {
        [Step::Propose(Op::Claim(claim))] => claim.seen,
        steps => panic!("{steps:?}"),
    };
    let mut book = book();
    book.hear(7, at(0));
    assert_eq!(seen(&mut book, at(0)), 0);
    for millis in (0..2_000).step_by(100) {
        book.tick(at(millis));
    }
    assert_eq!(seen(&mut book, at(2_000)), 7);
    // What it hears on waking came after the calls that waited meanwhile.
    book.hear(8, at(22_000));
    assert_eq!(seen(&mut book, at(22_000)), 7);
    // After a long stop it cannot tell how old a call is.
    assert_eq!(book.open(order(), at(90_000)), Err(NotTaken::JustWoke));
    for millis in (90_000..92_000).step_by(100) {
        book.tick(at(millis));
    }
    assert_eq!(seen(&mut book, at(92_000)), 8);
}
