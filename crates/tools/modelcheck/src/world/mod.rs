//! A small world: controllers with disks, gateways that claim one key, operators. What may happen next is a list of
//! moves; each is played on a copy.
//!
//! * `available_moves.rs`: which moves a world has; `apply.rs`: what each does.
//! * `network.rs`: links and sessions; `delivery.rs`: what a message does at its receiver.
//! * `controllers.rs`: steps of controllers and what comes of their effects; `gateways.rs`: the same for claims.
//! * `mutations.rs`: what is altered on the way where a defence is taken out.
//! * `closing.rs`: how a world recovers once faults have ended.

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

/// One wait: the time for which votes on claims count, so that five of them are longer than a voter that lost its disk
/// stays silent.
const WAIT: Duration = Duration::from_millis(450);
/// `catch_up_s` of these worlds: a member is missed for 0.6 of it, so that one wait is longer.
const CATCH_UP: Duration = Duration::from_millis(700);
/// Machines whose loss these worlds are to tolerate.
const TOLERATED_LOSSES: usize = 1;
/// Operation keys bind longer than any world lasts.
const KEY_WINDOW: Duration = Duration::from_millis(60_000);
/// The time of day at the start, ms.
const INITIAL_WALL_TIME_MS: u64 = 1_000_000;
/// The key that gateways claim.
const KEY: KeyDigest = KeyDigest(7);
/// Gateways have the numbers from here on.
const FIRST_GATEWAY: NodeId = NodeId(100);

/// A controller, and what happened to it.
#[derive(Clone, Debug)]
struct Controller {
    simulated: SimulatedController,
    /// Its disk at the start of this world.
    initial_disk: DurableState,
    /// Its disk is an older copy, and it does not have complete state again yet.
    has_old_disk: bool,
    /// It never comes back.
    is_lost: bool,
    /// It has no session with other controllers.
    is_isolated: bool,
    /// Its process stands still.
    is_paused: bool,
    /// The sessions that it knows of.
    sessions: BTreeMap<NodeId, SessionId>,
    /// What was committed here since its last start.
    committed: ConfigurationVersion,
}

impl Controller {
    /// A controller before its start; standbys are no members of the set that is there.
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

    /// Whether it runs and does not know yet whether its disk is the newest one that it had.
    fn is_recovering(&self) -> bool {
        let node = self.simulated.node();
        node.is_some_and(|node| node.summary().is_recovering)
    }

    /// Whether it runs and votes.
    fn is_voter(&self) -> bool {
        let node = self.simulated.node();
        node.is_some_and(|node| node.summary().is_voter)
    }
}

/// A gateway and its claims of the key.
#[derive(Clone, Debug)]
struct Gateway {
    claims: Claims,
    incarnation: Incarnation,
    /// Claims that it has begun.
    claims_begun: u32,
    /// The claim that it won and has not sent its request for.
    won_claim: Option<ClaimId>,
}

/// A small world on its way through one scene.
#[derive(Clone)]
pub struct World<'a> {
    scene: &'a Scene,
    /// The defence that is taken out.
    mutation: Option<Mutation>,
    now: Timestamp,
    controllers: BTreeMap<NodeId, Controller>,
    gateways: BTreeMap<NodeId, Gateway>,
    network: Network,
    /// How often each may still happen.
    budget: Budget,
    /// Configurations that were not put yet.
    submissions: Vec<Submission>,
    /// What each controller reported last to another one, while their session stands.
    last_reports: BTreeMap<Link, Message>,
    checker: Checker,
}

impl<'a> World<'a> {
    /// A world at the start of a scene, before its opening.
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

    /// The world behind the opening of a scene, from where it is explored: with all defences, or one taken out.
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

    /// The rule that is broken here, if one is.
    pub fn violation(&self) -> Option<&Violation> {
        self.checker.violation()
    }

    /// The newest voting set that a controller adopted.
    pub fn newest_voting_set(&self) -> &VotingSet {
        self.checker.newest_voting_set()
    }

    /// How far a controller has come, while it runs.
    pub fn summary(&self, node: NodeId) -> Option<ReplicaSummary> {
        let node = self.controllers.get(&node)?.simulated.node()?;
        Some(node.summary())
    }

    /// The same for equal worlds of one scene, another for different ones.
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
        write!(text, "{state:?}").expect("a hasher takes all text");
        text.0.finish()
    }

    fn has_mutation(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn deployment(&self) -> Deployment {
        Deployment {
            controller_count: self.scene.members,
            // Each controller stands in a zone of its own.
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
        self.controllers.get_mut(&node).expect("a controller")
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

/// Takes what is printed into a hash, without keeping the text.
struct TextHasher(DefaultHasher);

impl Write for TextHasher {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}
