//! Handles of open sessions with their send queues, and the events that sessions emit.

use rushcourse_messages::{Handshake, Message, encode};
use rushcourse_types::SessionId;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Maximum length of a send queue in bytes. A session is closed when its peer reads too slowly to stay below it.
const MAX_QUEUED_BYTES: usize = 8 << 20;

/// The encoded frames that are pending for one peer.
struct SendQueue {
    frames: RefCell<Vec<u8>>,
    /// Notifies the writing task that frames are pending or the session was closed.
    writer_wakeup: Notify,
    is_closed: Cell<bool>,
}

/// Shared handle to the send queue of a session; clones refer to the same queue.
#[derive(Clone)]
pub(crate) struct SendHandle(Rc<SendQueue>);

impl SendHandle {
    pub(crate) fn new() -> SendHandle {
        SendHandle(Rc::new(SendQueue {
            frames: RefCell::default(),
            writer_wakeup: Notify::new(),
            is_closed: Cell::new(false),
        }))
    }

    /// Appends a message to the queue. Closes the session if the queue exceeds its limit; drops a message that can't be
    /// encoded.
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
        self.0.writer_wakeup.notify_one();
    }

    /// Waits until frames are pending or the session is closed.
    pub(crate) async fn wait(&self) {
        self.0.writer_wakeup.notified().await;
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.0.is_closed.get()
    }

    /// Removes and returns all pending frames, concatenated.
    pub(crate) fn take_frames(&self) -> Vec<u8> {
        std::mem::take(&mut *self.0.frames.borrow_mut())
    }

    pub(crate) fn close(&self) {
        self.0.is_closed.set(true);
        self.0.writer_wakeup.notify_one();
    }
}

/// Handle to an open session; clones refer to the same session.
#[derive(Clone)]
pub struct Session {
    /// Identifies the session within this process; never reused.
    pub id: SessionId,
    /// The handshake received from the peer.
    pub peer: Handshake,
    queue: SendHandle,
}

impl Session {
    pub(crate) fn new(id: SessionId, peer: Handshake, queue: SendHandle) -> Session {
        Session { id, peer, queue }
    }

    /// Queues a message for the peer. Closes the session if more than 8 MiB are pending.
    pub fn send(&self, message: &Message) {
        self.queue.send(message);
    }

    /// Closes the session and drops pending messages. `SessionEvent::Closed` follows.
    pub fn close(&self) {
        self.queue.close();
    }
}

/// An event of a session. The events of one session arrive in order.
pub enum SessionEvent {
    /// The peer's handshake was accepted; messages can be sent.
    Opened(Session),
    /// The peer sent a message that passed authorization.
    Received {
        /// The id of the session that received the message.
        session: SessionId,
        /// Any message except `Message::Ping`.
        message: Message,
    },
    /// The session ended for any reason, including a local call of `Session::close`.
    Closed(SessionId),
}
