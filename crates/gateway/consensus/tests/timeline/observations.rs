//! Results seen by operators and gateways, and checks that hold in every timeline.

use super::steps::GatewayClaim;
use rushcourse_consensus::{CallOutcome, ClaimAnswer, CommittedConfiguration};
use rushcourse_messages::{ClaimVerdict, DutyState, UsageReport, VotingSet};
use rushcourse_types::{
    ClaimId, ConfigurationVersion, DutySequence, Epoch, Fence, Incarnation, KeyDigest, NodeId,
    Ticket, Timestamp, WindowNumber,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Tickets from this one on belong to reads. The ticket of a put is its version.
const FIRST_READ_TICKET: u64 = 1_000_000;
/// Time in ms within which at most one gateway may win a key: the key window plus the additional retention.
const RETENTION_MS: u64 = 70_000;

/// Text of a version as put by the first operator.
pub fn text(version: ConfigurationVersion) -> Arc<[u8]> {
    Arc::from(version.to_string().as_bytes())
}

/// Text of the same version as put by a second operator.
pub fn rival_text(version: ConfigurationVersion) -> Arc<[u8]> {
    Arc::from(format!("{version}, by another operator").as_bytes())
}

/// The report that a controller makes of a window; those of different controllers differ.
pub fn usage_report(node: NodeId, window: WindowNumber) -> UsageReport {
    UsageReport {
        window,
        body: Arc::from(format!("window {window} by controller {}", node.0).as_bytes()),
    }
}

/// Ticket of a read that starts now.
pub fn read_ticket(now: Timestamp) -> Ticket {
    Ticket(FIRST_READ_TICKET + now.as_millis())
}

/// The claim of a key by a gateway; each gateway claims a key only once.
pub fn claim_id(gateway_claim: GatewayClaim) -> ClaimId {
    ClaimId {
        node: NodeId(1000 + gateway_claim.gateway as u32),
        incarnation: Incarnation(gateway_claim.gateway),
        number: gateway_claim.gateway,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    pub ticket: Ticket,
    pub is_other_text: bool,
}

/// A voter's answer to a claim, with the epoch that the claim named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    pub epoch: Epoch,
    pub verdict: ClaimVerdict,
}

/// Result of a read. `Unknown` also stands for a deployment without a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadResult {
    Version(ConfigurationVersion),
    Unknown,
}

/// Results seen by operators and gateways at each controller.
#[derive(Default)]
pub struct Observations {
    /// Latest acknowledged put.
    pub acknowledged: BTreeMap<NodeId, Acknowledgement>,
    /// Latest put whose result was unknown.
    pub unknown_puts: BTreeMap<NodeId, Ticket>,
    /// Result of the latest read.
    pub reads: BTreeMap<NodeId, ReadResult>,
    /// Latest answer of each voter to each claim.
    pub answers: BTreeMap<GatewayClaim, BTreeMap<NodeId, Answer>>,
    /// Committed text of each version; all controllers must commit the same one.
    committed: BTreeMap<ConfigurationVersion, Arc<[u8]>>,
    /// Chosen state of the usage duty at each position; all controllers must learn the same one.
    duty_states: BTreeMap<DutySequence, DutyState>,
    /// Holder of the usage duty under each fence.
    duty_holders: BTreeMap<Fence, NodeId>,
    /// Settled report of each window.
    settled: BTreeMap<WindowNumber, UsageReport>,
    /// Gateway that won each key, by the index of the retention period.
    winners: BTreeMap<(KeyDigest, u64), u64>,
}

impl Observations {
    /// Records the result of an operator's call.
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
            CallOutcome::Unknown if ticket < Ticket(FIRST_READ_TICKET) => {
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
            "a read returns a text that was put under its version"
        );
        assert_eq!(
            self.committed.get(&version),
            Some(&read.text),
            "a read returns the committed text of its version"
        );
        self.reads.insert(node, ReadResult::Version(version));
    }

    /// Checks that all controllers commit the same text under a version.
    pub fn configuration_committed(&mut self, configuration: CommittedConfiguration) {
        let CommittedConfiguration { version, text } = configuration;
        let first = self.committed.entry(version);
        let first = first.or_insert_with(|| text.clone());
        assert_eq!(
            *first, text,
            "two texts are committed under version {version}"
        );
    }

    /// Checks that all controllers learn the same state of the usage duty at a position, that a fence has one holder, and
    /// that a window is settled once.
    pub fn duty_committed(&mut self, state: DutyState) {
        let holder = self.duty_holders.entry(state.fence).or_insert(state.holder);
        assert_eq!(
            *holder, state.holder,
            "two holders of fence {}",
            state.fence
        );
        for report in &state.undelivered {
            let first = self.settled.entry(report.window);
            let first = first.or_insert_with(|| report.clone());
            assert_eq!(first, report, "window {} is settled twice", report.window);
        }
        let first = self.duty_states.entry(state.sequence);
        let first = first.or_insert_with(|| state.clone());
        assert_eq!(*first, state, "two states at position {}", state.sequence);
    }

    /// Records a voter's answer to a claim. `sets` are the voting sets adopted by the running controllers.
    pub fn claim_answered(
        &mut self,
        now: Timestamp,
        node: NodeId,
        answer: &ClaimAnswer,
        sets: &[VotingSet],
    ) {
        let gateway_claim = GatewayClaim {
            key: answer.key,
            gateway: answer.claim.incarnation.0,
        };
        let answers = self.answers.entry(gateway_claim).or_default();
        let answer = Answer {
            epoch: answer.epoch,
            verdict: answer.verdict,
        };
        answers.insert(node, answer);
        if self.has_won(gateway_claim, sets) {
            self.record_winner(now, gateway_claim);
        }
    }

    /// Checks that only one gateway wins a key within its retention period, across all voting sets.
    fn record_winner(&mut self, now: Timestamp, gateway_claim: GatewayClaim) {
        let window = now.as_millis() / RETENTION_MS;
        let winner = self.winners.entry((gateway_claim.key, window));
        assert_eq!(
            *winner.or_insert(gateway_claim.gateway),
            gateway_claim.gateway,
            "{gateway_claim:?}: another gateway has won the key in this period, at {now:?}"
        );
    }

    /// Whether a majority of one of the voting sets granted the claim under that set's epoch.
    pub fn has_won(&self, gateway_claim: GatewayClaim, sets: &[VotingSet]) -> bool {
        let Some(answers) = self.answers.get(&gateway_claim) else {
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

    /// Latest verdict of a voter on a claim; `None` if it has not answered yet.
    pub fn verdict(&self, node: NodeId, gateway_claim: GatewayClaim) -> Option<ClaimVerdict> {
        let answer = self.answers.get(&gateway_claim)?.get(&node)?;
        Some(answer.verdict)
    }
}
