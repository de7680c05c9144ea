//! The committed configuration on its way to the gateways.

use crate::controller::Controller;
use rushcourse_messages::Message;
use rushcourse_types::{ConfigurationVersion, SessionId};
use std::sync::Arc;

impl Controller {
    /// Brings a version that is now committed to the gateways that take their tables from here, and names it to the
    /// others.
    pub(crate) fn announce_configuration(
        &mut self,
        version: ConfigurationVersion,
        text: Arc<[u8]>,
    ) {
        self.unnotified_sessions.clear();
        let configuration = Message::Configuration { version, text };
        let version = Message::CommittedVersion { version };
        for session in self.sessions.gateways() {
            let message = if self.cluster.is_home(session) {
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
        let Some((version, _)) = self.consensus.in_force() else {
            return;
        };
        for session in sessions {
            self.sessions
                .send(session, &Message::CommittedVersion { version });
        }
    }

    /// A gateway asks for the committed text, if it is newer than the one that it has.
    pub(crate) fn send_configuration(&self, session: SessionId, newer_than: ConfigurationVersion) {
        let Some((version, text)) = self.consensus.in_force() else {
            return;
        };
        if version > newer_than {
            self.sessions
                .send(session, &Message::Configuration { version, text });
        }
    }
}
