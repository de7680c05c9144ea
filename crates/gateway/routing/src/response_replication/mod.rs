//! Replication of stored responses to the disks of controllers, so that repeats of an operation get its response after the
//! gateway that ran it has ended, also if as many controllers as may be lost at once have lost their disks.
//!
//! A response is coded into shards (`shard_code.rs`), each for another controller, those of the own zone first, since
//! traffic between zones is dear (`placement.rs`). A gateway sends to each controller every [`REPLICATION_INTERVAL`], and
//! packs the parts of many shards into one message, since a controller handles a message with one write. The controllers
//! take turns, so that the messages to all of them don't hold up responses to clients on a slow link. A shard is stored once all
//! of its parts are on the controller's disk. Where the controller is disconnected or stores nothing for
//! [`STORE_TIMEOUT`], what it has not stored goes to another one that has no shard of the same response. What a controller
//! has stored counts on while it is away for up to [`RETURN_TIMEOUT`]; it is stored elsewhere if the controller stays
//! away, or has lost its disk, which the identifier of its store tells.
//!
//! * `replica_link.rs`: the transfer to one controller; `byte_budget.rs`: the limit of bytes per second.

mod byte_budget;
mod placement;
mod replica_link;
mod shard_code;

pub use shard_code::{MAX_SHARDS, ShardEncoder, ShardIndex, ShardSet};

use crate::operations::Operations;
use byte_budget::ByteBudget;
use placement::{Candidate, Coding, choose_coding, choose_controller};
use replica_link::{Availability, ReplicaLink, Transfer};
use rushcourse_messages::{ClaimId, MAX_PART_BYTES, NodeId, ShardPart};
use rushcourse_types::{KeyDigest, Preference, ReplicaSequence, ResponseStoreId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between two turns of a controller.
pub const REPLICATION_INTERVAL: Duration = Duration::from_millis(750);
/// Time within which a controller has to store a part. With [`REPLICATION_INTERVAL`] less than the two seconds after
/// which a response must survive the end of its gateway.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a controller that exceeded [`STORE_TIMEOUT`] gets no shards.
const SUSPENSION: Duration = Duration::from_secs(5);
/// How long shards at a disconnected controller count.
pub const RETURN_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of responses whose shards are known; beyond it, the oldest are forgotten and keep those they have.
const MAX_TRACKED_RESPONSES: usize = 100_000;
/// Maximum number of bytes of parts in one message, unless a single part is longer. Keeps messages on a slow link from
/// holding up the others of their session.
const MAX_BATCH_BYTES: usize = MAX_PART_BYTES;
/// Seed of the hashes that determine which controllers a gateway prefers.
const PREFERENCE_SEED: u64 = 17;

/// Parameters of [`ResponseReplication`].
#[derive(Clone, Debug)]
pub struct ReplicationSetup {
    /// This gateway.
    pub local_node: NodeId,
    /// The zone of this gateway, whose controllers are preferred.
    pub zone: String,
    /// Number of controllers that may lose their disks at once.
    pub tolerated_losses: usize,
    /// Limit of the bytes of shards sent per second, to all controllers together.
    pub bytes_per_second: f64,
    /// Time for which a repeat may ask for a response.
    pub key_window: Duration,
}

/// Parts of shards to send to a controller in one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardBatch {
    /// The controller to send them to.
    pub controller: NodeId,
    /// Number of the message among those sent to this controller.
    pub sequence: ReplicaSequence,
    /// The parts.
    pub parts: Vec<ShardPart>,
}

impl ShardBatch {
    fn bytes(&self) -> usize {
        self.parts.iter().map(|part| part.part.bytes.len()).sum()
    }
}

/// The controller that holds a shard or is being sent it.
#[derive(Clone, Copy, Debug)]
struct Replica {
    controller: NodeId,
    is_stored: bool,
}

#[derive(Debug)]
struct TrackedResponse {
    key: KeyDigest,
    expires_at: Timestamp,
    /// `None` until a controller is available.
    coding: Option<Coding>,
    /// One entry for each shard of the coding; `None` while no controller is available for it.
    replicas: Vec<Option<Replica>>,
}

impl TrackedResponse {
    fn assigned(&self) -> impl Iterator<Item = Replica> + '_ {
        self.replicas.iter().filter_map(|replica| *replica)
    }

    fn has_shard_at(&self, controller: NodeId) -> bool {
        self.assigned()
            .any(|replica| replica.controller == controller)
    }

    fn is_lacking(&self) -> bool {
        self.coding.is_none() || self.replicas.iter().any(Option::is_none)
    }
}

/// Decides which controllers hold shards of this gateway's responses, and when to send them.
#[derive(Debug)]
pub struct ResponseReplication {
    setup: ReplicationSetup,
    budget: ByteBudget,
    encoder: ShardEncoder,
    /// Controllers that have announced a store.
    links: BTreeMap<NodeId, ReplicaLink>,
    /// The responses of this incarnation that have not expired.
    responses: BTreeMap<ClaimId, TrackedResponse>,
    /// When the next controller may have its turn.
    next_turn_at: Timestamp,
    /// Whether all controllers have their turn at once, since something was to be stored elsewhere and has waited already.
    is_urgent: bool,
    /// Whether the process is about to end; then nothing waits for a turn.
    is_draining: bool,
}

impl ResponseReplication {
    /// Creates a state without controllers.
    pub fn new(setup: ReplicationSetup) -> ResponseReplication {
        ResponseReplication {
            budget: ByteBudget::new(setup.bytes_per_second),
            setup,
            encoder: ShardEncoder::default(),
            links: BTreeMap::new(),
            responses: BTreeMap::new(),
            next_turn_at: Timestamp::ZERO,
            is_urgent: false,
            is_draining: false,
        }
    }

    /// Sends without waiting for a turn from now on, since this process is about to end.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// Handles a controller's announcement that it stores shards. Another store than before has none of them.
    pub fn store_opened(&mut self, controller: NodeId, zone: &str, store: ResponseStoreId) {
        let is_in_own_zone = zone == self.setup.zone;
        let preference = Preference::new(
            is_in_own_zone,
            controller,
            self.setup.local_node,
            PREFERENCE_SEED,
        );
        let mut link = ReplicaLink::new(store, is_in_own_zone, preference);
        let former = self.links.get(&controller);
        let is_other_store = former.is_some_and(|former| former.store != store);
        if let Some(former) = former {
            link.continue_sequence_of(former);
        }
        self.forget_replicas(controller, |replica| is_other_store || !replica.is_stored);
        self.links.insert(controller, link);
        self.assign_missing();
    }

    /// Handles the end of the session with a controller. What it has not stored goes to others.
    pub fn controller_disconnected(&mut self, now: Timestamp, controller: NodeId) {
        self.take_back(controller, Availability::DisconnectedSince(now));
    }

    /// Begins to replicate the response of an operation.
    pub fn response_completed(&mut self, now: Timestamp, key: KeyDigest, claim: ClaimId) {
        if self.responses.len() >= MAX_TRACKED_RESPONSES {
            self.responses.pop_first();
        }
        let response = TrackedResponse {
            key,
            expires_at: now + self.setup.key_window,
            coding: None,
            replicas: Vec::new(),
        };
        self.responses.insert(claim, response);
        self.assign(claim);
    }

    /// Records that the parts of messages are on the disk of a controller.
    pub fn parts_stored(&mut self, controller: NodeId, sequences: &[ReplicaSequence]) {
        let Some(link) = self.links.get_mut(&controller) else {
            return;
        };
        for claim in link.acknowledge(sequences) {
            let Some(response) = self.responses.get_mut(&claim) else {
                continue;
            };
            for replica in response.replicas.iter_mut().flatten() {
                replica.is_stored |= replica.controller == controller;
            }
        }
    }

    /// Handles timeouts. Called periodically.
    pub fn maintain(&mut self, now: Timestamp) {
        self.remove_expired(now);
        for controller in self.overdue_controllers(now) {
            self.take_back(controller, Availability::SuspendedUntil(now + SUSPENSION));
        }
        for controller in self.lost_controllers(now) {
            self.links.remove(&controller);
            self.forget_replicas(controller, |_| true);
            self.assign_missing();
        }
        self.end_suspensions(now);
    }

    /// The messages to send now. `operations` holds the responses; those that it no longer has are skipped.
    pub fn take_batches(&mut self, now: Timestamp, operations: &Operations) -> Vec<ShardBatch> {
        let controllers = self.controllers_in_turn(now);
        if controllers.is_empty() {
            return Vec::new();
        }
        self.budget.refill(now);
        let mut batches: BTreeMap<NodeId, Vec<ShardBatch>> = BTreeMap::new();
        // One part for each controller in turn, so that none falls behind when the budget is short.
        let mut has_sent = true;
        while has_sent {
            has_sent = false;
            for controller in &controllers {
                let batches = batches.entry(*controller).or_default();
                has_sent |= self.send_part(now, *controller, operations, batches);
            }
        }
        self.end_turns(now, &controllers);
        batches.into_values().flatten().collect()
    }

    /// The controllers to send to now: the one that has waited the longest for its turn, or all.
    fn controllers_in_turn(&self, now: Timestamp) -> Vec<NodeId> {
        let queued = self.links.iter().filter(|(_, link)| link.has_queued());
        if self.is_draining || self.is_urgent {
            return queued.map(|(controller, _)| *controller).collect();
        }
        let due = queued.filter(|(_, link)| now >= self.next_turn_at && now >= link.next_turn_at);
        let next = due.min_by_key(|(_, link)| link.next_turn_at);
        next.map(|(controller, _)| *controller)
            .into_iter()
            .collect()
    }

    /// Determines the next turns. A backlog continues as soon as the budget or an acknowledgement permits.
    fn end_turns(&mut self, now: Timestamp, controllers: &[NodeId]) {
        let mut has_backlog = false;
        for controller in controllers {
            let Some(link) = self.links.get_mut(controller) else {
                continue;
            };
            has_backlog |= link.has_queued();
            link.next_turn_at = if link.has_queued() {
                now
            } else {
                now + REPLICATION_INTERVAL
            };
        }
        self.is_urgent &= has_backlog;
        if !has_backlog {
            self.next_turn_at = now + REPLICATION_INTERVAL / self.links.len() as u32;
        }
    }

    /// Adds the next part for a controller to its messages. Returns whether there was one that may be sent.
    fn send_part(
        &mut self,
        now: Timestamp,
        controller: NodeId,
        operations: &Operations,
        batches: &mut Vec<ShardBatch>,
    ) -> bool {
        let Some(link) = self.links.get_mut(&controller) else {
            return false;
        };
        while self.budget.is_available()
            && let Some(transfer) = link.next_transfer()
        {
            let encoder = &mut self.encoder;
            let Some(part) = next_part(&self.responses, operations, encoder, transfer) else {
                link.skip_transfer();
                self.responses.remove(&transfer.claim);
                continue;
            };
            let bytes = part.part.bytes.len();
            let has_room = |batch: &ShardBatch| batch.bytes() + bytes <= MAX_BATCH_BYTES;
            if !batches.last().is_some_and(has_room) {
                batches.push(ShardBatch {
                    controller,
                    sequence: link.begin_batch(now),
                    parts: Vec::new(),
                });
            }
            link.record_sent(&part.part);
            self.budget.spend(bytes);
            if let Some(batch) = batches.last_mut() {
                batch.parts.push(part);
            }
            return true;
        }
        false
    }

    /// Whether each response is stored at the controllers that are available for it.
    pub fn is_complete(&self) -> bool {
        let mut replicas = self.responses.values().flat_map(TrackedResponse::assigned);
        replicas.all(|replica| replica.is_stored)
    }

    /// The controllers that hold shards of the response of a claim on disk.
    pub fn stored_at(&self, claim: ClaimId) -> Vec<NodeId> {
        let response = self.responses.get(&claim);
        let replicas = response.into_iter().flat_map(TrackedResponse::assigned);
        let stored = replicas.filter(|replica| replica.is_stored);
        stored.map(|replica| replica.controller).collect()
    }

    /// The controllers that may be sent shards.
    fn candidates(&self) -> Vec<Candidate> {
        let available = self.links.iter().filter(|(_, link)| link.is_available());
        let candidates = available.map(|(controller, link)| Candidate {
            controller: *controller,
            is_in_own_zone: link.is_in_own_zone,
            preference: link.preference,
        });
        candidates.collect()
    }

    /// Queues the shards of a response that have no controller for those that are available.
    fn assign(&mut self, claim: ClaimId) {
        let candidates = self.candidates();
        let Some(response) = self.responses.get_mut(&claim) else {
            return;
        };
        if candidates.is_empty() {
            return;
        }
        let coding = *response.coding.get_or_insert_with(|| {
            let coding = choose_coding(&candidates, self.setup.tolerated_losses);
            response.replicas.resize(coding.shards, None);
            coding
        });
        for index in 0..coding.shards {
            if response.replicas[index].is_some() {
                continue;
            }
            let chosen = choose_controller(&candidates, |node| response.has_shard_at(node));
            let Some(controller) = chosen else {
                return;
            };
            response.replicas[index] = Some(Replica {
                controller,
                is_stored: false,
            });
            if let Some(link) = self.links.get_mut(&controller) {
                let data_shards = coding.data_shards;
                link.enqueue(claim, ShardIndex { data_shards, index });
            }
        }
    }

    /// Queues all shards without a controller, the newest first, since they are asked for the longest.
    fn assign_missing(&mut self) {
        let lacking = self.responses.iter().rev();
        let lacking = lacking.filter(|(_, response)| response.is_lacking());
        let claims: Vec<ClaimId> = lacking.map(|(claim, _)| *claim).collect();
        for claim in claims {
            self.assign(claim);
        }
    }

    /// Removes the replicas at a controller for which `is_lost` holds.
    fn forget_replicas(&mut self, controller: NodeId, is_lost: impl Fn(&Replica) -> bool) {
        for response in self.responses.values_mut() {
            for replica in &mut response.replicas {
                replica.take_if(|replica| replica.controller == controller && is_lost(replica));
            }
        }
    }

    /// Ends the transfers to a controller and sends what it has not stored elsewhere.
    fn take_back(&mut self, controller: NodeId, availability: Availability) {
        let Some(link) = self.links.get_mut(&controller) else {
            return;
        };
        link.clear();
        link.availability = availability;
        self.forget_replicas(controller, |replica| !replica.is_stored);
        self.assign_missing();
        // What was to be stored there has waited already.
        self.is_urgent = true;
    }

    fn overdue_controllers(&self, now: Timestamp) -> Vec<NodeId> {
        let overdue = self
            .links
            .iter()
            .filter(|(_, link)| link.is_overdue(now, STORE_TIMEOUT));
        overdue.map(|(controller, _)| *controller).collect()
    }

    fn lost_controllers(&self, now: Timestamp) -> Vec<NodeId> {
        let lost = self.links.iter().filter(|(_, link)| {
            matches!(link.availability, Availability::DisconnectedSince(since)
                if now > since + RETURN_TIMEOUT)
        });
        lost.map(|(controller, _)| *controller).collect()
    }

    fn end_suspensions(&mut self, now: Timestamp) {
        let mut has_ended = false;
        for link in self.links.values_mut() {
            if let Availability::SuspendedUntil(end) = link.availability
                && now >= end
            {
                link.availability = Availability::Available;
                has_ended = true;
            }
        }
        if has_ended {
            self.assign_missing();
        }
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some(first) = self.responses.first_entry()
            && first.get().expires_at <= now
        {
            first.remove();
        }
    }
}

/// The part to send next for a transfer; `None` if its response has expired or is no longer held.
fn next_part(
    responses: &BTreeMap<ClaimId, TrackedResponse>,
    operations: &Operations,
    encoder: &mut ShardEncoder,
    transfer: Transfer,
) -> Option<ShardPart> {
    let key = responses.get(&transfer.claim)?.key;
    let response = operations.response(key, transfer.claim)?;
    let part = encoder.part(response, transfer.shard, transfer.next_offset)?;
    Some(ShardPart {
        key,
        claim_number: transfer.claim.number,
        part,
    })
}
