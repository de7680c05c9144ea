//! A hash that is the same in every process and version: FNV-1a with a last mix.

/// 64 bits of a text, spread evenly. Not for secrets.
pub fn hash64(bytes: &[u8], seed: u64) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325 ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let all = bytes.iter().fold(start, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mixed = (all ^ (all >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

/// 128 bits of a text: two hashes with different seeds. What an operation key is known by between directors.
pub fn hash128(bytes: &[u8]) -> u128 {
    u128::from(hash64(bytes, 1)) << 64 | u128::from(hash64(bytes, 2))
}
