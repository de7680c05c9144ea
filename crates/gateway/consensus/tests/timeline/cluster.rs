//! A deterministic cluster of controllers: a network with a fixed delay and partitions, and disks that stall, refuse
//! writes or lose data.

use super::observations::{
    Acknowledgement, Observations, ReadResult, claim_id, read_ticket, rival_text, text,
    usage_report,
};
use super::steps::{Action, DiskMode, DutyAction, Expectation, GatewayClaim};
use rushcourse_consensus::{
    ClaimRequest, ConsensusNode, DurableState, Effect, Input, ReplicaSummary,
};
use rushcourse_messages::{ClaimVerdict, DutyState, Message, Slot, VotingSet};
use rushcourse_modelcheck::simulation::{Deployment, SimulatedController, UnsyncedWrites};
use rushcourse_types::{
    ConfigurationVersion, DutySequence, Epoch, KeyAlias, NodeId, OperationKeys, SessionId, Ticket,
    Timestamp, WallTime,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const TICK_INTERVAL_MS: u64 = 50;
const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// Wall clock time at the start of a timeline, in ms.
const INITIAL_WALL_TIME_MS: u64 = 1_000_000;

struct Controller {
    simulated: SimulatedController,
    disk: DiskMode,
    /// Contents of the disk at the last [`Action::CopyDisk`].
    disk_copy: DurableState,
    is_isolated: bool,
    /// Offset of the controller's wall clock, in ms.
    wall_clock_offset_ms: i64,
}

/// A message in flight. It is lost if its sender or its receiver restarts before delivery.
struct InFlightMessage {
    due: Timestamp,
    from: NodeId,
    to: NodeId,
    /// Number of starts of the sender and the receiver when the message was sent.
    starts: (u64, u64),
    message: Message,
}

pub struct Cluster {
    now: Timestamp,
    deployment: Deployment,
    controllers: BTreeMap<NodeId, Controller>,
    in_flight: VecDeque<InFlightMessage>,
    observations: Observations,
}

impl Cluster {
    pub fn new(count: u32) -> Cluster {
        let controller = |node: NodeId| Controller {
            simulated: SimulatedController::new(node, DurableState::default(), true),
            disk: DiskMode::Syncs,
            disk_copy: DurableState::default(),
            is_isolated: false,
            wall_clock_offset_ms: 0,
        };
        Cluster {
            now: Timestamp::ZERO,
            deployment: Deployment {
                controller_count: count,
                zone_count: 4,
                tolerated_losses: 1,
                catch_up: Duration::from_millis(4_000),
                key_window: Duration::from_millis(60_000),
            },
            controllers: (1..=count)
                .map(NodeId)
                .map(|node| (node, controller(node)))
                .collect(),
            in_flight: VecDeque::new(),
            observations: Observations::default(),
        }
    }

    fn controller_mut(&mut self, node: NodeId) -> &mut Controller {
        self.controllers
            .get_mut(&node)
            .expect("the timeline has a column for this controller")
    }

    fn is_connected(&self, one: NodeId, other: NodeId) -> bool {
        [one, other].iter().all(|node| {
            let controller = &self.controllers[node];
            controller.simulated.is_running() && !controller.is_isolated
        })
    }

    fn starts(&self, one: NodeId, other: NodeId) -> (u64, u64) {
        let starts = |node: NodeId| self.controllers[&node].simulated.start_count();
        (starts(one), starts(other))
    }

    fn voting_sets(&self) -> Vec<VotingSet> {
        let nodes = self.controllers.values();
        let nodes = nodes.filter_map(|controller| controller.simulated.node());
        nodes.map(|node| node.voting_set().clone()).collect()
    }

    /// Advances the time in steps of one millisecond, delivering ticks, disk results and messages that are due.
    pub fn run_until(&mut self, end: Timestamp) {
        let nodes: Vec<NodeId> = self.controllers.keys().copied().collect();
        while self.now < end {
            self.now += Duration::from_millis(1);
            for node in &nodes {
                self.write_disk(*node);
                if (self.now.as_millis() + u64::from(node.0)).is_multiple_of(TICK_INTERVAL_MS) {
                    self.step(*node, Input::Tick);
                }
            }
            while let Some(in_flight) = self
                .in_flight
                .pop_front_if(|in_flight| in_flight.due <= self.now)
            {
                self.deliver(in_flight);
            }
        }
    }

    /// Syncs or refuses all pending batches. Batches written in response are handled in the next millisecond.
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

    fn deliver(&mut self, in_flight: InFlightMessage) {
        let InFlightMessage {
            from, to, message, ..
        } = in_flight;
        if self.is_connected(from, to) && self.starts(from, to) == in_flight.starts {
            self.step(to, Input::MessageReceived { from, message });
        }
    }

    fn step(&mut self, node: NodeId, input: Input) {
        let now = self.now;
        let controller = self.controller_mut(node);
        // The wall clock advances with the monotonic clock, from an arbitrary start and with an offset that steps.
        let wall_time_ms = now.as_millis() + INITIAL_WALL_TIME_MS;
        let wall_time = WallTime(wall_time_ms.wrapping_add_signed(controller.wall_clock_offset_ms));
        for effect in controller.simulated.step(now, wall_time, input) {
            self.apply_effect(node, effect);
        }
    }

    fn apply_effect(&mut self, node: NodeId, effect: Effect) {
        match effect {
            Effect::Write(batch) => self.controller_mut(node).simulated.disk.write(batch),
            Effect::Send { to, message } => self.in_flight.push_back(InFlightMessage {
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
            Effect::DutyCommitted(state) => self.observations.duty_committed(state),
            Effect::VotingSetAdopted(_) | Effect::Log(_) => {}
        }
    }

    pub fn apply(&mut self, node: NodeId, action: Action) {
        match action {
            Action::Start => self.start(node),
            Action::StartLater => {
                self.controller_mut(node).simulated.is_first_start = false;
                self.start(node);
            }
            Action::ShutDown => self.step(node, Input::ShutDown),
            Action::Kill => self.stop(node, UnsyncedWrites::Written),
            Action::LosePower => self.stop(node, UnsyncedWrites::Lost),
            Action::WipeDisk => {
                self.stop(node, UnsyncedWrites::Lost);
                let disk = &mut self.controller_mut(node).simulated.disk;
                disk.replace(DurableState::default());
            }
            Action::CopyDisk => {
                let controller = self.controller_mut(node);
                controller.disk_copy = controller.simulated.disk.durable().clone();
            }
            Action::RestoreDisk => self.restore_disk(node),
            Action::Put(version) => self.put(node, version, false),
            Action::PutRival(version) => self.put(node, version, true),
            Action::Get => {
                self.observations.reads.remove(&node);
                let ticket = read_ticket(self.now);
                self.step(node, Input::GetConfiguration { ticket });
            }
            Action::Claim(gateway_claim, alias) => self.claim(node, gateway_claim, alias),
            Action::Withdraw(gateway_claim) => {
                let (key, claim) = (gateway_claim.key, claim_id(gateway_claim));
                self.step(node, Input::WithdrawClaim { key, claim });
            }
            Action::StepWallClock(ms) => self.controller_mut(node).wall_clock_offset_ms += ms,
            Action::SetDisk(mode) => self.controller_mut(node).disk = mode,
            Action::Duty(action) => self.propose_duty(node, action),
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

    /// Restarts a controller with the contents that its disk had at the last [`Action::CopyDisk`].
    fn restore_disk(&mut self, node: NodeId) {
        self.stop(node, UnsyncedWrites::Lost);
        let controller = self.controller_mut(node);
        let copy = controller.disk_copy.clone();
        controller.simulated.disk.replace(copy);
        self.start(node);
    }

    fn start(&mut self, node: NodeId) {
        let deployment = self.deployment;
        let controller = self.controller_mut(node);
        controller.disk = DiskMode::Syncs;
        controller.simulated.start(&deployment);
        self.connect_to_all(node);
    }

    fn stop(&mut self, node: NodeId, unsynced: UnsyncedWrites) {
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

    /// Proposes the state that follows the newest one known to the controller, whether or not it holds the duty.
    fn propose_duty(&mut self, node: NodeId, action: DutyAction) {
        let name = format!("controller-{}", node.0);
        let running = self.controllers[&node].simulated.node();
        let known = running.and_then(ConsensusNode::duty);
        let next = match (known, action) {
            (None, _) => Some(DutyState::first(node, &name)),
            (Some(known), DutyAction::SkipPosition) => {
                Some(known.take_over(node, &name).take_over(node, &name))
            }
            (Some(known), DutyAction::TakeOver) => Some(known.take_over(node, &name)),
            (Some(known), DutyAction::Settle(window)) => {
                known.settle(usage_report(node, window)).ok()
            }
            (Some(known), DutyAction::Delivered(window)) => Some(known.delivered(window)),
        };
        if let Some(next) = next {
            self.step(node, Input::ProposeDuty(next));
        }
    }

    fn claim(&mut self, node: NodeId, gateway_claim: GatewayClaim, alias: Option<KeyAlias>) {
        let running = self.controllers[&node].simulated.node();
        let epoch = running.map_or(Epoch::NONE, |node| node.voting_set().epoch);
        let request = ClaimRequest {
            session: SessionId(gateway_claim.gateway),
            epoch,
            keys: OperationKeys {
                key: gateway_claim.key,
                alias,
            },
            claim: claim_id(gateway_claim),
        };
        self.step(node, Input::Claim(request));
    }

    /// Checks an expectation at a controller; `location` identifies the step in failure messages.
    pub fn check(&self, node: NodeId, expectation: &Expectation, location: &str) {
        let running = self.controllers[&node].simulated.node();
        let summary = running.map(ConsensusNode::summary);
        match expectation {
            Expectation::Granted(gateway_claim)
            | Expectation::Denied(gateway_claim)
            | Expectation::Abstained(gateway_claim)
            | Expectation::Pending(gateway_claim)
            | Expectation::Won(gateway_claim)
            | Expectation::Lost(gateway_claim) => {
                self.check_claim(node, expectation, *gateway_claim, location)
            }
            Expectation::Committed(version) => {
                assert_eq!(summary.map(|s| s.committed), Some(*version), "{location}");
            }
            Expectation::Epoch(epoch) => {
                assert_eq!(
                    summary.map(|s| s.voting_set.epoch),
                    Some(*epoch),
                    "{location}"
                );
            }
            Expectation::Voters(members) => {
                let found = summary.map(|s| s.voting_set.members);
                assert_eq!(found.as_ref(), Some(members), "{location}");
            }
            Expectation::Votes => assert!(summary.is_some_and(votes), "{location}"),
            Expectation::DoesNotVote => assert!(summary.is_some_and(|s| !votes(s)), "{location}"),
            Expectation::Duty(_)
            | Expectation::Holder(_)
            | Expectation::Fence(_)
            | Expectation::Settled(_)
            | Expectation::DutyRecords(_) => self.check_duty(node, expectation, location),
            _ => self.check_calls(node, expectation, location),
        }
    }

    fn check_duty(&self, node: NodeId, expectation: &Expectation, location: &str) {
        let simulated = &self.controllers[&node].simulated;
        let state = simulated.node().and_then(ConsensusNode::duty);
        let is_met = match expectation {
            Expectation::Duty(sequence) => {
                state.map_or(DutySequence::NONE, |state| state.sequence) == *sequence
            }
            Expectation::Holder(holder) => state.is_some_and(|state| state.holder == *holder),
            Expectation::Fence(fence) => state.is_some_and(|state| state.fence == *fence),
            Expectation::Settled(window) => {
                state.is_some_and(|state| state.settled_through == Some(*window))
            }
            Expectation::DutyRecords(count) => duty_records(simulated.disk.durable()) == *count,
            other => panic!("{location}: {other:?} is not an expectation about the duty"),
        };
        let on_disk = duty_records(simulated.disk.durable());
        assert!(is_met, "{location}: {state:?}, {on_disk} records on disk");
    }

    fn check_calls(&self, node: NodeId, expectation: &Expectation, location: &str) {
        let observations = &self.observations;
        let acknowledged = observations.acknowledged.get(&node);
        match expectation {
            Expectation::Acknowledged(version) => {
                let ticket = acknowledged.map(|put| put.ticket);
                assert_eq!(ticket, Some(Ticket(version.0)), "{location}");
            }
            Expectation::AcknowledgedOther(version) => {
                let expected = Acknowledgement {
                    ticket: Ticket(version.0),
                    is_other_text: true,
                };
                assert_eq!(acknowledged, Some(&expected), "{location}");
            }
            Expectation::UnknownPut(version) => {
                let ticket = observations.unknown_puts.get(&node);
                assert_eq!(ticket, Some(&Ticket(version.0)), "{location}");
            }
            Expectation::Read(version) => {
                let expected = ReadResult::Version(*version);
                assert_eq!(observations.reads.get(&node), Some(&expected), "{location}");
            }
            Expectation::UnknownRead => {
                let expected = ReadResult::Unknown;
                assert_eq!(observations.reads.get(&node), Some(&expected), "{location}");
            }
            other => panic!("{location}: {other:?} is not an expectation about a call"),
        }
    }

    fn check_claim(
        &self,
        node: NodeId,
        expectation: &Expectation,
        gateway_claim: GatewayClaim,
        location: &str,
    ) {
        let verdict = self.observations.verdict(node, gateway_claim);
        let has_won = self
            .observations
            .has_won(gateway_claim, &self.voting_sets());
        let is_granted = verdict == Some(ClaimVerdict::Granted);
        let answers = &self.observations.answers;
        match expectation {
            Expectation::Granted(_) => assert!(is_granted, "{location}: {verdict:?}"),
            Expectation::Denied(_) => {
                assert!(verdict.is_some() && !is_granted, "{location}: {verdict:?}");
            }
            Expectation::Abstained(_) => {
                assert_eq!(verdict, Some(ClaimVerdict::Abstained), "{location}");
            }
            Expectation::Pending(_) => assert_eq!(verdict, None, "{location}"),
            Expectation::Won(_) => assert!(has_won, "{location}: {answers:?}"),
            Expectation::Lost(_) => assert!(!has_won, "{location}: {answers:?}"),
            other => panic!("{location}: {other:?} is not an expectation about a claim"),
        }
    }
}

fn duty_records(durable: &DurableState) -> usize {
    let slots = durable.records.iter().map(|stored| stored.slot);
    slots
        .filter(|slot| matches!(slot, Slot::UsageDuty(_)))
        .count()
}

fn votes(summary: ReplicaSummary) -> bool {
    summary.is_voter
}
