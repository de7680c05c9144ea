//! Parts of shards of responses, as written and as asked for.

use rushcourse_messages::ResponsePart;
use rushcourse_types::{ClaimId, KeyDigest};

/// A part of a shard to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredPart {
    /// The digest of the operation key.
    pub key: KeyDigest,
    /// The claim under which the operation ran.
    pub claim: ClaimId,
    /// The part.
    pub part: ResponsePart,
}

/// A part of a shard to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartQuery {
    /// The digest of the operation key, which must match.
    pub key: KeyDigest,
    /// The claim under which the operation ran.
    pub claim: ClaimId,
    /// The offset at which the part begins.
    pub offset: u32,
}
