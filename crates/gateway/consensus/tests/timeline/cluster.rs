//! A deterministic cluster of controllers: a network with a fixed delay and partitions, disks that hold back, lose and
//! refuse.

use super::observations::{
    Acknowledgement, Observations, ReadResult, claim_id, read_ticket, rival_text, text,
};
use super::steps::{Action, Claimed, DiskMode, Expectation};
use rushcourse_consensus::{
    ClaimRequest, ConsensusNode, DurableState, Effect, Input, ReplicaSummary,
};
use rushcourse_messages::{ClaimVerdict, Message, VotingSet};
use rushcourse_modelcheck::simulation::{Deployment, SimulatedController, Unsynced};
use rushcourse_types::{
    ConfigurationVersion, Epoch, NodeId, SessionId, Ticket, Timestamp, WallTime,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const TICK: u64 = 50;
const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// The time of day at the start, ms.
const START_OF_DAY: u64 = 1_000_000;

struct Controller {
    simulated: SimulatedController,
    disk: DiskMode,
    /// Its disk when it was copied last.
    copied: DurableState,
    is_isolated: bool,
    /// ms by which its time of day is off.
    clock_offset: i64,
}

/// A message on its way. What was sent to or by an earlier incarnation is lost.
struct Mail {
    due: Timestamp,
    from: NodeId,
    to: NodeId,
    /// How often sender and receiver had been started.
    starts: (u64, u64),
    message: Message,
}

pub struct Cluster {
    now: Timestamp,
    deployment: Deployment,
    controllers: BTreeMap<NodeId, Controller>,
    mail: VecDeque<Mail>,
    observations: Observations,
}

impl Cluster {
    pub fn new(count: u32) -> Cluster {
        let controller = |node: NodeId| Controller {
            simulated: SimulatedController::new(node, DurableState::default(), true),
            disk: DiskMode::Syncs,
            copied: DurableState::default(),
            is_isolated: false,
            clock_offset: 0,
        };
        Cluster {
            now: Timestamp::ZERO,
            deployment: Deployment {
                controllers: count,
                zones: 4,
                tolerated_losses: 1,
                catch_up: Duration::from_millis(4_000),
                key_window: Duration::from_millis(60_000),
            },
            controllers: (1..=count)
                .map(NodeId)
                .map(|node| (node, controller(node)))
                .collect(),
            mail: VecDeque::new(),
            observations: Observations::default(),
        }
    }

    fn controller_mut(&mut self, node: NodeId) -> &mut Controller {
        self.controllers.get_mut(&node).expect("a controller")
    }

    fn is_connected(&self, one: NodeId, other: NodeId) -> bool {
        [one, other].iter().all(|node| {
            let controller = &self.controllers[node];
            controller.simulated.is_running() && !controller.is_isolated
        })
    }

    fn starts(&self, one: NodeId, other: NodeId) -> (u64, u64) {
        let starts = |node: NodeId| self.controllers[&node].simulated.starts();
        (starts(one), starts(other))
    }

    fn voting_sets(&self) -> Vec<VotingSet> {
        let nodes = self.controllers.values();
        let nodes = nodes.filter_map(|controller| controller.simulated.node());
        nodes.map(|node| node.voting_set().clone()).collect()
    }

    /// Lets time pass in steps of a millisecond.
    pub fn run_until(&mut self, end: Timestamp) {
        let nodes: Vec<NodeId> = self.controllers.keys().copied().collect();
        while self.now < end {
            self.now += Duration::from_millis(1);
            for node in &nodes {
                self.write_disk(*node);
                if (self.now.as_millis() + u64::from(node.0)).is_multiple_of(TICK) {
                    self.step(*node, Input::Tick);
                }
            }
            while let Some(mail) = self.mail.pop_front_if(|mail| mail.due <= self.now) {
                self.deliver(mail);
            }
        }
    }

    /// The disk syncs or refuses all batches that wait; what is written meanwhile waits a millisecond more.
    fn write_disk(&mut self, node: NodeId) {
        let controller = self.controller_mut(node);
        let disk = &mut controller.simulated.disk;
        let mut inputs = Vec::new();
        for _ in 0..disk.unsynced_count() {
            match controller.disk {
                DiskMode::Syncs => inputs.extend(disk.sync().map(Input::BatchSynced)),
                DiskMode::Refuses => inputs.extend(disk.refuse().map(Input::BatchRefused)),
                DiskMode::Stalls => {}
            }
        }
        for input in inputs {
            self.step(node, input);
        }
    }

    fn deliver(&mut self, mail: Mail) {
        let Mail {
            from, to, message, ..
        } = mail;
        if self.is_connected(from, to) && self.starts(from, to) == mail.starts {
            self.step(to, Input::MessageReceived { from, message });
        }
    }

    fn step(&mut self, node: NodeId, input: Input) {
        let now = self.now;
        let controller = self.controller_mut(node);
        // The time of day runs with the clock, from some day on, and may step.
        let time_of_day = now.as_millis() + START_OF_DAY;
        let wall = WallTime(time_of_day.wrapping_add_signed(controller.clock_offset));
        for effect in controller.simulated.step(now, wall, input) {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, node: NodeId, effect: Effect) {
        match effect {
            Effect::Write(batch) => self.controller_mut(node).simulated.disk.write(batch),
            Effect::Send { to, message } => self.mail.push_back(Mail {
                due: self.now + NETWORK_DELAY,
                from: node,
                to,
                starts: self.starts(node, to),
                message,
            }),
            Effect::AnswerClaim(answer) => {
                let sets = self.voting_sets();
                self.observations
                    .claim_answered(self.now, node, &answer, &sets);
            }
            Effect::AnswerCall { ticket, outcome } => {
                self.observations.call_answered(node, ticket, outcome);
            }
            Effect::ConfigurationCommitted(configuration) => {
                self.observations.configuration_committed(configuration);
            }
            Effect::VotingSetAdopted(_) | Effect::Log(_) => {}
        }
    }

    /// Something happens to a controller.
    pub fn act(&mut self, node: NodeId, action: Action) {
        match action {
            Action::Start => self.start(node),
            Action::StartLater => {
                self.controller_mut(node).simulated.is_first_start = false;
                self.start(node);
            }
            Action::ShutDown => self.step(node, Input::ShutDown),
            Action::Kill => self.stop(node, Unsynced::Written),
            Action::LosePower => self.stop(node, Unsynced::Lost),
            Action::WipeDisk => {
                self.stop(node, Unsynced::Lost);
                let disk = &mut self.controller_mut(node).simulated.disk;
                disk.replace(DurableState::default());
            }
            Action::CopyDisk => {
                let controller = self.controller_mut(node);
                controller.copied = controller.simulated.disk.durable().clone();
            }
            Action::RestoreDisk => {
                self.stop(node, Unsynced::Lost);
                let controller = self.controller_mut(node);
                controller.simulated.disk.replace(controller.copied.clone());
                self.start(node);
            }
            Action::Put(version) => self.put(node, version, false),
            Action::PutRival(version) => self.put(node, version, true),
            Action::Get => {
                self.observations.reads.remove(&node);
                let ticket = read_ticket(self.now);
                self.step(node, Input::GetConfiguration { ticket });
            }
            Action::Claim(claimed) => self.claim(node, claimed),
            Action::Withdraw(claimed) => {
                let (key, claim) = (claimed.key, claim_id(claimed));
                self.step(node, Input::WithdrawClaim { key, claim });
            }
            Action::StepTimeOfDay(ms) => self.controller_mut(node).clock_offset += ms,
            Action::SetDisk(mode) => self.controller_mut(node).disk = mode,
            Action::Isolate => {
                self.disconnect_from_all(node);
                self.controller_mut(node).is_isolated = true;
            }
            Action::Reconnect => {
                self.controller_mut(node).is_isolated = false;
                self.connect_to_all(node);
            }
        }
    }

    fn start(&mut self, node: NodeId) {
        let deployment = self.deployment;
        let controller = self.controller_mut(node);
        controller.disk = DiskMode::Syncs;
        controller.simulated.start(&deployment);
        self.connect_to_all(node);
    }

    fn stop(&mut self, node: NodeId, unsynced: Unsynced) {
        self.disconnect_from_all(node);
        self.controller_mut(node).simulated.stop(unsynced);
    }

    fn connected_peers(&self, node: NodeId) -> Vec<NodeId> {
        let peers = self.controllers.keys().copied();
        let peers = peers.filter(|peer| *peer != node && self.is_connected(node, *peer));
        peers.collect()
    }

    fn connect_to_all(&mut self, node: NodeId) {
        for peer in self.connected_peers(node) {
            self.peer_connected(peer, node);
            self.peer_connected(node, peer);
        }
    }

    fn peer_connected(&mut self, node: NodeId, peer: NodeId) {
        let zone = self.deployment.zone(peer);
        self.step(node, Input::PeerConnected { peer, zone });
    }

    fn disconnect_from_all(&mut self, node: NodeId) {
        for peer in self.connected_peers(node) {
            self.step(peer, Input::PeerDisconnected(node));
            self.step(node, Input::PeerDisconnected(peer));
        }
    }

    fn put(&mut self, node: NodeId, version: ConfigurationVersion, is_rival: bool) {
        let text = if is_rival {
            rival_text(version)
        } else {
            text(version)
        };
        let put = Input::PutConfiguration {
            ticket: Ticket(version.0),
            version,
            text,
        };
        self.step(node, put);
    }

    fn claim(&mut self, node: NodeId, claimed: Claimed) {
        let running = self.controllers[&node].simulated.node();
        let epoch = running.map_or(Epoch::NONE, |node| node.voting_set().epoch);
        let request = ClaimRequest {
            session: SessionId(claimed.gateway),
            epoch,
            key: claimed.key,
            claim: claim_id(claimed),
        };
        self.step(node, Input::Claim(request));
    }

    /// Checks what is expected of a controller.
    pub fn check(&self, node: NodeId, expectation: &Expectation, place: &str) {
        let running = self.controllers[&node].simulated.node();
        let summary = running.map(ConsensusNode::summary);
        match expectation {
            Expectation::Granted(claimed)
            | Expectation::Denied(claimed)
            | Expectation::Pending(claimed)
            | Expectation::Won(claimed)
            | Expectation::Lost(claimed) => self.check_claim(node, expectation, *claimed, place),
            Expectation::Committed(version) => {
                assert_eq!(summary.map(|s| s.committed), Some(*version), "{place}");
            }
            Expectation::Epoch(epoch) => {
                assert_eq!(summary.map(|s| s.voting_set.epoch), Some(*epoch), "{place}");
            }
            Expectation::Voters(members) => {
                let found = summary.map(|s| s.voting_set.members);
                assert_eq!(found.as_ref(), Some(members), "{place}");
            }
            Expectation::Votes => assert!(summary.is_some_and(votes), "{place}"),
            Expectation::Silent => assert!(summary.is_some_and(|s| !votes(s)), "{place}"),
            _ => self.check_calls(node, expectation, place),
        }
    }

    fn check_calls(&self, node: NodeId, expectation: &Expectation, place: &str) {
        let seen = &self.observations;
        let acknowledged = seen.acknowledged.get(&node);
        match expectation {
            Expectation::Acknowledged(version) => {
                let ticket = acknowledged.map(|put| put.ticket);
                assert_eq!(ticket, Some(Ticket(version.0)), "{place}");
            }
            Expectation::AcknowledgedOther(version) => {
                let expected = Acknowledgement {
                    ticket: Ticket(version.0),
                    is_other_text: true,
                };
                assert_eq!(acknowledged, Some(&expected), "{place}");
            }
            Expectation::UnknownPut(version) => {
                let ticket = seen.unknown_puts.get(&node);
                assert_eq!(ticket, Some(&Ticket(version.0)), "{place}");
            }
            Expectation::Read(version) => {
                let expected = ReadResult::Version(*version);
                assert_eq!(seen.reads.get(&node), Some(&expected), "{place}");
            }
            Expectation::UnknownRead => {
                let expected = ReadResult::Unknown;
                assert_eq!(seen.reads.get(&node), Some(&expected), "{place}");
            }
            other => panic!("{place}: {other:?} is not about a call"),
        }
    }

    fn check_claim(&self, node: NodeId, expectation: &Expectation, claimed: Claimed, place: &str) {
        let verdict = self.observations.verdict(node, claimed);
        let has_won = self.observations.has_won(claimed, &self.voting_sets());
        let is_granted = verdict == Some(ClaimVerdict::Granted);
        let answers = &self.observations.answers;
        match expectation {
            Expectation::Granted(_) => assert!(is_granted, "{place}: {verdict:?}"),
            Expectation::Denied(_) => {
                assert!(verdict.is_some() && !is_granted, "{place}: {verdict:?}");
            }
            Expectation::Pending(_) => assert_eq!(verdict, None, "{place}"),
            Expectation::Won(_) => assert!(has_won, "{place}: {answers:?}"),
            Expectation::Lost(_) => assert!(!has_won, "{place}: {answers:?}"),
            other => panic!("{place}: {other:?} is not about a claim"),
        }
    }
}

fn votes(summary: ReplicaSummary) -> bool {
    summary.is_voter
}
