//! Guards against changes of the digests of operation keys, which would break comparisons between nodes and existing
//! state files. The reference values come from an independent implementation.

use rushcourse_config::OperationScope;
use rushcourse_types::KeyDigest;
use rushcourse_types::hash::key_digest;

#[test]
fn operation_digest_matches_reference_values() {
    for (scope, operation_key, digest) in [
        (
            OperationScope::Tenant("bakery"),
            "k1",
            0xada9_752e_6c60_7e87_6294_fb17_3ac2_5e9f,
        ),
        (
            OperationScope::Tenant("grocer"),
            "sk1",
            0xd51e_843d_ad57_b9b6_21a1_ca07_e015_6d50,
        ),
        (
            OperationScope::Tenant("grocers"),
            "k1",
            0xe898_9f7e_dc9a_ca9d_ddc4_3728_4704_e814,
        ),
        (
            OperationScope::Public,
            "k1",
            0x9782_c1ff_d047_620a_018d_fca6_ffe0_b52c,
        ),
    ] {
        assert_eq!(
            scope.digest(operation_key.as_bytes()),
            KeyDigest(digest),
            "{scope:?} {operation_key}"
        );
    }
}

#[test]
fn operation_digest_without_tenants_is_that_of_earlier_state_files() {
    assert_eq!(OperationScope::Cluster.digest(b"k1"), key_digest(b"k1"));
}
