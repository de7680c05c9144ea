//! Requests of hosts: registrations, heartbeats and the end of a host.

use crate::control_request::{ControlResponse, Responder};
use crate::controller::Controller;
use crate::probes::ProbePurpose;
use rushcourse_cluster as cluster;
use rushcourse_messages::{HostRecord, HostState};
use std::sync::Arc;

impl Controller {
    /// A host registers, or sends a heartbeat.
    pub(crate) fn register_host(&mut self, record: HostRecord, responder: Responder) {
        let is_leaving = record.state != HostState::Ready;
        self.step_cluster(cluster::Input::HostRequest(record));
        self.respond_to_host(is_leaving, responder);
    }

    /// A host ends.
    pub(crate) fn deregister_host(&mut self, id: Arc<str>, responder: Responder) {
        self.step_cluster(cluster::Input::Deregister(id));
        self.respond_to_host(true, responder);
    }

    /// Answers a host whose request was taken. It is taken in any case: gateways that only reach this controller go by
    /// it. It is acknowledged only where the others hear of it too, so that the host goes on to one of them. A host that
    /// is leaving ends on the strength of the answer; a majority has to have heard that.
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
