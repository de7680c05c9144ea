//! Digests of operation keys, by which gateways and voters tell operations apart.
//!
//! Claims on disk name operations by these digests, so the algorithms must never change. Tenants must not be able to
//! choose an operation key whose digest equals that of another tenant's operation, whose stored response they would get;
//! so digests that cover a tenant are cryptographic.

use ring::digest::{Context, SHA256};
use rushcourse_types::KeyDigest;
use rushcourse_types::hash::key_digest;

/// First byte of the hashed text for [`OperationScope::Public`].
const PUBLIC_TAG: u8 = 0;
/// First byte of the hashed text for [`OperationScope::Tenant`].
const TENANT_TAG: u8 = 1;
/// First byte of the hashed text for [`OperationScope::ApiKey`].
const API_KEY_TAG: u8 = 2;

/// The clients among whom an operation key names one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationScope<'a> {
    /// All clients: the configuration has no tenants.
    Cluster,
    /// The clients of a public route that send no API key.
    Public,
    /// The clients that send this API key. Names operations on public routes if the key is of no known tenant. Also
    /// gives the alias of other operations, see `KeyAlias` in `rushcourse-types`.
    ApiKey(&'a [u8]),
    /// The clients with an API key of the tenant of this name, whether the route is public or not.
    Tenant(&'a str),
}

impl OperationScope<'_> {
    /// Computes the digest of an operation key in this scope.
    pub fn digest(self, operation_key: &[u8]) -> KeyDigest {
        match self {
            OperationScope::Cluster => key_digest(operation_key),
            OperationScope::Public => truncated_sha256(&[&[PUBLIC_TAG], operation_key]),
            OperationScope::ApiKey(api_key) => scoped_digest(API_KEY_TAG, api_key, operation_key),
            OperationScope::Tenant(name) => {
                scoped_digest(TENANT_TAG, name.as_bytes(), operation_key)
            }
        }
    }
}

/// Digest of an operation key within a scope. The scope's length is part of it, so that no two pairs give one text.
fn scoped_digest(tag: u8, scope: &[u8], operation_key: &[u8]) -> KeyDigest {
    let scope_length = (scope.len() as u64).to_be_bytes();
    truncated_sha256(&[&[tag], &scope_length, scope, operation_key])
}

/// Returns the first 128 bits of the SHA-256 digest of the concatenated parts.
fn truncated_sha256(parts: &[&[u8]]) -> KeyDigest {
    let mut context = Context::new(&SHA256);
    for part in parts {
        context.update(part);
    }
    let digest = context.finish();
    let high_bytes = digest.as_ref().iter().take(size_of::<u128>());
    KeyDigest(high_bytes.fold(0, |number, byte| (number << 8) | u128::from(*byte)))
}
