//! What the engines' stand-ins answer.

/// The text that an answer to a prompt has, token by token.
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    let digest = prompt.bytes().fold(17_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    let word = |at: u32| digest.wrapping_add(at.wrapping_mul(2_654_435_761)) % 1000;
    (0..tokens)
        .map(|at| format!(" w{at}.{}", word(at)))
        .collect()
}
