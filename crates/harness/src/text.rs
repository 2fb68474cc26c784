//! The completions of simulated engines.

/// The text that a simulated engine generates for a prompt, with `tokens` tokens.
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    let digest = prompt.bytes().fold(17_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    let word = |index: u32| digest.wrapping_add(index.wrapping_mul(2_654_435_761)) % 1000;
    (0..tokens)
        .map(|index| format!(" w{index}.{}", word(index)))
        .collect()
}
