//! Whether answers may have ended before their bodies.

use forward::Framing;

// Callers got a 200 with an empty body that was framed as whole.
#[test]
fn only_an_empty_answer_without_a_length_may_lack_its_body() {
    for status in [200, 204, 304, 404, 500] {
        for body_len in [0, 1, 1_000] {
            assert!(!Framing::Framed.may_lack_body(status, body_len));
            let may_lack = Framing::UntilClose.may_lack_body(status, body_len);
            assert_eq!(may_lack, body_len == 0 && ![204, 304].contains(&status));
        }
    }
}
