//! What requests are known by.

use base::OrgName;
use base::RequestContent;
use base::RequestDigest;
use base::RequestPart;

const CONTENT: RequestContent<'static> = RequestContent {
    organisation: None,
    method: "POST",
    host: "a.example",
    path: "/order/7?n=1",
    body: b"200 lanterns",
};

#[test]
fn a_digest_tells_requests_apart_by_all_that_it_covers() {
    let organisation: OrgName = "stall".parse().unwrap();
    let others = [
        RequestContent {
            organisation: Some(&organisation),
            ..CONTENT
        },
        RequestContent {
            method: "GET",
            ..CONTENT
        },
        RequestContent {
            host: "b.example",
            ..CONTENT
        },
        RequestContent {
            path: "/order/7?n=",
            body: b"1200 lanterns",
            ..CONTENT
        },
        RequestContent {
            body: b"201 lanterns",
            ..CONTENT
        },
    ];
    let digest = RequestDigest::of(&CONTENT);
    assert_eq!(RequestDigest::of(&CONTENT), digest);
    for other in &others {
        assert_ne!(RequestDigest::of(other), digest, "{other:?}");
    }
}

#[test]
fn parts_read_back_from_their_text() {
    let whole = RequestPart::Whole(RequestDigest::of(&CONTENT));
    let prompt = RequestPart::Prompt("5afe".parse().unwrap());
    for part in [whole, prompt] {
        assert_eq!(part.to_string().parse(), Ok(part));
    }
    for text in [
        "",
        "request:",
        "request:12",
        "request:+123456789012345678901234567890a",
    ] {
        assert!(text.parse::<RequestPart>().is_err(), "{text}");
    }
}
