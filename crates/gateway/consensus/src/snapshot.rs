//! Lessons: a voter tells a replica that doesn't remember what it holds, in parts of bounded size. The first lesson is
//! a snapshot; later ones carry what came since. The learner checks that the parts add up before it counts them.

use crate::acceptor::Acceptor;
use crate::claims::ClaimRegistry;
use crate::context::{Context, PendingWrite};
use crate::durable_state::WriteOperation;
use crate::log_event::LogEvent;
use crate::membership::Membership;
use rushcourse_messages::{
    ClaimRecord, Incarnation, Message, NodeId, Slot, SlotRecord, SnapshotChunk, SnapshotCursor,
    SnapshotTrailer,
};
use rushcourse_types::hash::hash64;
use rushcourse_types::{ConfigurationVersion, Epoch, KeyDigest};
use std::collections::BTreeMap;

/// Claims in one part (ours): some 180 KB, which a voter encodes in about a millisecond.
const PART_MOST: usize = 4_096;

/// Seed of a claim's digest, apart from those of other uses.
const CLAIM_DIGEST_SEED: u64 = 17;

/// What came of a lesson so far.
#[derive(Clone, Copy, Debug, Default)]
struct Receiving {
    claims: u64,
    digest: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Lessons {
    incarnation: Incarnation,
    /// How far each voter's claims were read.
    cursors: BTreeMap<NodeId, SnapshotCursor>,
    receiving: BTreeMap<NodeId, Receiving>,
}

impl Lessons {
    pub fn new(incarnation: Incarnation) -> Lessons {
        Lessons {
            incarnation,
            cursors: BTreeMap::new(),
            receiving: BTreeMap::new(),
        }
    }

    /// A session broke: a lesson that was under way is not finished.
    pub fn down(&mut self, peer: NodeId) {
        self.receiving.remove(&peer);
    }

    /// What was taught did not get to the disk: all is asked for again.
    pub fn refused(&mut self) {
        self.cursors.clear();
        self.receiving.clear();
    }

    /// Asks voters for what they hold, or for what came since they told it.
    pub fn ask(&mut self, context: &mut Context, set: Epoch, voters: Vec<NodeId>) {
        for voter in voters {
            self.receiving.remove(&voter);
            let after = self.cursors.get(&voter).copied();
            context.send(voter, Message::SnapshotRequest { epoch: set, after });
        }
    }

    /// Tells a learner what this voter holds.
    pub fn teach(
        &self,
        context: &mut Context,
        to: NodeId,
        set: Epoch,
        after: Option<SnapshotCursor>,
        (keys, acceptor): (&ClaimRegistry, &Acceptor),
    ) {
        let from = after
            .filter(|c| c.incarnation == self.incarnation)
            .map(|c| c.position);
        let claims = keys.snapshot(context.now, from);
        let end = SnapshotTrailer {
            cursor: SnapshotCursor {
                incarnation: self.incarnation,
                position: keys.position(),
            },
            claim_count: claims.len() as u64,
            claims_digest: claims.iter().fold(0, |sum, claim| sum ^ digest(claim)),
            records: acceptor.records(),
        };
        for part in claims.chunks(PART_MOST) {
            let lesson = SnapshotChunk {
                epoch: set,
                claims: part.to_vec(),
                trailer: None,
            };
            context.send(to, Message::SnapshotChunk(lesson));
        }
        context.send(
            to,
            Message::SnapshotChunk(SnapshotChunk {
                epoch: set,
                claims: Vec::new(),
                trailer: Some(end),
            }),
        );
    }

    /// Takes a part of a lesson. `in_force`: the version in force here; records of lower ones are settled.
    pub fn take(
        &mut self,
        context: &mut Context,
        from: NodeId,
        lesson: SnapshotChunk,
        membership: &mut Membership,
        (keys, acceptor): (&mut ClaimRegistry, &mut Acceptor),
        in_force: ConfigurationVersion,
    ) {
        let set = membership.set().epoch;
        if lesson.epoch != set || !membership.is_learning(context.now.as_millis()) {
            return;
        }
        let receiving = self.receiving.entry(from).or_default();
        receiving.claims += lesson.claims.len() as u64;
        receiving.digest ^= lesson
            .claims
            .iter()
            .fold(0, |sum, claim| sum ^ digest(claim));
        let mut ops = keys.install(context, &lesson.claims);
        let taught: Vec<KeyDigest> = lesson
            .claims
            .iter()
            .map(|claim: &ClaimRecord| claim.key)
            .collect();
        let complete = lesson.trailer.and_then(|end| {
            let whole = self.receiving.remove(&from)?;
            if whole.claims != end.claim_count || whole.digest != end.claims_digest {
                context.log(LogEvent::SnapshotDamaged {
                    claims: whole.claims,
                    expected: end.claim_count,
                });
                return None;
            }
            self.cursors.insert(from, end.cursor);
            let open = |r: &SlotRecord| match r.slot {
                Slot::VotingSet(number) => number > set,
                Slot::Configuration(version) => version >= in_force,
            };
            let records: Vec<SlotRecord> = end.records.into_iter().filter(open).collect();
            ops.extend(acceptor.merge(&records));
            membership.lesson(from)
        });
        if complete.is_some() && membership.is_member() {
            ops.extend(acceptor.begin_to_count());
            ops.push(WriteOperation::MarkStateComplete);
        }
        if !ops.is_empty() || complete.is_some() {
            context.write(
                ops,
                PendingWrite::Snapshot {
                    keys: taught,
                    completed_epoch: complete.map(Epoch),
                },
            );
        }
    }
}

/// Digest of a claim, for the check of a lesson.
fn digest(claim: &ClaimRecord) -> u64 {
    let mut bytes = Vec::with_capacity(36);
    bytes.extend(claim.key.0.to_be_bytes());
    bytes.extend(claim.claim.node.0.to_be_bytes());
    bytes.extend(claim.claim.incarnation.0.to_be_bytes());
    bytes.extend(claim.claim.number.to_be_bytes());
    hash64(&bytes, CLAIM_DIGEST_SEED)
}
