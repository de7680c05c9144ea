//! Operator requests that wait for a response.

use crate::control_request::{ControlResponse, Responder};
use rushcourse_consensus::CallOutcome;
use rushcourse_types::Ticket;
use std::collections::BTreeMap;

/// Responders of pending operator requests, keyed by ticket.
#[derive(Default)]
pub(crate) struct PendingRequests {
    responders: BTreeMap<Ticket, Responder>,
    last_ticket: Ticket,
}

impl PendingRequests {
    /// Registers a request and returns its ticket.
    pub(crate) fn add(&mut self, responder: Responder) -> Ticket {
        let ticket = self.next_ticket();
        self.responders.insert(ticket, responder);
        ticket
    }

    /// Returns a ticket for a call of this controller itself, which has no responder.
    pub(crate) fn next_ticket(&mut self) -> Ticket {
        self.last_ticket = self.last_ticket.next();
        self.last_ticket
    }

    /// Responds to all pending requests with the same outcome.
    pub(crate) fn respond_all(&mut self, outcome: &CallOutcome) {
        let tickets: Vec<Ticket> = self.responders.keys().copied().collect();
        for ticket in tickets {
            self.respond(ticket, outcome.clone());
        }
    }

    /// Responds to a request. Does nothing if it is no longer pending.
    pub(crate) fn respond(&mut self, ticket: Ticket, outcome: CallOutcome) {
        let Some(responder) = self.responders.remove(&ticket) else {
            return;
        };
        let _ = responder.send(match outcome {
            CallOutcome::Acknowledged {
                is_other_text: false,
            } => ControlResponse::Acknowledged,
            CallOutcome::Acknowledged {
                is_other_text: true,
            } => ControlResponse::OtherTextCommitted,
            CallOutcome::Configuration(committed) => ControlResponse::Text(committed.text),
            CallOutcome::NoConfiguration => ControlResponse::NoConfiguration,
            CallOutcome::Unknown => ControlResponse::Unknown,
        });
    }
}
