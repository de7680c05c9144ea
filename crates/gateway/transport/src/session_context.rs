//! The state shared by all sessions of a process: the local handshake, TLS keys, session ids and rejection counters.

use crate::counters::ReasonCounters;
use crate::error::SessionError;
use crate::session::SessionEvent;
use crate::tls::{KeysError, SessionKeys};
use rushcourse_config::PeerKeyFiles;
use rushcourse_messages::Handshake;
use rushcourse_types::{SessionId, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use tokio::sync::mpsc;

struct Shared {
    local: Handshake,
    keys: RefCell<Option<SessionKeys>>,
    rejections: RefCell<ReasonCounters>,
    last_id: Cell<SessionId>,
    events: mpsc::UnboundedSender<SessionEvent>,
}

/// Shared state of all sessions of a process; clones refer to the same state.
#[derive(Clone)]
pub struct SessionContext(Rc<Shared>);

impl SessionContext {
    /// Creates a context without TLS keys. `local` is sent to every peer; all sessions send their events to `events`.
    pub fn new(local: Handshake, events: mpsc::UnboundedSender<SessionEvent>) -> SessionContext {
        SessionContext(Rc::new(Shared {
            local,
            keys: RefCell::default(),
            rejections: RefCell::new(ReasonCounters::new("peers_rejected")),
            last_id: Cell::new(SessionId::NONE),
            events,
        }))
    }

    /// The handshake that this node sends to its peers.
    pub fn local_handshake(&self) -> &Handshake {
        &self.0.local
    }

    /// Loads the TLS keys for new sessions. With `None`, new sessions use plain TCP and peers are identified by address
    /// only. Open sessions are not affected.
    ///
    /// # Errors
    /// Returns an error that names the unusable file; the previous keys remain in use.
    pub fn set_keys(&self, keys: Option<&PeerKeyFiles>) -> Result<(), KeysError> {
        let loaded = keys.map(SessionKeys::load).transpose()?;
        *self.0.keys.borrow_mut() = loaded;
        Ok(())
    }

    /// Returns the log line that counts rejected peers by reason since the last such line. `None` if it is not due yet
    /// or no peer was rejected.
    pub fn take_rejections_line(&self, now: Timestamp) -> Option<String> {
        self.0.rejections.borrow_mut().take_log_line(now)
    }

    /// Number of peers rejected since the process started, by reason.
    pub fn rejections(&self) -> BTreeMap<&'static str, u64> {
        self.0.rejections.borrow().totals().clone()
    }

    pub(crate) fn keys(&self) -> Option<SessionKeys> {
        self.0.keys.borrow().clone()
    }

    /// Sends an event to the owner of the context.
    pub(crate) fn emit(&self, event: SessionEvent) {
        // The receiver is dropped only at process exit.
        let _ = self.0.events.send(event);
    }

    pub(crate) fn next_id(&self) -> SessionId {
        let id = self.0.last_id.get().next();
        self.0.last_id.set(id);
        id
    }

    /// Records why a session ended or could not be opened. Counts rejections, and logs the first rejection for each
    /// reason in each logging interval as a warning.
    pub(crate) fn record_session_end(&self, peer: &dyn fmt::Display, error: &SessionError) {
        let Some(reason) = error.rejection_reason() else {
            log::debug!(
                "event=session_ended peer={peer} why={:?}",
                error.to_string()
            );
            return;
        };
        if self.0.rejections.borrow_mut().count(reason) {
            log::warn!(
                "event=peer_rejected peer={peer} why={:?}",
                error.to_string()
            );
        }
    }
}
