//! Compression of texts that are sent between processes.

use quickcheck::quickcheck;

use fleet::CompressedText;
use fleet::DecompressError;
use fleet::MAX_TEXT_BYTES;

quickcheck! {
    fn a_text_comes_back_as_it_was(text: String) -> bool {
        CompressedText::compress(&text).decompress() == Ok(text)
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
    let compressed = CompressedText::compress(&text);
    assert!(
        compressed.len() * 4 < text.len(),
        "{} of {}",
        compressed.len(),
        text.len()
    );
}

#[test]
fn what_is_damaged_or_too_long_is_refused() {
    let decompress = |json: &str| {
        serde_json::from_str::<CompressedText>(json)
            .unwrap()
            .decompress()
    };
    assert_eq!(decompress("\"%\""), Err(DecompressError::InvalidBase64));
    assert_eq!(decompress("\"////\""), Err(DecompressError::Corrupt));
    let long = "a".repeat(MAX_TEXT_BYTES + 1);
    assert_eq!(
        CompressedText::compress(&long).decompress(),
        Err(DecompressError::TooLong)
    );
    let longest = "a".repeat(MAX_TEXT_BYTES);
    assert_eq!(CompressedText::compress(&longest).decompress(), Ok(longest));
}
