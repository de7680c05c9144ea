//! Guards against changes of the hash algorithm, which would break comparisons between nodes and existing state files.
//! The reference values come from an independent implementation.

use rushcourse_types::KeyDigest;
use rushcourse_types::hash::{hash64, key_digest};

#[test]
fn hash64_matches_reference_values() {
    for (bytes, seed, hash) in [
        (&b""[..], 0, 0xefd0_1f60_ba99_2926),
        (b"rushcourse", 0, 0x373d_e2d1_bb47_9eb8),
        (b"rushcourse", 1, 0xc36e_9347_3a04_f078),
        (b"rushcoursf", 1, 0xe46d_4ec5_04f5_1f59),
        (&[0xff; 3], u64::MAX, 0xf0db_2804_dc84_260b),
    ] {
        assert_eq!(hash64(bytes, seed), hash, "{bytes:?} with seed {seed}");
    }
}

#[test]
fn key_digest_combines_hashes_of_two_seeds() {
    let digest = 0xc36e_9347_3a04_f078_f38a_6872_4167_abb3;
    assert_eq!(key_digest(b"rushcourse"), KeyDigest(digest));
}
