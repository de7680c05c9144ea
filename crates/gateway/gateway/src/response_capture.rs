//! Copies a response that is streamed to the client, so that repeats of the operation get it too.

use crate::response_memory::ReservedMemory;
use crate::state::GatewayState;
use bytes::Bytes;
use rushcourse_messages::{ResponseHead, StoredResponse};
use std::rc::Rc;

/// The part of a streamed response that has passed so far. Given up once it exceeds the longest response that is stored,
/// or the memory for responses.
pub(crate) struct ResponseCapture {
    gateway: Rc<GatewayState>,
    head: ResponseHead,
    /// `None` once the response is given up.
    captured: Option<CapturedBody>,
}

/// The body so far, with the memory for it.
struct CapturedBody {
    bytes: Vec<u8>,
    memory: ReservedMemory,
}

impl ResponseCapture {
    pub(crate) fn new(gateway: &Rc<GatewayState>, head: ResponseHead) -> ResponseCapture {
        ResponseCapture {
            gateway: gateway.clone(),
            head,
            captured: Some(CapturedBody {
                bytes: Vec::new(),
                memory: ReservedMemory::new(gateway),
            }),
        }
    }

    /// Whether the response will not be stored.
    pub(crate) fn is_given_up(&self) -> bool {
        self.captured.is_none()
    }

    /// Adds the next chunk of the body.
    pub(crate) fn push(&mut self, chunk: &Bytes) {
        let Some(captured) = &mut self.captured else {
            return;
        };
        let max_bytes = self.gateway.max_stored_response_bytes();
        let is_short = captured.bytes.len() + chunk.len() <= max_bytes;
        if is_short && captured.memory.extend(chunk.len()) {
            captured.bytes.extend_from_slice(chunk);
        } else {
            self.captured = None;
        }
    }

    /// Returns the response, after its last chunk; `None` if it was given up.
    pub(crate) fn finish(self) -> Option<StoredResponse> {
        let captured = self.captured?;
        StoredResponse::new(&self.head, &captured.bytes).ok()
    }
}
