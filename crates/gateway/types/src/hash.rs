//! Hashes that are the same in every process and release: FNV-1a with a final mix. Nodes compare them, and some stand in
//! the state file, so they never change. Not for secrets.

use crate::identity::KeyDigest;

/// Hashes some bytes to 64 bits that are spread evenly. Each use has a seed of its own, so that equal bytes of two uses
/// have different hashes.
pub fn hash64(bytes: &[u8], seed: u64) -> u64 {
    let basis = 0xcbf2_9ce4_8422_2325 ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let folded = bytes.iter().fold(basis, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mixed = (folded ^ (folded >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

/// The digest of an operation key: two hashes with different seeds, since 64 bits are too few for all keys of a window.
pub fn key_digest(bytes: &[u8]) -> KeyDigest {
    let high = u128::from(hash64(bytes, 1)) << 64;
    KeyDigest(high | u128::from(hash64(bytes, 2)))
}
