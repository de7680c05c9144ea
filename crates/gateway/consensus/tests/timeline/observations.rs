//! What operators and gateways saw, and what must hold of it at any time.

use super::steps::Claimed;
use rushcourse_consensus::{ClaimAnswer, CommittedConfiguration, CallOutcome};
use rushcourse_messages::{ClaimVerdict, VotingSet};
use rushcourse_types::{
    ClaimId, ConfigurationVersion, Epoch, Incarnation, KeyDigest, NodeId, Ticket, Timestamp,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Tickets of reads, from here on; lower ones are of puts, which have their version as a ticket.
const FIRST_READ: u64 = 1_000_000;
/// A key is won by one gateway at most inside this time: the window and what a claim is kept longer, in ms.
const WINDOW: u64 = 70_000;

/// The text that an operator puts under a version.
pub fn text(version: ConfigurationVersion) -> Arc<[u8]> {
    Arc::from(version.to_string().as_bytes())
}

/// The text that another operator puts under the same version.
pub fn rival_text(version: ConfigurationVersion) -> Arc<[u8]> {
    Arc::from(format!("{version}, by another operator").as_bytes())
}

/// The ticket of a read that begins now.
pub fn read_ticket(now: Timestamp) -> Ticket {
    Ticket(FIRST_READ + now.as_millis())
}

/// The only claim that a gateway makes of a key.
pub fn claim_id(claimed: Claimed) -> ClaimId {
    ClaimId {
        node: NodeId(1000 + claimed.gateway as u32),
        incarnation: Incarnation(claimed.gateway),
        number: claimed.gateway,
    }
}

/// An acknowledged put.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    pub ticket: Ticket,
    pub is_other_text: bool,
}

/// A voter's answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    pub epoch: Epoch,
    pub verdict: ClaimVerdict,
}

/// What the last read at a controller gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadResult {
    Version(ConfigurationVersion),
    Unknown,
}

/// What operators and gateways saw, by controllers.
#[derive(Default)]
pub struct Observations {
    /// The put that was acknowledged last.
    pub acknowledged: BTreeMap<NodeId, Acknowledgement>,
    /// The put that was left without a clear answer last.
    pub unknown_puts: BTreeMap<NodeId, Ticket>,
    /// The last read.
    pub reads: BTreeMap<NodeId, ReadResult>,
    /// The last answer of each voter.
    pub answers: BTreeMap<Claimed, BTreeMap<NodeId, Answer>>,
    /// The committed text of each version: there is one.
    committed: BTreeMap<ConfigurationVersion, Arc<[u8]>>,
    /// Which gateway won a key in the how manyth window: never two.
    winners: BTreeMap<(KeyDigest, u64), u64>,
}

impl Observations {
    /// An operator's call is answered.
    pub fn call_answered(&mut self, node: NodeId, ticket: Ticket, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Acknowledged { is_other_text } => {
                let acknowledgement = Acknowledgement {
                    ticket,
                    is_other_text,
                };
                self.acknowledged.insert(node, acknowledgement);
            }
            CallOutcome::Configuration(read) => self.configuration_read(node, &read),
            CallOutcome::Unknown if ticket < Ticket(FIRST_READ) => {
                self.unknown_puts.insert(node, ticket);
            }
            CallOutcome::NoConfiguration | CallOutcome::Unknown => {
                self.reads.insert(node, ReadResult::Unknown);
            }
        }
    }

    fn configuration_read(&mut self, node: NodeId, read: &CommittedConfiguration) {
        let version = read.version;
        assert!(
            [text(version), rival_text(version)].contains(&read.text),
            "what was put under its version"
        );
        assert_eq!(
            self.committed.get(&version),
            Some(&read.text),
            "what is committed under its version"
        );
        self.reads.insert(node, ReadResult::Version(version));
    }

    /// A configuration is committed at a controller.
    pub fn configuration_committed(&mut self, configuration: CommittedConfiguration) {
        let CommittedConfiguration { version, text } = configuration;
        let first = self.committed.entry(version);
        let first = first.or_insert_with(|| text.clone());
        assert_eq!(*first, text, "one text is committed under {version}");
    }

    /// A voter answers a claim. `sets`: the voting sets that controllers count in.
    pub fn claim_answered(
        &mut self,
        now: Timestamp,
        node: NodeId,
        answer: &ClaimAnswer,
        sets: &[VotingSet],
    ) {
        let claimed = Claimed {
            key: answer.key,
            gateway: answer.claim.incarnation.0,
        };
        let answers = self.answers.entry(claimed).or_default();
        let answer = Answer {
            epoch: answer.epoch,
            verdict: answer.verdict,
        };
        answers.insert(node, answer);
        if self.has_won(claimed, sets) {
            self.note_winner(now, claimed);
        }
    }

    /// A key is won by one gateway inside its window, whatever the voting sets were.
    fn note_winner(&mut self, now: Timestamp, claimed: Claimed) {
        let window = now.as_millis() / WINDOW;
        let winner = self.winners.entry((claimed.key, window));
        assert_eq!(
            *winner.or_insert(claimed.gateway),
            claimed.gateway,
            "{claimed:?} is won by one gateway at {now:?}"
        );
    }

    /// Whether a majority of one voting set granted a key, each under that set.
    pub fn has_won(&self, claimed: Claimed, sets: &[VotingSet]) -> bool {
        let Some(answers) = self.answers.get(&claimed) else {
            return false;
        };
        sets.iter().any(|set| {
            let grant = Answer {
                epoch: set.epoch,
                verdict: ClaimVerdict::Granted,
            };
            let members = set.members.iter();
            let granted = members.filter(|member| answers.get(member) == Some(&grant));
            granted.count() >= set.majority()
        })
    }

    /// The last answer of a voter to a claim.
    pub fn verdict(&self, node: NodeId, claimed: Claimed) -> Option<ClaimVerdict> {
        let answer = self.answers.get(&claimed)?.get(&node)?;
        Some(answer.verdict)
    }
}
