//! Replicas of stored responses on the disks of controllers, so that repeats of an operation get its response after the
//! gateway that ran it has ended.
//!
//! A gateway sends each response to one controller, of its own zone if there is one, since traffic between zones is dear and
//! the gateway itself still holds the response. Once the gateway has ended, that controller makes further replicas. A
//! gateway sends in rounds, every [`REPLICATION_INTERVAL`], since a controller handles a batch with one write. A response
//! is stored once all of its parts are on the controller's disk. Where the controller is disconnected or stores nothing
//! for [`STORE_TIMEOUT`], what it has not stored goes to another one. What a controller has stored counts on while it is
//! away for up to [`RETURN_TIMEOUT`]; it goes to another one if the controller stays away, or has lost its disk, which
//! the identifier of its store tells.
//!
//! * `replica_link.rs`: the transfer to one controller; `byte_budget.rs`: the limit of bytes per second.

mod byte_budget;
mod replica_link;

use crate::operations::Operations;
use byte_budget::ByteBudget;
use replica_link::{Availability, ReplicaLink, Transfer};
use rushcourse_messages::{ClaimId, NodeId, ResponsePart};
use rushcourse_types::{KeyDigest, Preference, ReplicaSequence, ResponseStoreId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between two rounds of sending.
pub const REPLICATION_INTERVAL: Duration = Duration::from_millis(750);
/// Time within which a controller has to store a part. With [`REPLICATION_INTERVAL`] less than the two seconds after
/// which a response must survive the end of its gateway.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a controller that exceeded [`STORE_TIMEOUT`] gets no responses.
const SUSPENSION: Duration = Duration::from_secs(5);
/// How long replicas at a disconnected controller count.
pub const RETURN_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of responses whose replicas are known; beyond it, the oldest are forgotten and keep those they have.
const MAX_TRACKED_RESPONSES: usize = 100_000;
/// Seed of the hashes that determine which controllers a gateway prefers.
const PREFERENCE_SEED: u64 = 17;

/// Parameters of [`ResponseReplication`].
#[derive(Clone, Debug)]
pub struct ReplicationSetup {
    /// This gateway.
    pub local_node: NodeId,
    /// The zone of this gateway, whose controllers are preferred.
    pub zone: String,
    /// Limit of the bytes of responses sent per second, to all controllers together.
    pub bytes_per_second: f64,
    /// Time for which a repeat may ask for a response.
    pub key_window: Duration,
}

/// A part of a response to send to a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaPart {
    /// The controller to send it to.
    pub controller: NodeId,
    /// Number of the part among those sent to this controller.
    pub sequence: ReplicaSequence,
    /// The digest of the operation key.
    pub key: KeyDigest,
    /// The claim under which the operation ran.
    pub claim: ClaimId,
    /// The part.
    pub part: ResponsePart,
}

/// The controller that holds a response or is being sent it.
#[derive(Clone, Copy, Debug)]
struct Replica {
    controller: NodeId,
    is_stored: bool,
}

#[derive(Debug)]
struct TrackedResponse {
    key: KeyDigest,
    expires_at: Timestamp,
    /// `None` while no controller is available.
    replica: Option<Replica>,
}

/// Decides which controllers hold replicas of this gateway's responses, and when to send them.
#[derive(Debug)]
pub struct ResponseReplication {
    setup: ReplicationSetup,
    budget: ByteBudget,
    /// Controllers that have announced a store.
    links: BTreeMap<NodeId, ReplicaLink>,
    /// The responses of this incarnation that have not expired.
    responses: BTreeMap<ClaimId, TrackedResponse>,
    next_round_at: Timestamp,
    /// Whether the process is about to end; then rounds begin at once.
    is_draining: bool,
}

impl ResponseReplication {
    /// Creates a state without controllers.
    pub fn new(setup: ReplicationSetup) -> ResponseReplication {
        ResponseReplication {
            budget: ByteBudget::new(setup.bytes_per_second),
            setup,
            links: BTreeMap::new(),
            responses: BTreeMap::new(),
            next_round_at: Timestamp::ZERO,
            is_draining: false,
        }
    }

    /// Sends without waiting for the next round from now on, since this process is about to end.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// Handles a controller's announcement that it stores responses. Another store than before has none of them.
    pub fn store_opened(&mut self, controller: NodeId, zone: &str, store: ResponseStoreId) {
        let mut link = ReplicaLink::new(store, self.preference(controller, zone));
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
            replica: None,
        };
        self.responses.insert(claim, response);
        self.assign(claim);
    }

    /// Records that parts are on the disk of a controller.
    pub fn parts_stored(&mut self, controller: NodeId, sequences: &[ReplicaSequence]) {
        let Some(link) = self.links.get_mut(&controller) else {
            return;
        };
        for claim in link.acknowledge(sequences) {
            let response = self.responses.get_mut(&claim);
            let replica = response.and_then(|response| response.replica.as_mut());
            if let Some(replica) = replica.filter(|replica| replica.controller == controller) {
                replica.is_stored = true;
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

    /// The parts to send now. `operations` holds the responses; those that it no longer has are skipped.
    pub fn take_parts(&mut self, now: Timestamp, operations: &Operations) -> Vec<ReplicaPart> {
        if now < self.next_round_at && !self.is_draining {
            return Vec::new();
        }
        self.budget.refill(now);
        let mut parts = Vec::new();
        for (controller, link) in &mut self.links {
            while self.budget.is_available()
                && let Some(transfer) = link.next_transfer()
            {
                let Some((key, part)) = next_part(&self.responses, operations, transfer) else {
                    link.skip_transfer();
                    self.responses.remove(&transfer.claim);
                    continue;
                };
                self.budget.spend(part.bytes.len());
                parts.push(ReplicaPart {
                    controller: *controller,
                    sequence: link.record_sent(now, &part),
                    key,
                    claim: transfer.claim,
                    part,
                });
            }
        }
        // A backlog continues as soon as the budget or an acknowledgement permits.
        if !self.links.values().any(ReplicaLink::has_queued) {
            self.next_round_at = now + REPLICATION_INTERVAL;
        }
        parts
    }

    /// Whether each response is stored at a controller, or there is none to send it to.
    pub fn is_complete(&self) -> bool {
        let mut replicas = self.responses.values().filter_map(|found| found.replica);
        replicas.all(|replica| replica.is_stored)
    }

    /// The controller that holds the response of a claim on disk.
    pub fn stored_at(&self, claim: ClaimId) -> Option<NodeId> {
        let replica = self.responses.get(&claim)?.replica?;
        replica.is_stored.then_some(replica.controller)
    }

    fn preference(&self, controller: NodeId, zone: &str) -> Preference {
        let is_in_own_zone = zone == self.setup.zone;
        Preference::new(
            is_in_own_zone,
            controller,
            self.setup.local_node,
            PREFERENCE_SEED,
        )
    }

    /// Queues a response for the preferred controller among those that are available, if it has no replica.
    fn assign(&mut self, claim: ClaimId) {
        let Some(response) = self.responses.get_mut(&claim) else {
            return;
        };
        let links = self.links.iter_mut();
        let preferred = links
            .filter(|(_, link)| link.is_available())
            .min_by_key(|(_, link)| link.preference);
        if let Some((controller, link)) = preferred
            && response.replica.is_none()
        {
            link.enqueue(claim);
            response.replica = Some(Replica {
                controller: *controller,
                is_stored: false,
            });
        }
    }

    /// Queues all responses without a replica, the newest first, since they are asked for the longest.
    fn assign_missing(&mut self) {
        let lacking = |(claim, response): (&ClaimId, &TrackedResponse)| {
            response.replica.is_none().then_some(*claim)
        };
        let claims: Vec<ClaimId> = self.responses.iter().rev().filter_map(lacking).collect();
        for claim in claims {
            self.assign(claim);
        }
    }

    /// Removes the replicas at a controller for which `is_lost` holds.
    fn forget_replicas(&mut self, controller: NodeId, is_lost: impl Fn(&Replica) -> bool) {
        for response in self.responses.values_mut() {
            let is_forgotten =
                |replica: &Replica| replica.controller == controller && is_lost(replica);
            response.replica.take_if(|replica| is_forgotten(replica));
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
        self.next_round_at = Timestamp::ZERO;
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

/// The part to send next for a transfer; `None` if its response has expired or is no longer stored.
fn next_part(
    responses: &BTreeMap<ClaimId, TrackedResponse>,
    operations: &Operations,
    transfer: Transfer,
) -> Option<(KeyDigest, ResponsePart)> {
    let key = responses.get(&transfer.claim)?.key;
    let stored = operations.response(key, transfer.claim)?;
    Some((key, stored.part(transfer.next_offset)?))
}
