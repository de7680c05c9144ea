//! The majority reads by which a controller renews its confirmation, and its responses to lease requests. Every read is
//! answered at once by all other controllers.

use crate::frames::frame_bytes;
use rushcourse_cluster::ConfigurationConfirmations;
use rushcourse_messages::Message;
use rushcourse_types::{ConfigurationVersion, Epoch, RequestToken, Ticket, Timestamp};
use std::time::Duration;

/// The committed version and the epoch; arbitrary, because only the size of the messages matters.
const VERSION: ConfigurationVersion = ConfigurationVersion(300);
const EPOCH: Epoch = Epoch(3);

/// Confirmations of one simulated controller.
pub struct Confirmations {
    reads: ConfigurationConfirmations,
    last_ticket: Ticket,
}

impl Confirmations {
    /// Creates the state of a controller under this bound on revocation.
    pub fn new(revocation: Duration) -> Confirmations {
        Confirmations {
            reads: ConfigurationConfirmations::new(revocation),
            last_ticket: Ticket::NONE,
        }
    }

    /// Reads from `peers` controllers if a read is due. Returns the bytes of its messages.
    pub fn tick(&mut self, now: Timestamp, peers: usize) -> u64 {
        if !self.reads.is_read_due(now) {
            return 0;
        }
        self.last_ticket = self.last_ticket.next();
        self.reads.read_started(now, self.last_ticket);
        self.reads.read_finished(self.last_ticket, Some(VERSION));
        let token = RequestToken(self.last_ticket.0);
        let request = Message::ReadRequest {
            token,
            epoch: EPOCH,
        };
        let response = Message::ReadResponse {
            token,
            epoch: EPOCH,
            is_voter: true,
            highest_accepted: VERSION,
        };
        peers as u64 * (frame_bytes(&request) + frame_bytes(&response))
    }

    /// Returns the response to a lease request, if there is a confirmation.
    pub fn response(&self, now: Timestamp, sent_at: Timestamp) -> Option<Message> {
        let newest = self.reads.newest(now)?;
        Some(Message::ConfigurationLeaseResponse {
            sent_at,
            version: newest.version,
            age: newest.age.into(),
        })
    }
}
