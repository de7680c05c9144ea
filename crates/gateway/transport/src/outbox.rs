//! A session as its owner sees it: who is on the other side, and where messages wait to be written.

use rushcourse_messages::{Handshake, Message, encode};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Bytes that may wait for a peer that does not read; beyond, its session is closed (ours).
const WAITING_MOST: usize = 8 << 20;

struct Box {
    bytes: RefCell<Vec<u8>>,
    wake: Notify,
    closed: Cell<bool>,
}

/// Where messages to one peer wait to be written.
#[derive(Clone)]
pub struct Outbox(Rc<Box>);

impl Outbox {
    pub(crate) fn new() -> Outbox {
        Outbox(Rc::new(Box {
            bytes: RefCell::default(),
            wake: Notify::new(),
            closed: Cell::new(false),
        }))
    }

    /// Puts a message behind what waits. A session that can't take it is closed.
    pub fn send(&self, message: &Message) {
        if self.0.closed.get() {
            return;
        }
        let mut bytes = self.0.bytes.borrow_mut();
        if let Err(damage) = encode(message, &mut bytes) {
            log::error!("event=unsendable why={:?}", damage.to_string());
            return;
        }
        if bytes.len() > WAITING_MOST {
            log::warn!("event=peer_does_not_read bytes={}", bytes.len());
            drop(bytes);
            return self.close();
        }
        drop(bytes);
        self.0.wake.notify_one();
    }

    /// Until something waits, or the session is to end.
    pub(crate) async fn wake(&self) {
        self.0.wake.notified().await;
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.0.closed.get()
    }

    /// All that waits.
    pub(crate) fn take(&self) -> Vec<u8> {
        std::mem::take(&mut *self.0.bytes.borrow_mut())
    }

    pub fn close(&self) {
        self.0.closed.set(true);
        self.0.wake.notify_one();
    }
}

/// A session that stands.
#[derive(Clone)]
pub struct Session {
    pub id: u64,
    /// Who greeted from the other side.
    pub peer: Handshake,
    pub out: Outbox,
}

/// What happens on sessions, in order for each.
pub enum SessionEvent {
    Up(Session),
    Said(u64, Message),
    Down(u64),
}
