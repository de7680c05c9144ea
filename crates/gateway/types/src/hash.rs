//! FNV-1a with a final mixing step. Nodes compare these hashes and some are stored in the state file, so the algorithm
//! must never change. Not suitable for cryptographic purposes.

use crate::identity::KeyDigest;

/// Hashes `bytes` to 64 uniformly distributed bits. Each purpose uses its own `seed`, so that hashes of the same bytes
/// are independent between purposes.
pub fn hash64(bytes: &[u8], seed: u64) -> u64 {
    let offset_basis = 0xcbf2_9ce4_8422_2325 ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let folded = bytes.iter().fold(offset_basis, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mixed = (folded ^ (folded >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

/// Computes the 128-bit digest of an operation key from two hashes with different seeds. 64 bits would not make
/// collisions unlikely enough for the number of keys in one key window.
pub fn key_digest(bytes: &[u8]) -> KeyDigest {
    let high = u128::from(hash64(bytes, 1)) << 64;
    KeyDigest(high | u128::from(hash64(bytes, 2)))
}
