//! The committed configuration on its way to the gateways.

use crate::controller::Controller;
use rushcourse_consensus::CommittedConfiguration;
use rushcourse_messages::Message;
use rushcourse_types::{ConfigurationVersion, SessionId};

impl Controller {
    /// Brings a version that is now committed to the gateways that take their tables from here, and names it to the
    /// others.
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

    /// Names the committed version to gateways that came while it may have been an outdated one.
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

    /// A gateway asks for the committed text, if it is newer than the one that it has.
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
