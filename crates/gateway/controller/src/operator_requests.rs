//! Operator requests to read and write the configuration.

use crate::control_request::{ControlResponse, Responder};
use crate::controller::Controller;
use crate::probes::ProbePurpose;
use rushcourse_consensus as consensus;
use rushcourse_types::{ConfigurationVersion, Ticket};
use std::sync::Arc;

impl Controller {
    /// Proposes a validated configuration. The response is sent when the outcome is known.
    pub(crate) fn put_configuration(
        &mut self,
        version: ConfigurationVersion,
        text: Arc<[u8]>,
        responder: Responder,
    ) {
        let Some(ticket) = self.accept_operator_request(responder) else {
            return;
        };
        self.step_consensus(consensus::Input::PutConfiguration {
            ticket,
            version,
            text,
        });
        self.begin_operator_probe(ticket);
    }

    /// Reads the newest committed configuration. The response is sent once a majority has confirmed it.
    pub(crate) fn get_configuration(&mut self, responder: Responder) {
        let Some(ticket) = self.accept_operator_request(responder) else {
            return;
        };
        self.step_consensus(consensus::Input::GetConfiguration { ticket });
        self.begin_operator_probe(ticket);
    }

    /// Registers a request and returns its ticket. Without quorum contact, rejects the request at once and returns
    /// `None`.
    fn accept_operator_request(&mut self, responder: Responder) -> Option<Ticket> {
        if self.may_acknowledge() {
            return Some(self.pending_requests.add(responder));
        }
        let _ = responder.send(ControlResponse::NoQuorumContact);
        None
    }

    /// Starts a probe that fails the request early if no majority responds. Requests made before the first voting set
    /// exists wait for their full timeout.
    fn begin_operator_probe(&mut self, ticket: Ticket) {
        if self.has_voting_set() {
            self.begin_probe(ProbePurpose::OperatorRequest(ticket));
        }
    }
}
