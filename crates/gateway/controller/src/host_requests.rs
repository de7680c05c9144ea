//! Requests of hosts: registration, heartbeat and deregistration.

use crate::control_request::{ControlResponse, Responder};
use crate::controller::Controller;
use crate::probes::ProbePurpose;
use rushcourse_cluster as cluster;
use rushcourse_messages::{HostRecord, HostState};
use std::sync::Arc;

impl Controller {
    /// Applies a registration or heartbeat and responds to the host.
    pub(crate) fn register_host(&mut self, record: HostRecord, responder: Responder) {
        let is_leaving = record.state != HostState::Ready;
        self.step_cluster(cluster::Input::HostRequest(record));
        self.respond_to_host(is_leaving, responder);
    }

    /// Marks a host as gone and responds to it.
    pub(crate) fn deregister_host(&mut self, id: Arc<str>, responder: Responder) {
        self.step_cluster(cluster::Input::Deregister(id));
        self.respond_to_host(true, responder);
    }

    /// Responds to a host after its request was applied. Requests are applied even without quorum contact, for gateways
    /// that reach only this controller, but then not acknowledged, so that the host retries at another controller. A
    /// leaving host exits after the acknowledgement, so a majority must have received its request first.
    fn respond_to_host(&mut self, is_leaving: bool, responder: Responder) {
        if !self.may_acknowledge() {
            let _ = responder.send(ControlResponse::NoQuorumContact);
        } else if is_leaving && self.has_voting_set() {
            self.begin_probe(ProbePurpose::HostResponse(responder));
        } else {
            let _ = responder.send(ControlResponse::Done);
        }
    }
}
