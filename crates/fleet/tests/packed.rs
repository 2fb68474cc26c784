//! Texts that travel between processes.

use quickcheck::quickcheck;

use fleet::Packed;
use fleet::UNPACKED_BYTES;
use fleet::Unpackable;

quickcheck! {
    fn a_text_comes_back_as_it_was(text: String) -> bool {
        Packed::of(&text).open() == Ok(text)
    }
}

#[test]
fn many_routes_travel_in_a_quarter_of_their_length() {
    let route = |n: u32| {
        let name = n.wrapping_mul(2_654_435_761);
        format!(
            "{{\"Host\":\"a.example\",\"Prefix\":\"/{name:x}/\",\"Timeout\":{}}},",
            n % 7
        )
    };
    let text: String = (0..2_000).map(route).collect();
    let packed = Packed::of(&text);
    assert!(
        packed.len() * 4 < text.len(),
        "{} of {}",
        packed.len(),
        text.len()
    );
}

#[test]
fn what_is_damaged_or_too_long_is_refused() {
    let open = |json: &str| serde_json::from_str::<Packed>(json).unwrap().open();
    assert_eq!(open("\"%\""), Err(Unpackable::Letters));
    assert_eq!(open("\"////\""), Err(Unpackable::Damaged));
    let long = "a".repeat(UNPACKED_BYTES + 1);
    assert_eq!(Packed::of(&long).open(), Err(Unpackable::TooLong));
    let longest = "a".repeat(UNPACKED_BYTES);
    assert_eq!(Packed::of(&longest).open(), Ok(longest));
}
