//! A session as its owner sees it: who is on the other side, and where messages wait to be written.

use rushcourse_messages::{Handshake, Message, encode};
use rushcourse_types::SessionId;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Bytes that may wait for a peer that does not read; beyond, its session is closed (ours).
const MAX_QUEUED_BYTES: usize = 8 << 20;

/// Messages to one peer that wait to be written, as bytes of their frames.
struct SendQueue {
    frames: RefCell<Vec<u8>>,
    /// Wakes the task that writes: something waits, or the session is to end.
    writer: Notify,
    is_closed: Cell<bool>,
}

/// A way to the send queue of a session; a clone is the same queue.
#[derive(Clone)]
pub(crate) struct SendHandle(Rc<SendQueue>);

impl SendHandle {
    pub(crate) fn new() -> SendHandle {
        SendHandle(Rc::new(SendQueue {
            frames: RefCell::default(),
            writer: Notify::new(),
            is_closed: Cell::new(false),
        }))
    }

    /// Puts a message behind what waits. A session that can't take it is closed.
    pub(crate) fn send(&self, message: &Message) {
        if self.is_closed() {
            return;
        }
        let mut frames = self.0.frames.borrow_mut();
        if let Err(error) = encode(message, &mut frames) {
            log::error!("event=message_not_encoded why={:?}", error.to_string());
            return;
        }
        if frames.len() > MAX_QUEUED_BYTES {
            log::warn!("event=send_queue_full bytes={}", frames.len());
            drop(frames);
            return self.close();
        }
        drop(frames);
        self.0.writer.notify_one();
    }

    /// Waits until something is to be written, or the session is to end.
    pub(crate) async fn wait(&self) {
        self.0.writer.notified().await;
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.0.is_closed.get()
    }

    /// All that waits, as bytes to write.
    pub(crate) fn take_frames(&self) -> Vec<u8> {
        std::mem::take(&mut *self.0.frames.borrow_mut())
    }

    pub(crate) fn close(&self) {
        self.0.is_closed.set(true);
        self.0.writer.notify_one();
    }
}

/// An open session; a clone is the same session.
#[derive(Clone)]
pub struct Session {
    /// Its number in this process.
    pub id: SessionId,
    /// The handshake of the node on the other side.
    pub peer: Handshake,
    queue: SendHandle,
}

impl Session {
    pub(crate) fn new(id: SessionId, peer: Handshake, queue: SendHandle) -> Session {
        Session { id, peer, queue }
    }

    /// Queues a message for the peer. A session that can't take it is closed.
    pub fn send(&self, message: &Message) {
        self.queue.send(message);
    }

    /// Ends the session; what waits to be written is dropped.
    pub fn close(&self) {
        self.queue.close();
    }
}

/// What happens on sessions, in order for each.
pub enum SessionEvent {
    /// Both sides have checked each other's handshake.
    Opened(Session),
    /// The peer sent a message that a node of its role may send.
    Received {
        /// The session that it came on.
        session: SessionId,
        /// The message; never a ping.
        message: Message,
    },
    /// The session is over, for whatever reason.
    Closed(SessionId),
}
