//! A stable 64-bit hash of numbers, the same on all nodes.

/// Mixes a number into a hash.
pub(crate) fn mix(hash: u64, value: u64) -> u64 {
    let mut z = (hash ^ value).wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The hash of several numbers in order.
pub(crate) fn hash(values: &[u64]) -> u64 {
    values.iter().fold(0, |hash, value| mix(hash, *value))
}
