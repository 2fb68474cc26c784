//! What the heads of answers are taken for: whose they are, and what they promise.

use base::Incarnation;
use forward::AnswerDoubt;
use forward::AnswerHead;
use forward::AnswerMeaning;
use forward::AnsweredRequest;
use forward::IdUse;
use forward::RefusalProtocol;
use forward::SentIds;
use forward::TargetId;

/// All heads that differ in what they are judged by.
fn all_heads() -> Vec<AnswerHead> {
    let statuses = [
        200, 204, 206, 302, 307, 400, 401, 404, 408, 409, 412, 421, 429, 500, 502, 503, 504,
    ];
    let requests = [
        AnsweredRequest::Same,
        AnsweredRequest::Other,
        AnsweredRequest::Unnamed,
    ];
    let mut heads = Vec::new();
    for status in statuses {
        for request in requests {
            for id_use in [IdUse::First, IdUse::Again] {
                for bits in 0..16 {
                    heads.push(AnswerHead {
                        protocol: match bits & 8 {
                            0 => RefusalProtocol::Statuses,
                            _ => RefusalProtocol::Marks,
                        },
                        status,
                        request,
                        id_use,
                        says_not_run: bits & 1 != 0,
                        is_signed: bits & 2 != 0,
                        is_encoded: bits & 4 != 0,
                    });
                }
            }
        }
    }
    heads
}

// Callers were told "not run, try again" of requests that had run.
#[test]
fn a_refusal_is_believed_only_if_it_names_the_request_and_can_be_no_earlier_one() {
    for head in all_heads() {
        let is_misdirected = head.protocol == RefusalProtocol::Statuses && head.status == 421;
        let refuses = head.says_not_run || is_misdirected;
        let is_certain = head.request == AnsweredRequest::Same && head.id_use == IdUse::First;
        let is_believed = head.meaning() == AnswerMeaning::NotRun;
        assert_eq!(is_believed, refuses && is_certain, "{head:?}");
    }
}

// A status that promises "not run" is never passed on, unless the promise is certain.
#[test]
fn an_answer_is_passed_on_only_if_it_names_the_request_and_promises_nothing() {
    for head in all_heads() {
        if head.meaning() == AnswerMeaning::Answer {
            assert_ne!(head.request, AnsweredRequest::Other, "{head:?}");
            assert!(!head.says_not_run, "{head:?}");
            if head.protocol == RefusalProtocol::Statuses {
                assert_eq!(head.request, AnsweredRequest::Same, "{head:?}");
                assert!(![408, 421, 429, 503].contains(&head.status), "{head:?}");
            }
            let is_success = (200..300).contains(&head.status);
            assert!(
                !head.is_encoded && (head.is_signed || !is_success),
                "{head:?}"
            );
        }
    }
}

#[test]
fn a_sound_answer_is_passed_on_whatever_its_status() {
    for status in [200, 206, 302, 400, 404, 409, 500, 504] {
        for id_use in [IdUse::First, IdUse::Again] {
            let head = AnswerHead {
                protocol: RefusalProtocol::Statuses,
                status,
                request: AnsweredRequest::Same,
                id_use,
                says_not_run: false,
                is_signed: true,
                is_encoded: false,
            };
            assert_eq!(head.meaning(), AnswerMeaning::Answer, "{head:?}");
        }
    }
}

#[test]
fn an_answer_names_the_request_only_if_both_have_the_same_id() {
    for (sent, named, request) in [
        (Some("a"), Some("a"), AnsweredRequest::Same),
        (Some("a"), Some("b"), AnsweredRequest::Other),
        (None, Some("b"), AnsweredRequest::Other),
        (Some("a"), None, AnsweredRequest::Unnamed),
        (None, None, AnsweredRequest::Unnamed),
    ] {
        assert_eq!(AnsweredRequest::of(sent, named), request);
    }
    let doubt = AnswerDoubt::Unnamed.text();
    assert_eq!(doubt, "an answer that names no request");
}

fn target(name: &str, incarnation: u64) -> TargetId {
    (name.parse().unwrap(), Incarnation(incarnation))
}

#[test]
fn an_id_counts_as_sent_to_one_incarnation_of_one_process() {
    let mut sent_ids = SentIds::default();
    sent_ids.record(&target("a", 1), b"x");
    sent_ids.record(&target("a", 1), b"x");
    for (target, id, id_use) in [
        (target("a", 1), "x", IdUse::Again),
        (target("a", 1), "y", IdUse::First),
        (target("a", 2), "x", IdUse::First),
        (target("b", 1), "x", IdUse::First),
    ] {
        assert_eq!(sent_ids.next_use(&target, id.as_bytes()), id_use);
    }
}

#[test]
fn the_ids_of_many_requests_are_remembered_and_no_more() {
    let mut sent_ids = SentIds::default();
    let target = target("a", 1);
    for id in 0..40_000_u32 {
        sent_ids.record(&target, &id.to_be_bytes());
    }
    let again = |id: u32| sent_ids.next_use(&target, &id.to_be_bytes()) == IdUse::Again;
    let known = (0..40_000).filter(|id| again(*id)).count();
    assert_eq!(known, 16 * 1024);
    assert!(again(39_999) && !again(0));
}
