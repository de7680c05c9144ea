//! One real voter's claims of operation keys: what a claim costs it without socket and disk, what it holds, and where it
//! stops.

use super::{Size, process_usage};
use crate::frames::{frame, frame_bytes, message};
use rushcourse_consensus::{
    ClaimAnswer, ClaimRequest, ConsensusNode, DurableState, Effect, Input, Setup, WriteBatch,
};
use rushcourse_messages::{ClaimId, ClaimVerdict, Message, NodeId, VotingSet};
use rushcourse_types::{Epoch, Incarnation, KeyDigest, SessionId, Timestamp, WallTime};
use std::time::Duration;

/// Claims that are made, at the whole target: more than a voter takes, so that its limit shows.
const TARGET_CLAIMS: usize = 240_000;
/// Gateways at the whole target; parts of it make part of the claims.
const TARGET_GATEWAYS: usize = 1_200;
/// Members of the voting set.
const VOTERS: u32 = 5;
const EPOCH: Epoch = Epoch(1);
const KEY_WINDOW: Duration = Duration::from_millis(60_000);
const CATCH_UP: Duration = Duration::from_millis(6_000);
/// When all claims arrive, by the steady clock and by the time of day, which is of no matter here.
const NOW: Timestamp = Timestamp::from_millis(1_000);
const WALL_TIME: WallTime = WallTime(1_700_000_001_000);
/// Odd, so that keys of different claims differ.
const KEY_FACTOR: u128 = 0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835;

/// One real voter of five, all claims inside one window.
pub(super) const HEADING: &str =
    "claims | granted | rejected | claim us | bytes in | bytes out |     MB | snapshot MB";

/// What a voter sends.
#[derive(Default)]
struct Sent {
    granted: usize,
    rejected: usize,
    response_bytes: u64,
    snapshot_bytes: u64,
}

struct Voter {
    node: ConsensusNode,
    sent: Sent,
}

impl Voter {
    fn new() -> Voter {
        let members: Vec<NodeId> = (1..=VOTERS).map(NodeId).collect();
        let setup = Setup {
            node: NodeId(1),
            zone: "zone".into(),
            incarnation: Incarnation(1),
            seeds: members.clone(),
            is_first_start: false,
            tolerated_losses: 2,
            catch_up: CATCH_UP,
            key_window: KEY_WINDOW,
        };
        let voting_set = VotingSet {
            epoch: EPOCH,
            members,
        };
        let state = DurableState {
            voting_set,
            has_complete_state: true,
            ..DurableState::default()
        };
        Voter {
            node: ConsensusNode::new(setup, state),
            sent: Sent::default(),
        }
    }

    /// Takes a step, with a disk that syncs at once.
    fn step(&mut self, input: Input) {
        for effect in self.node.step(NOW, WALL_TIME, input) {
            match effect {
                Effect::Write(WriteBatch { id, .. }) => self.step(Input::BatchSynced(id)),
                Effect::AnswerClaim(answer) => self.count_answer(answer),
                Effect::Send { message, .. } => self.sent.snapshot_bytes += frame_bytes(&message),
                _ => {}
            }
        }
    }

    fn count_answer(&mut self, answer: ClaimAnswer) {
        match answer.verdict {
            ClaimVerdict::Granted => self.sent.granted += 1,
            _ => self.sent.rejected += 1,
        }
        self.sent.response_bytes += frame_bytes(&Message::ClaimResponse {
            epoch: answer.epoch,
            key: answer.key,
            claim: answer.claim,
            verdict: answer.verdict,
        });
    }

    fn receive_claim(&mut self, frame: &[u8]) {
        match message(frame) {
            Message::ClaimRequest { epoch, key, claim } => self.step(Input::Claim(ClaimRequest {
                session: SessionId(1),
                epoch,
                key,
                claim,
            })),
            other => unreachable!("a claim was written: {other:?}"),
        }
    }

    /// Another voter asks for all that this one holds.
    fn send_snapshot(&mut self) {
        self.step(Input::MessageReceived {
            from: NodeId(2),
            message: Message::SnapshotRequest {
                epoch: EPOCH,
                after: None,
            },
        });
    }
}

/// The frames of claims of different keys, by many gateways.
fn claim_frames(count: usize, size: &Size) -> Vec<Vec<u8>> {
    let claim_frame = |number: usize| {
        let claim = ClaimId {
            node: NodeId(1_000 + (number % size.gateways) as u32),
            incarnation: Incarnation(7),
            number: number as u64,
        };
        frame(&Message::ClaimRequest {
            epoch: EPOCH,
            key: KeyDigest((number as u128 + 1).wrapping_mul(KEY_FACTOR)),
            claim,
        })
    };
    (0..count).map(claim_frame).collect()
}

/// Prints one row: a voter at a number of claims.
pub(super) fn measure(size: &Size) {
    let count = TARGET_CLAIMS * size.gateways / TARGET_GATEWAYS;
    let frames = claim_frames(count, size);
    let request_bytes: usize = frames.iter().map(Vec::len).sum();
    let empty = process_usage::resident_mb();
    let mut voter = Voter::new();
    let ((), claims_ms) =
        process_usage::timed(|| frames.iter().for_each(|frame| voter.receive_claim(frame)));
    let resident = process_usage::resident_mb() - empty;
    voter.send_snapshot();
    let sent = &voter.sent;
    println!(
        "{:>6} | {:>7} | {:>8} | {:>8.2} | {:>8.0} | {:>9.0} | {:>6.1} | {:>11.2}",
        count,
        sent.granted,
        sent.rejected,
        claims_ms * 1e3 / count as f64,
        request_bytes as f64 / count as f64,
        sent.response_bytes as f64 / count as f64,
        resident,
        sent.snapshot_bytes as f64 / 1e6,
    );
}
