//! Requests of operators that wait for their answer.

use crate::control_request::{ControlResponse, Responder};
use rushcourse_consensus::Outcome;
use rushcourse_types::Ticket;
use std::collections::BTreeMap;

/// Requests that wait, by their tickets.
#[derive(Default)]
pub(crate) struct PendingRequests {
    responders: BTreeMap<Ticket, Responder>,
    last_ticket: Ticket,
}

impl PendingRequests {
    /// A request that waits from now on.
    pub(crate) fn add(&mut self, responder: Responder) -> Ticket {
        self.last_ticket = self.last_ticket.next();
        self.responders.insert(self.last_ticket, responder);
        self.last_ticket
    }

    /// Answers a request, unless it has been.
    pub(crate) fn respond(&mut self, ticket: Ticket, outcome: Outcome) {
        let Some(responder) = self.responders.remove(&ticket) else {
            return;
        };
        let _ = responder.send(match outcome {
            Outcome::Acknowledged { another: false } => ControlResponse::Acknowledged,
            Outcome::Acknowledged { another: true } => ControlResponse::OtherTextCommitted,
            Outcome::Whole { text, .. } => ControlResponse::Text(text),
            Outcome::Nothing => ControlResponse::NoConfiguration,
            Outcome::Unclear => ControlResponse::Unclear,
        });
    }
}
