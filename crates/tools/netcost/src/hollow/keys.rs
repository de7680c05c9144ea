//! One real voter's claims of keys: what a claim costs it without socket and disk, what it holds, and where it stops.

use super::{Size, gauge};
use rushcourse_consensus::{
    ClaimAnswer, ClaimRequest, ConsensusNode, DurableState, Effect, Input, Setup, WriteBatch,
};
use rushcourse_messages::{ClaimId, ClaimVerdict, Message, NodeId, VotingSet, decode, encode};
use rushcourse_types::{Epoch, Incarnation, KeyDigest, SessionId, Timestamp, WallTime};
use std::time::Duration;

/// Claims that are made, at the whole target: more than a voter takes, so that its limit shows.
const CLAIMS: usize = 240_000;
/// Members of the voting set.
const VOTERS: u32 = 5;
const WINDOW: u64 = 60_000;
const CATCH_UP: u64 = 6_000;
const WALL: u64 = 1_700_000_000_000;
/// Bytes of a frame before its message.
const HEAD: usize = 4;
/// Gateways at the whole target; parts of it make part of the claims.
const GATEWAYS: usize = 1_200;

#[derive(Default)]
struct Counts {
    granted: usize,
    turned_away: usize,
    bytes_out: usize,
    lesson: usize,
}

fn voter() -> ConsensusNode {
    let members: Vec<NodeId> = (1..=VOTERS).map(NodeId).collect();
    let set = VotingSet {
        epoch: Epoch(1),
        members: members.clone(),
    };
    let setup = Setup {
        node: NodeId(1),
        zone: "zone".into(),
        incarnation: Incarnation(1),
        seeds: members,
        is_first_start: false,
        tolerated_losses: 2,
        catch_up: Duration::from_millis(CATCH_UP),
        key_window: Duration::from_millis(WINDOW),
    };
    ConsensusNode::new(
        setup,
        DurableState {
            voting_set: set,
            has_complete_state: true,
            ..DurableState::default()
        },
    )
}

/// The frames of claims of different keys, by many gateways.
fn claims(count: usize, size: &Size) -> Vec<Vec<u8>> {
    let claim = |k: usize| {
        let claim = ClaimId {
            node: NodeId(1_000 + (k % size.gateways) as u32),
            incarnation: Incarnation(7),
            number: k as u64,
        };
        let key = (k as u128 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
        let mut bytes = Vec::new();
        encode(
            &Message::ClaimRequest {
                epoch: Epoch(1),
                key: KeyDigest(key),
                claim,
            },
            &mut bytes,
        )
        .expect("a message that fits");
        bytes
    };
    (0..count).map(claim).collect()
}

fn carry(register: &mut ConsensusNode, now: u64, input: Input, counts: &mut Counts) {
    for effect in register.step(Timestamp::from_millis(now), WallTime(WALL + now), input) {
        match effect {
            Effect::Write(WriteBatch { id: batch, .. }) => {
                carry(register, now, Input::BatchSynced(batch), counts)
            }
            Effect::AnswerClaim(ClaimAnswer {
                epoch: set,
                key,
                claim,
                verdict,
                ..
            }) => {
                match verdict {
                    ClaimVerdict::Granted => counts.granted += 1,
                    _ => counts.turned_away += 1,
                }
                counts.bytes_out += length(&Message::ClaimResponse {
                    epoch: set,
                    key,
                    claim,
                    verdict,
                });
            }
            Effect::Send { message, .. } => counts.lesson += length(&message),
            _ => {}
        }
    }
}

fn length(message: &Message) -> usize {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).expect("a message that fits");
    bytes.len()
}

/// One real voter of five, all claims inside one window.
pub const HEADING: &str =
    "claims | granted | turned away | claim us | bytes in | bytes out |     MB | lesson MB";

/// Prints one row: a voter at a number of claims.
pub fn measure(size: &Size) {
    let count = CLAIMS * size.gateways / GATEWAYS;
    let frames = claims(count, size);
    let bytes_in: usize = frames.iter().map(Vec::len).sum();
    let empty = gauge::resident_mb();
    let (mut register, mut counts) = (voter(), Counts::default());
    let ((), took) = gauge::timed(|| {
        for frame in &frames {
            match decode(&frame[HEAD..]) {
                Ok(Message::ClaimRequest {
                    epoch: set,
                    key,
                    claim,
                }) => {
                    carry(
                        &mut register,
                        1_000,
                        Input::Claim(ClaimRequest {
                            session: SessionId(1),
                            epoch: set,
                            key,
                            claim,
                        }),
                        &mut counts,
                    );
                }
                other => unreachable!("a claim was written: {other:?}"),
            }
        }
    });
    let resident = gauge::resident_mb() - empty;
    let (granted, turned_away, bytes_out) = (counts.granted, counts.turned_away, counts.bytes_out);
    carry(
        &mut register,
        1_000,
        Input::MessageReceived {
            from: NodeId(2),
            message: Message::SnapshotRequest {
                epoch: Epoch(1),
                after: None,
            },
        },
        &mut counts,
    );
    println!(
        "{:>6} | {:>7} | {:>11} | {:>8.2} | {:>8.0} | {:>9.0} | {:>6.1} | {:>9.2}",
        count,
        granted,
        turned_away,
        took * 1e3 / count as f64,
        bytes_in as f64 / count as f64,
        bytes_out as f64 / count as f64,
        resident,
        counts.lesson as f64 / 1e6,
    );
}
