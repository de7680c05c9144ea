//! The explored state: controllers with disks, gateways that claim one operation key, and operators. Exploration clones
//! the state and applies an action to the clone.
//!
//! * `enabled_actions.rs`: the actions that are possible in a state; `apply.rs`: the effect of each.
//! * `network.rs`: links and sessions; `delivery.rs`: sending and delivery of messages.
//! * `controllers.rs`: steps of controllers and their effects; `gateways.rs`: claims of gateways.
//! * `mutations.rs`: changes to inputs, effects and messages that disable a safeguard.
//! * `settling.rs`: recovery after all faults have ended.

mod apply;
mod controllers;
mod delivery;
mod enabled_actions;
mod gateways;
mod mutations;
mod network;
mod settling;

use crate::checker::Checker;
use crate::mutation::Mutation;
use crate::scene::{Budget, Scene};
use crate::simulation::{Deployment, SimulatedController};
use crate::submission::Submission;
use crate::violation::Violation;
use network::{Link, Network};
use rushcourse_consensus::{DurableState, ReplicaSummary};
use rushcourse_messages::{Message, VotingSet};
use rushcourse_routing::Claims;
use rushcourse_types::{
    ClaimId, ConfigurationVersion, Epoch, Incarnation, KeyDigest, NodeId, SessionId, Timestamp,
    WallTime,
};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::hash::{DefaultHasher, Hasher};
use std::time::Duration;

/// Duration of a wait: the time for which gateways count grants. Five waits exceed the delay after which a member that
/// lost its disk requests snapshots.
const WAIT: Duration = Duration::from_millis(450);
/// Replica setting `catch_up_s`. A member is replaced after an absence of 0.6 of it, which is less than one wait.
const CATCH_UP: Duration = Duration::from_millis(700);
/// Number of machines that may fail at the same time.
const TOLERATED_LOSSES: usize = 1;
/// Time for which a claim holds its key; longer than any exploration.
const KEY_WINDOW: Duration = Duration::from_millis(60_000);
/// Wall clock at the start of the simulation.
const INITIAL_WALL_TIME_MS: u64 = 1_000_000;
/// The operation key that all gateways claim.
const KEY: KeyDigest = KeyDigest(7);
/// Node id of the first gateway; the others follow in sequence. Controllers have lower ids.
const FIRST_GATEWAY: NodeId = NodeId(100);

/// A controller, its disk and its connectivity.
#[derive(Clone, Debug)]
struct Controller {
    simulated: SimulatedController,
    /// Disk contents in the initial state.
    initial_disk: DurableState,
    /// Whether the disk was replaced by its initial contents and the controller has not voted since.
    has_old_disk: bool,
    /// Whether the machine is permanently lost.
    is_lost: bool,
    /// Whether the controller is disconnected from all other controllers.
    is_isolated: bool,
    /// Whether the process is suspended.
    is_paused: bool,
    /// Sessions that this controller considers open, by peer.
    sessions: BTreeMap<NodeId, SessionId>,
    /// Version committed here since the last start.
    committed: ConfigurationVersion,
}

impl Controller {
    /// Creates a stopped controller. In an initialized deployment, members of `voting_set` have it on disk with
    /// complete state.
    fn new(scene: &Scene, voting_set: &VotingSet, node: NodeId) -> Controller {
        let durable = if scene.is_first_start || !voting_set.contains(node) {
            DurableState::default()
        } else {
            DurableState {
                voting_set: voting_set.clone(),
                has_complete_state: true,
                ..DurableState::default()
            }
        };
        Controller {
            simulated: SimulatedController::new(node, durable.clone(), scene.is_first_start),
            initial_disk: durable,
            has_old_disk: false,
            is_lost: false,
            is_isolated: false,
            is_paused: false,
            sessions: BTreeMap::new(),
            committed: ConfigurationVersion::NONE,
        }
    }

    fn is_running(&self) -> bool {
        self.simulated.is_running()
    }

    fn has_unsynced(&self) -> bool {
        self.simulated.disk.unsynced_count() > 0
    }

    fn has_complete_state(&self) -> bool {
        self.simulated.disk.durable().has_complete_state && !self.has_old_disk
    }

    /// Whether the controller is running and has not verified yet that its disk is the newest one that it had.
    fn is_recovering(&self) -> bool {
        let node = self.simulated.node();
        node.is_some_and(|node| node.summary().is_recovering)
    }

    /// Whether the controller is running and votes in its voting set.
    fn is_voter(&self) -> bool {
        let node = self.simulated.node();
        node.is_some_and(|node| node.summary().is_voter)
    }
}

/// A gateway and its claims of [`KEY`].
#[derive(Clone, Debug)]
struct Gateway {
    claims: Claims,
    incarnation: Incarnation,
    /// Number of claims started by this incarnation.
    claims_begun: u32,
    /// Claim that was won and whose request has not been sent.
    won_claim: Option<ClaimId>,
}

/// State of all nodes, of the network and of the checker during the exploration of a scene.
#[derive(Clone)]
pub struct World<'a> {
    scene: &'a Scene,
    /// The mutation in effect, if any.
    mutation: Option<Mutation>,
    now: Timestamp,
    controllers: BTreeMap<NodeId, Controller>,
    gateways: BTreeMap<NodeId, Gateway>,
    network: Network,
    /// Remaining faults, waits and reads.
    budget: Budget,
    /// Configurations that have not been submitted yet.
    submissions: Vec<Submission>,
    /// Latest status report delivered on each link since its session was established. Recorded only in scenes that
    /// detect `ReportsNeverExpire`.
    last_reports: BTreeMap<Link, Message>,
    checker: Checker,
}

impl<'a> World<'a> {
    /// Creates the world of a scene and starts all controllers; setup actions are not applied yet.
    pub fn new(scene: &'a Scene) -> World<'a> {
        let members: Vec<NodeId> = (1..=scene.members).map(NodeId).collect();
        let voting_set = VotingSet {
            epoch: Epoch(1),
            members,
        };
        let controllers = (1..=scene.members + scene.standbys).map(NodeId);
        let controllers: BTreeMap<NodeId, Controller> = controllers
            .map(|node| (node, Controller::new(scene, &voting_set, node)))
            .collect();
        let gateways = (0..scene.clients.gateways).map(|index| NodeId(FIRST_GATEWAY.0 + index));
        let mut world = World {
            scene,
            mutation: None,
            now: Timestamp::ZERO,
            controllers,
            gateways: gateways
                .map(|node| (node, new_gateway(node, Incarnation(1), &voting_set)))
                .collect(),
            network: Network::default(),
            budget: scene.budget,
            submissions: scene.clients.submissions.to_vec(),
            last_reports: BTreeMap::new(),
            checker: if scene.is_first_start {
                Checker::default()
            } else {
                Checker::with_voting_set(voting_set)
            },
        };
        for node in world.controller_ids() {
            world.start(node);
        }
        if !scene.is_first_start {
            world.deliver_all();
        }
        world
    }

    /// Creates the world of a scene and applies its setup actions. The mutation takes effect after them.
    pub fn after_setup(scene: &'a Scene, mutation: Option<Mutation>) -> World<'a> {
        let mut world = World::new(scene);
        for action in scene.setup_actions {
            world.apply(*action);
        }
        world.budget = scene.budget;
        world.submissions = scene.clients.submissions.to_vec();
        world.mutation = mutation;
        world
    }

    /// The latest violation, if any.
    pub fn violation(&self) -> Option<&Violation> {
        self.checker.violation()
    }

    /// The voting set with the highest epoch that any controller has adopted.
    pub fn newest_voting_set(&self) -> &VotingSet {
        self.checker.newest_voting_set()
    }

    /// Summary of a controller's replica; `None` while it is stopped.
    pub fn summary(&self, node: NodeId) -> Option<ReplicaSummary> {
        let node = self.controllers.get(&node)?.simulated.node()?;
        Some(node.summary())
    }

    /// Hash of the state. Equal worlds of a scene have equal fingerprints.
    pub fn fingerprint(&self) -> u64 {
        let World {
            scene: _,
            mutation: _,
            now,
            controllers,
            gateways,
            network,
            budget,
            submissions,
            last_reports,
            checker,
        } = self;
        let mut text = TextHasher(DefaultHasher::new());
        let state = (
            now,
            controllers,
            gateways,
            network,
            budget,
            submissions,
            last_reports,
            checker,
        );
        write!(text, "{state:?}").expect("writing to a hasher does not fail");
        text.0.finish()
    }

    fn has_mutation(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn deployment(&self) -> Deployment {
        Deployment {
            controller_count: self.scene.members,
            // Each controller has a zone of its own.
            zone_count: u32::MAX,
            tolerated_losses: TOLERATED_LOSSES,
            catch_up: CATCH_UP,
            key_window: KEY_WINDOW,
        }
    }

    fn wall_time(&self) -> WallTime {
        WallTime(self.now.as_millis() + INITIAL_WALL_TIME_MS)
    }

    fn controller_ids(&self) -> Vec<NodeId> {
        self.controllers.keys().copied().collect()
    }

    fn controller(&self, node: NodeId) -> &Controller {
        &self.controllers[&node]
    }

    fn controller_mut(&mut self, node: NodeId) -> &mut Controller {
        self.controllers
            .get_mut(&node)
            .expect("the scene has this controller")
    }
}

fn new_gateway(node: NodeId, incarnation: Incarnation, voting_set: &VotingSet) -> Gateway {
    let mut claims = Claims::new(node, incarnation);
    claims.voting_set_reported(Timestamp::ZERO, NodeId(1), voting_set.clone(), |_| true);
    Gateway {
        claims,
        incarnation,
        claims_begun: 0,
        won_claim: None,
    }
}

/// Hashes formatted text without storing it.
struct TextHasher(DefaultHasher);

impl Write for TextHasher {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}
