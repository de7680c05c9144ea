//! Requests of operators for configurations.

use crate::control_request::{ControlResponse, Responder};
use crate::controller::Controller;
use crate::probes::ProbePurpose;
use rushcourse_consensus as consensus;
use rushcourse_types::{ConfigurationVersion, Ticket};
use std::sync::Arc;

impl Controller {
    /// An operator's configuration, checked.
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
        self.limit_wait(ticket);
    }

    /// An operator asks for the newest configuration.
    pub(crate) fn get_configuration(&mut self, responder: Responder) {
        let Some(ticket) = self.accept_operator_request(responder) else {
            return;
        };
        self.step_consensus(consensus::Input::GetConfiguration { ticket });
        self.limit_wait(ticket);
    }

    /// A ticket for a request, or an answer at once where this controller is cut off.
    fn accept_operator_request(&mut self, responder: Responder) -> Option<Ticket> {
        if self.may_acknowledge() {
            return Some(self.pending_requests.add(responder));
        }
        let _ = responder.send(ControlResponse::NoQuorumContact);
        None
    }

    /// Ends a request early where no majority answers. One that waits for the first voting set has its whole time.
    fn limit_wait(&mut self, ticket: Ticket) {
        if self.has_voting_set() {
            self.begin_probe(ProbePurpose::OperatorRequest(ticket));
        }
    }
}
