//! What every session of a process starts from: who this node is, its keys, and the count of rejected peers.

use crate::counters::ReasonCounters;
use crate::error::SessionError;
use crate::session::SessionEvent;
use crate::tls::{KeysError, SessionKeys};
use rushcourse_config::PeerKeys;
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

/// One for a process; a clone is the same.
#[derive(Clone)]
pub struct SessionContext(Rc<Shared>);

impl SessionContext {
    /// A context without keys, for the node of this handshake. The events of all sessions go into one queue.
    pub fn new(local: Handshake, events: mpsc::UnboundedSender<SessionEvent>) -> SessionContext {
        SessionContext(Rc::new(Shared {
            local,
            keys: RefCell::default(),
            rejections: RefCell::new(ReasonCounters::new("peers_rejected")),
            last_id: Cell::new(SessionId::NONE),
            events,
        }))
    }

    /// The handshake that this node opens its sessions with.
    pub fn local_handshake(&self) -> &Handshake {
        &self.0.local
    }

    /// New sessions are made with these keys from now on; without any, the addresses of machines count. Open sessions
    /// go on.
    ///
    /// # Errors
    /// The file that can't be used, and why; the keys stay as they were.
    pub fn set_keys(&self, keys: Option<&PeerKeys>) -> Result<(), KeysError> {
        let loaded = keys.map(SessionKeys::load).transpose()?;
        *self.0.keys.borrow_mut() = loaded;
        Ok(())
    }

    /// The log line of the peers rejected since the last one, by reason, once the next is due.
    pub fn take_rejections_line(&self, now: Timestamp) -> Option<String> {
        self.0.rejections.borrow_mut().take_log_line(now)
    }

    /// Peers rejected since the start, by reason.
    pub fn rejections(&self) -> BTreeMap<&'static str, u64> {
        self.0.rejections.borrow().totals().clone()
    }

    pub(crate) fn keys(&self) -> Option<SessionKeys> {
        self.0.keys.borrow().clone()
    }

    /// Hands an event to the owner of the sessions.
    pub(crate) fn emit(&self, event: SessionEvent) {
        // The owner is gone only where the process ends.
        let _ = self.0.events.send(event);
    }

    pub(crate) fn next_id(&self) -> SessionId {
        let id = self.0.last_id.get().next();
        self.0.last_id.set(id);
        id
    }

    /// A session is over, or was none. Rejections are counted; the first of its reason in a while is logged whole.
    pub(crate) fn record_end(&self, peer: &dyn fmt::Display, error: &SessionError) {
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
