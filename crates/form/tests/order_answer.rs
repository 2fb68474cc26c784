//! What the answers on the connection of an order are taken for.

use form::OrderAnswer;
use form::Outcome;

// A refusal or an acknowledgement that belongs to a caller's request must not end a replica.
#[test]
fn an_answer_that_names_a_request_says_nothing_about_an_order() {
    for status in [200, 202, 400, 409, 412, 421, 429, 500, 503] {
        let answer = OrderAnswer {
            status,
            names_request: true,
        };
        assert_eq!(answer.outcome(), Outcome::Unknown, "{status}");
    }
}

#[test]
fn only_known_statuses_acknowledge_or_refuse_an_order() {
    for (status, outcome) in [
        (200, Outcome::Done),
        (201, Outcome::Unknown),
        (202, Outcome::Begun),
        (204, Outcome::Unknown),
        (307, Outcome::Unknown),
        (400, Outcome::Refused),
        (409, Outcome::Refused),
        (412, Outcome::Refused),
        (421, Outcome::Refused),
        (500, Outcome::Unknown),
        (503, Outcome::Unknown),
    ] {
        let answer = OrderAnswer {
            status,
            names_request: false,
        };
        assert_eq!(answer.outcome(), outcome, "{status}");
    }
}
