//! Distribution of the committed configuration to gateways.

use crate::controller::Controller;
use rushcourse_consensus::CommittedConfiguration;
use rushcourse_messages::Message;
use rushcourse_types::{ConfigurationVersion, SessionId};

impl Controller {
    /// Sends a newly committed configuration to the gateways that use this controller as their primary, and only its
    /// version to all other gateways.
    pub(crate) fn announce_configuration(&mut self, committed: CommittedConfiguration) {
        self.unnotified_sessions.clear();
        let CommittedConfiguration { version, text } = committed;
        let configuration = Message::Configuration { version, text };
        let version = Message::CommittedVersion { version };
        for session in self.sessions.gateways() {
            let message = if self.cluster.is_primary_for(session) {
                &configuration
            } else {
                &version
            };
            self.sessions.send(session, message);
        }
    }

    /// Sends the committed version to gateways that connected while this controller lacked quorum contact, when its
    /// version could have been outdated.
    pub(crate) fn notify_unnotified_sessions(&mut self) {
        let sessions = std::mem::take(&mut self.unnotified_sessions);
        if sessions.is_empty() {
            return;
        }
        let Some(committed) = self.consensus.committed_configuration() else {
            return;
        };
        let version = committed.version;
        for session in sessions {
            self.sessions
                .send(session, &Message::CommittedVersion { version });
        }
    }

    /// Answers a gateway's request for the committed configuration, if its version is above `newer_than`.
    pub(crate) fn send_configuration(&self, session: SessionId, newer_than: ConfigurationVersion) {
        let Some(committed) = self.consensus.committed_configuration() else {
            return;
        };
        let CommittedConfiguration { version, text } = committed;
        if version > newer_than {
            self.sessions
                .send(session, &Message::Configuration { version, text });
        }
    }
}
