//! Requests of hosts: registration, heartbeat and deregistration. What a leaving host says is acknowledged once it is on a
//! majority of disks, so that it outlasts all processes: a late heartbeat must not make the host ready again.

use crate::control_request::{ControlResponse, Responder};
use crate::controller::Controller;
use crate::host_writes::HostWriteRequester;
use crate::probes::ProbePurpose;
use rushcourse_cluster as cluster;
use rushcourse_consensus::{WriteBatch, WriteOperation};
use rushcourse_messages::{HostRecord, HostState, Message};
use rushcourse_storage::WriteOutcome;
use rushcourse_types::{NodeId, RequestToken};
use std::sync::Arc;

impl Controller {
    /// Applies a registration or heartbeat and responds to the host.
    pub(crate) fn register_host(&mut self, record: HostRecord, responder: Responder) {
        let id = record.id.clone();
        self.step_cluster(cluster::Input::HostRequest(record));
        self.respond_to_host(&id, responder);
    }

    /// Marks a host as gone and responds to it.
    pub(crate) fn deregister_host(&mut self, id: Arc<str>, responder: Responder) {
        self.step_cluster(cluster::Input::Deregister(id.clone()));
        self.respond_to_host(&id, responder);
    }

    /// Responds to a host after its request was applied. Requests are applied even without quorum contact, for gateways
    /// that reach only this controller, but then not acknowledged, so that the host retries at another controller.
    fn respond_to_host(&mut self, id: &str, responder: Responder) {
        let now = self.clock.now();
        let host = self.cluster.hosts().get(id);
        let record = host.map(|host| host.record_at(now));
        if !self.may_acknowledge() {
            let _ = responder.send(ControlResponse::NoQuorumContact);
            return;
        }
        match record {
            // Too many unknown hosts have signed off.
            None => drop(responder.send(ControlResponse::NoQuorumContact)),
            Some(record) if record.state != HostState::Ready && self.has_voting_set() => {
                self.store_leaving_host(record, responder);
            }
            Some(_) => drop(responder.send(ControlResponse::Done)),
        }
    }

    /// Writes the record of a leaving host here and at all connected controllers, and responds to the host once a majority
    /// of them has it on disk.
    fn store_leaving_host(&mut self, record: HostRecord, responder: Responder) {
        let purpose = ProbePurpose::HostResponse(responder);
        let token = self.contact.probes.begin(self.clock.now(), purpose);
        let message = Message::StoreLeavingHost {
            token,
            record: record.clone(),
        };
        self.sessions.send_to_controllers(&message);
        self.write_host(record, HostWriteRequester::Local { token });
    }

    /// Applies a leaving host's record of another controller, and confirms it once it is on disk.
    pub(crate) fn store_leaving_host_of_peer(
        &mut self,
        peer: NodeId,
        token: RequestToken,
        record: HostRecord,
    ) {
        let id = record.id.clone();
        self.step_cluster(cluster::Input::PeerMessage {
            peer,
            message: Message::HostUpdates(vec![record]),
        });
        // A newer state may be known here.
        if let Some(host) = self.cluster.hosts().get(&id) {
            let record = host.record_at(self.clock.now());
            self.write_host(record, HostWriteRequester::Peer { peer, token });
        }
    }

    fn write_host(&mut self, record: HostRecord, requester: HostWriteRequester) {
        let id = self.host_writes.begin(requester);
        let operations = vec![WriteOperation::StoreHost(record)];
        self.storage.write(WriteBatch { id, operations });
    }

    /// Handles the outcome of a write of a leaving host. A refused one is not confirmed.
    pub(crate) fn host_write_finished(&mut self, outcome: WriteOutcome) {
        match self.host_writes.finish(outcome) {
            Some(HostWriteRequester::Local { token }) => {
                let local = self.sessions.local_node();
                self.contact.probes.record_response(local, token);
                self.finish_probes();
            }
            Some(HostWriteRequester::Peer { peer, token }) => {
                let message = Message::LeavingHostStored { token };
                self.sessions.send_to_controller(peer, &message);
            }
            None => {}
        }
    }
}
