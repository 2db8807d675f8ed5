//! A hash function that gives the same result on every scheduler, for choices that all schedulers must make alike.

/// Hashes two numbers to a pseudorandom one, with the finalizer of SplitMix64.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = (a.rotate_left(32) ^ b).wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
