//! The digests by which an operation is claimed, and which operations they tell apart.

use crate::identity::KeyDigest;
use serde::{Deserialize, Serialize};

/// A second digest of an operation. It recognizes a repeat whose own key differs because the tenant of the client's API
/// key is known at one of the two requests only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyAlias {
    /// Digest of the operation key together with the client's API key.
    pub digest: KeyDigest,
    /// Whether other operations may share the alias. Operations of tenants do: an API key that is passed on from one
    /// tenant to another names operations of both.
    pub is_shared: bool,
}

/// The digests of one operation: its key, and an alias if the client sent an API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OperationKeys {
    /// Identifies the operation. A claim holds its key exclusively.
    pub key: KeyDigest,
    /// Held along with the key; shared or exclusively.
    pub alias: Option<KeyAlias>,
}

impl OperationKeys {
    /// Whether at most one of two operations may run: they have a digest in common that one of them holds exclusively.
    pub fn conflicts_with(&self, other: &OperationKeys) -> bool {
        let own = self.digests();
        let mut digests = other.digests();
        digests.any(|other| own.clone().any(|own| own.conflicts_with(other)))
    }

    /// The digests with the way in which they are held: the key exclusively, the alias as it says.
    pub fn digests(&self) -> impl Iterator<Item = KeyAlias> + Clone {
        let key = KeyAlias {
            digest: self.key,
            is_shared: false,
        };
        std::iter::once(key).chain(self.alias)
    }
}

impl KeyAlias {
    /// Whether two operations that hold these digests exclude each other.
    pub fn conflicts_with(self, other: KeyAlias) -> bool {
        self.digest == other.digest && !(self.is_shared && other.is_shared)
    }
}

impl From<KeyDigest> for OperationKeys {
    /// The digests of an operation without an alias.
    fn from(key: KeyDigest) -> OperationKeys {
        OperationKeys { key, alias: None }
    }
}
