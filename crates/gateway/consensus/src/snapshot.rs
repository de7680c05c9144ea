//! State transfer: a voter sends its claims and acceptor records to a replica without complete state, in chunks of
//! bounded size. The first snapshot is full; later ones from the same voter contain only what was added since. The
//! receiver compares the chunks with the count and digest in the trailer before it counts the snapshot.

use crate::claims::ClaimRegistry;
use crate::context::{Context, PendingWrite};
use crate::durable_state::WriteOperation;
use crate::log_event::LogEvent;
use crate::paxos::Paxos;
use rushcourse_messages::{
    ClaimRecord, Message, Slot, SlotRecord, SnapshotChunk, SnapshotCursor, SnapshotTrailer,
};
use rushcourse_types::hash::hash64;
use rushcourse_types::{ConfigurationVersion, DutySequence, Epoch, Incarnation, KeyDigest, NodeId};
use std::collections::BTreeMap;

/// Maximum number of claims per chunk, up to about 270 KB; bounds the time that a voter spends on encoding one.
const MAX_CLAIMS_PER_CHUNK: usize = 4_096;
/// Number of bytes that the digest of a claim with an alias covers.
const CLAIM_DIGEST_CAPACITY: usize = 53;
/// Hash seed for claim digests, distinct from the seeds of other uses of the hash.
const CLAIM_DIGEST_SEED: u64 = 17;

/// Count and digest of the claims in a snapshot, compared with the trailer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ClaimChecksum {
    count: u64,
    /// XOR of the digests of all claims.
    digest: u64,
}

impl ClaimChecksum {
    fn add(&mut self, claims: &[ClaimRecord]) {
        self.count += claims.len() as u64;
        for claim in claims {
            self.digest ^= claim_digest(claim);
        }
    }

    fn from_trailer(trailer: &SnapshotTrailer) -> ClaimChecksum {
        ClaimChecksum {
            count: trailer.claim_count,
            digest: trailer.claims_digest,
        }
    }
}

/// A voter to request a snapshot from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SnapshotSource {
    pub voter: NodeId,
    /// Cursor from which its first snapshot for this replica starts; `None` requests a full snapshot.
    pub from: Option<SnapshotCursor>,
}

/// Snapshots sent and received by this replica.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    incarnation: Incarnation,
    /// Cursor of the last complete snapshot from each voter.
    cursors: BTreeMap<NodeId, SnapshotCursor>,
    /// Checksums of snapshots that have not been received completely.
    receiving: BTreeMap<NodeId, ClaimChecksum>,
}

impl SnapshotTransfer {
    /// Creates a transfer without snapshots in progress. Cursors issued by this replica carry its incarnation.
    pub fn new(incarnation: Incarnation) -> SnapshotTransfer {
        SnapshotTransfer {
            incarnation,
            cursors: BTreeMap::new(),
            receiving: BTreeMap::new(),
        }
    }

    /// Drops a partially received snapshot after the session with its sender is lost.
    pub fn peer_disconnected(&mut self, peer: NodeId) {
        self.receiving.remove(&peer);
    }

    /// Handles the disk's refusal of received state: full snapshots are requested again.
    pub fn install_refused(&mut self) {
        self.cursors.clear();
        self.receiving.clear();
    }

    /// Requests snapshots from voters, starting where the last ones ended.
    pub fn request(&mut self, context: &mut Context, epoch: Epoch, sources: Vec<SnapshotSource>) {
        for SnapshotSource { voter, from } in sources {
            self.receiving.remove(&voter);
            let after = self.cursors.get(&voter).copied().or(from);
            context.send(voter, Message::SnapshotRequest { epoch, after });
        }
    }

    /// Sends the state of this replica. The snapshot starts after `after` if that cursor was issued by this
    /// incarnation, and is full otherwise.
    pub fn send(
        &self,
        context: &mut Context,
        to: NodeId,
        after: Option<SnapshotCursor>,
        claims: &ClaimRegistry,
        paxos: &Paxos,
    ) {
        let epoch = paxos.membership.voting_set().epoch;
        let position = after
            .filter(|cursor| cursor.incarnation == self.incarnation)
            .map(|cursor| cursor.position);
        let records = claims.snapshot(context.now, position);
        let mut checksum = ClaimChecksum::default();
        checksum.add(&records);
        for chunk_claims in records.chunks(MAX_CLAIMS_PER_CHUNK) {
            let chunk = SnapshotChunk {
                epoch,
                claims: chunk_claims.to_vec(),
                trailer: None,
            };
            context.send(to, Message::SnapshotChunk(chunk));
        }
        let trailer = SnapshotTrailer {
            cursor: SnapshotCursor {
                incarnation: self.incarnation,
                position: claims.position(),
            },
            claim_count: checksum.count,
            claims_digest: checksum.digest,
            records: paxos.acceptor.records(),
        };
        let last_chunk = SnapshotChunk {
            epoch,
            claims: Vec::new(),
            trailer: Some(trailer),
        };
        context.send(to, Message::SnapshotChunk(last_chunk));
    }

    /// Installs a chunk while this replica is learning, and ignores it otherwise. `committed` is the version committed
    /// here; records of lower versions are skipped.
    pub fn receive(
        &mut self,
        context: &mut Context,
        from: NodeId,
        chunk: SnapshotChunk,
        claims: &mut ClaimRegistry,
        paxos: &mut Paxos,
        committed: ConfigurationVersion,
    ) {
        let epoch = paxos.membership.voting_set().epoch;
        if chunk.epoch != epoch || !paxos.membership.is_learning(context.now) {
            return;
        }
        self.receiving.entry(from).or_default().add(&chunk.claims);
        let keys: Vec<KeyDigest> = chunk.claims.iter().map(|claim| claim.key).collect();
        let mut operations = claims.install(context, &chunk.claims);
        let trailer = chunk
            .trailer
            .and_then(|trailer| self.verify_trailer(context, from, trailer));
        let completed_epoch = trailer.and_then(|trailer| {
            let records = open_records(trailer.records, epoch, committed, paxos.committed_duty);
            operations.extend(paxos.acceptor.merge(&records));
            paxos.membership.snapshot_received(from)
        });
        if completed_epoch.is_some() && paxos.membership.is_member() {
            operations.extend(paxos.acceptor.start_voting());
            operations.push(WriteOperation::MarkStateComplete);
        } else if !operations.is_empty() && paxos.membership.lacks_state() {
            // This batch raises the disk's generation. Without the mark, a disk that is still marked complete would
            // pass for a recent copy although its state is only partly installed.
            operations.push(WriteOperation::MarkStateIncomplete);
        }
        if !operations.is_empty() || completed_epoch.is_some() {
            let pending = PendingWrite::Snapshot {
                keys,
                completed_epoch,
            };
            context.write(operations, pending);
        }
    }

    /// Compares the received chunks with the trailer. Returns the trailer if they match.
    fn verify_trailer(
        &mut self,
        context: &mut Context,
        from: NodeId,
        trailer: SnapshotTrailer,
    ) -> Option<SnapshotTrailer> {
        let received = self.receiving.remove(&from)?;
        if received != ClaimChecksum::from_trailer(&trailer) {
            context.log(LogEvent::SnapshotDamaged {
                claims: received.count,
                expected: trailer.claim_count,
            });
            return None;
        }
        self.cursors.insert(from, trailer.cursor);
        Some(trailer)
    }
}

/// Filters out records of slots that are already decided here.
fn open_records(
    records: Vec<SlotRecord>,
    epoch: Epoch,
    committed: ConfigurationVersion,
    committed_duty: DutySequence,
) -> Vec<SlotRecord> {
    let is_open = |record: &SlotRecord| match record.slot {
        Slot::VotingSet(next) => next > epoch,
        Slot::Configuration(version) => version >= committed,
        Slot::UsageDuty(sequence) => sequence >= committed_duty,
    };
    records.into_iter().filter(is_open).collect()
}

/// Digest over all fields of a claim except its age, which differs between voters.
fn claim_digest(claim: &ClaimRecord) -> u64 {
    let mut bytes = Vec::with_capacity(CLAIM_DIGEST_CAPACITY);
    bytes.extend(claim.key.0.to_be_bytes());
    bytes.extend(claim.claim.node.0.to_be_bytes());
    bytes.extend(claim.claim.incarnation.0.to_be_bytes());
    bytes.extend(claim.claim.number.to_be_bytes());
    if let Some(alias) = claim.alias {
        bytes.extend(alias.digest.0.to_be_bytes());
        bytes.push(u8::from(alias.is_shared));
    }
    hash64(&bytes, CLAIM_DIGEST_SEED)
}
