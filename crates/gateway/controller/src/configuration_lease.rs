//! Leases on the configuration: this controller renews its confirmation by majority reads of its own, and sends it to
//! the gateways that ask.

use crate::controller::Controller;
use rushcourse_consensus::{self as consensus, CallOutcome};
use rushcourse_messages::Message;
use rushcourse_types::{ConfigurationVersion, SessionId, Ticket, Timestamp};

impl Controller {
    /// Starts a read that renews the confirmation if one is due. Nothing is read without a bound on revocation or
    /// without gateways.
    pub(crate) fn renew_confirmation(&mut self) {
        // Taken before the read starts, because the confirmation counts from this time.
        let now = self.clock.now();
        let has_gateways = self.sessions.gateways().next().is_some();
        let Some(confirmations) = &mut self.confirmations else {
            return;
        };
        if !has_gateways || !confirmations.is_read_due(now) {
            return;
        }
        let ticket = self.pending_requests.next_ticket();
        confirmations.read_started(now, ticket);
        self.step_consensus(consensus::Input::GetConfiguration { ticket });
    }

    /// Handles the outcome of a call. Returns false if it is not a read that renews the confirmation.
    pub(crate) fn finish_confirmation(&mut self, ticket: Ticket, outcome: &CallOutcome) -> bool {
        let version = match outcome {
            CallOutcome::Configuration(committed) => Some(committed.version),
            CallOutcome::NoConfiguration => Some(ConfigurationVersion::NONE),
            CallOutcome::Acknowledged { .. } | CallOutcome::Unknown => None,
        };
        let confirmations = self.confirmations.as_mut();
        confirmations.is_some_and(|confirmations| confirmations.read_finished(ticket, version))
    }

    /// Answers a gateway's request for a lease with the newest confirmation, if there is one.
    pub(crate) fn send_confirmation(&self, session: SessionId, sent_at: Timestamp) {
        let now = self.clock.now();
        let confirmations = self.confirmations.as_ref();
        let newest = confirmations.and_then(|confirmations| confirmations.newest(now));
        if let Some(confirmation) = newest {
            let response = Message::ConfigurationLeaseResponse {
                sent_at,
                version: confirmation.version,
                age: confirmation.age.into(),
            };
            self.sessions.send(session, &response);
        }
    }
}
