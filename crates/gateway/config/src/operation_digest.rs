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

/// The clients among whom an operation key names one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationScope<'a> {
    /// All clients: the configuration has no tenants.
    Cluster,
    /// The clients that send no tenant's API key, which public routes permit.
    Public,
    /// The clients with an API key of the tenant of this name.
    Tenant(&'a str),
}

impl OperationScope<'_> {
    /// Computes the digest of an operation key in this scope.
    pub fn digest(self, operation_key: &[u8]) -> KeyDigest {
        match self {
            OperationScope::Cluster => key_digest(operation_key),
            OperationScope::Public => truncated_sha256(&[&[PUBLIC_TAG], operation_key]),
            OperationScope::Tenant(name) => {
                let name_length = (name.len() as u64).to_be_bytes();
                truncated_sha256(&[&[TENANT_TAG], &name_length, name.as_bytes(), operation_key])
            }
        }
    }
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
