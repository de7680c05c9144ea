//! Which operations exclude each other: those with a digest in common that one of them holds exclusively.

use rushcourse_types::{KeyAlias, KeyDigest, OperationKeys};

const KEY: KeyDigest = KeyDigest(1);
const OTHER_KEY: KeyDigest = KeyDigest(2);
const ALIAS: KeyDigest = KeyDigest(3);

fn shared(key: KeyDigest) -> OperationKeys {
    with_alias(key, true)
}

fn exclusive(key: KeyDigest) -> OperationKeys {
    with_alias(key, false)
}

fn with_alias(key: KeyDigest, is_shared: bool) -> OperationKeys {
    let alias = KeyAlias {
        digest: ALIAS,
        is_shared,
    };
    OperationKeys {
        key,
        alias: Some(alias),
    }
}

fn assert_conflict(first: OperationKeys, second: OperationKeys, expected: bool) {
    assert_eq!(
        first.conflicts_with(&second),
        expected,
        "{first:?}, {second:?}"
    );
    assert_eq!(
        second.conflicts_with(&first),
        expected,
        "{second:?}, {first:?}"
    );
}

#[test]
fn operations_with_one_key_conflict_whatever_their_aliases() {
    assert_conflict(KEY.into(), KEY.into(), true);
    assert_conflict(KEY.into(), shared(KEY), true);
    assert_conflict(shared(KEY), exclusive(KEY), true);
}

#[test]
fn operations_with_different_digests_do_not_conflict() {
    assert_conflict(KEY.into(), OTHER_KEY.into(), false);
    assert_conflict(KEY.into(), exclusive(OTHER_KEY), false);
}

/// Guards against tenants that get the response of another tenant that had their API key before.
#[test]
fn operations_that_share_an_alias_do_not_conflict() {
    assert_conflict(shared(KEY), shared(OTHER_KEY), false);
}

/// Guards against an operation that runs again because its tenant is known at one of two requests only.
#[test]
fn operation_that_holds_an_alias_exclusively_conflicts_with_all_of_its_holders() {
    assert_conflict(exclusive(KEY), shared(OTHER_KEY), true);
    assert_conflict(exclusive(KEY), exclusive(OTHER_KEY), true);
    assert_conflict(ALIAS.into(), shared(KEY), true);
    assert_conflict(ALIAS.into(), exclusive(KEY), true);
}
