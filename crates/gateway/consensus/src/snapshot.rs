//! Snapshots: a voter sends a replica without complete state what it holds, in chunks of bounded size. The first
//! snapshot contains everything; later ones of the same voter contain what was added since. The receiver checks that the
//! chunks add up before it counts the snapshot.

use crate::claims::ClaimRegistry;
use crate::context::{Context, PendingWrite};
use crate::durable_state::WriteOperation;
use crate::log_event::LogEvent;
use crate::paxos::Paxos;
use rushcourse_messages::{
    ClaimRecord, Message, Slot, SlotRecord, SnapshotChunk, SnapshotCursor, SnapshotTrailer,
};
use rushcourse_types::hash::hash64;
use rushcourse_types::{ConfigurationVersion, Epoch, Incarnation, KeyDigest, NodeId};
use std::collections::BTreeMap;

/// Claims in one chunk (ours): some 180 KB, which a voter encodes in about a millisecond.
const MAX_CLAIMS_PER_CHUNK: usize = 4_096;
/// Seed of a claim's digest, apart from those of other uses.
const CLAIM_DIGEST_SEED: u64 = 17;

/// What the claims of a snapshot add up to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ClaimSums {
    count: u64,
    /// Exclusive or of the claims' digests.
    digest: u64,
}

impl ClaimSums {
    fn add(&mut self, claims: &[ClaimRecord]) {
        self.count += claims.len() as u64;
        for claim in claims {
            self.digest ^= claim_digest(claim);
        }
    }

    fn of_trailer(trailer: &SnapshotTrailer) -> ClaimSums {
        ClaimSums {
            count: trailer.claim_count,
            digest: trailer.claims_digest,
        }
    }
}

/// A voter to request a snapshot from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SnapshotSource {
    /// The voter.
    pub voter: NodeId,
    /// Where its first snapshot for this replica begins; `None`: it contains everything.
    pub from: Option<SnapshotCursor>,
}

/// Snapshots that this replica sends and receives.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    incarnation: Incarnation,
    /// How far each voter's claims were read.
    cursors: BTreeMap<NodeId, SnapshotCursor>,
    /// What has arrived of snapshots that are not complete yet.
    receiving: BTreeMap<NodeId, ClaimSums>,
}

impl SnapshotTransfer {
    /// No snapshot is under way. Cursors that this replica hands out are of its incarnation.
    pub fn new(incarnation: Incarnation) -> SnapshotTransfer {
        SnapshotTransfer {
            incarnation,
            cursors: BTreeMap::new(),
            receiving: BTreeMap::new(),
        }
    }

    /// A session broke: a snapshot that was under way will not be completed.
    pub fn peer_disconnected(&mut self, peer: NodeId) {
        self.receiving.remove(&peer);
    }

    /// The disk refused what snapshots contained: all of it is requested again.
    pub fn install_refused(&mut self) {
        self.cursors.clear();
        self.receiving.clear();
    }

    /// Asks voters for snapshots, or for what was added since their last ones.
    pub fn request(&mut self, context: &mut Context, epoch: Epoch, sources: Vec<SnapshotSource>) {
        for SnapshotSource { voter, from } in sources {
            self.receiving.remove(&voter);
            let after = self.cursors.get(&voter).copied().or(from);
            context.send(voter, Message::SnapshotRequest { epoch, after });
        }
    }

    /// Sends a replica a snapshot of this voter's state.
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
        let mut sums = ClaimSums::default();
        sums.add(&records);
        for part in records.chunks(MAX_CLAIMS_PER_CHUNK) {
            let chunk = SnapshotChunk {
                epoch,
                claims: part.to_vec(),
                trailer: None,
            };
            context.send(to, Message::SnapshotChunk(chunk));
        }
        let trailer = SnapshotTrailer {
            cursor: SnapshotCursor {
                incarnation: self.incarnation,
                position: claims.position(),
            },
            claim_count: sums.count,
            claims_digest: sums.digest,
            records: paxos.acceptor.records(),
        };
        let last_chunk = SnapshotChunk {
            epoch,
            claims: Vec::new(),
            trailer: Some(trailer),
        };
        context.send(to, Message::SnapshotChunk(last_chunk));
    }

    /// Installs a chunk, if snapshots are wanted. `committed`: the version that is committed here; lower ones are
    /// decided.
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
            .and_then(|trailer| self.check(context, from, trailer));
        let completed_epoch = trailer.and_then(|trailer| {
            let records = open_records(trailer.records, epoch, committed);
            operations.extend(paxos.acceptor.merge(&records));
            paxos.membership.snapshot_received(from)
        });
        if completed_epoch.is_some() && paxos.membership.is_member() {
            operations.extend(paxos.acceptor.start_voting());
            operations.push(WriteOperation::MarkStateComplete);
        } else if !operations.is_empty() && paxos.membership.lacks_state() {
            // The mark must not outlast what makes an older copy look newer.
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

    /// A snapshot ends: returns its trailer if its chunks add up.
    fn check(
        &mut self,
        context: &mut Context,
        from: NodeId,
        trailer: SnapshotTrailer,
    ) -> Option<SnapshotTrailer> {
        let received = self.receiving.remove(&from)?;
        if received != ClaimSums::of_trailer(&trailer) {
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

/// The records of slots that are not decided here.
fn open_records(
    records: Vec<SlotRecord>,
    epoch: Epoch,
    committed: ConfigurationVersion,
) -> Vec<SlotRecord> {
    let is_open = |record: &SlotRecord| match record.slot {
        Slot::VotingSet(next) => next > epoch,
        Slot::Configuration(version) => version >= committed,
    };
    records.into_iter().filter(is_open).collect()
}

/// Digest of a claim, for the check of a snapshot.
fn claim_digest(claim: &ClaimRecord) -> u64 {
    let mut bytes = Vec::with_capacity(36);
    bytes.extend(claim.key.0.to_be_bytes());
    bytes.extend(claim.claim.node.0.to_be_bytes());
    bytes.extend(claim.claim.incarnation.0.to_be_bytes());
    bytes.extend(claim.claim.number.to_be_bytes());
    hash64(&bytes, CLAIM_DIGEST_SEED)
}
