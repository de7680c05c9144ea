//! Parts of stored responses, as written and as asked for.

use rushcourse_messages::ResponsePart;
use rushcourse_types::{ClaimId, Incarnation, KeyDigest, NodeId};
use std::time::Duration;

/// A part of a response to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredPart {
    /// The digest of the operation key.
    pub key: KeyDigest,
    /// The claim under which the operation ran.
    pub claim: ClaimId,
    /// The part.
    pub part: ResponsePart,
    /// Who sent the part.
    pub origin: PartOrigin,
}

/// Who sent a part to be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartOrigin {
    /// The gateway that ran the operation. The part is kept for the whole retention.
    Gateway,
    /// Another controller, after that gateway had ended. The part is kept for the rest of its time.
    Controller {
        /// Time until the part expires, at most the retention.
        remaining: Duration,
    },
}

/// One run of a gateway process. Its operations are not those of the gateway's other runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatewayRun {
    /// The gateway.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A part of a response to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartQuery {
    /// The digest of the operation key, which must match.
    pub key: KeyDigest,
    /// The claim under which the operation ran.
    pub claim: ClaimId,
    /// The offset at which the part begins.
    pub offset: u32,
}
