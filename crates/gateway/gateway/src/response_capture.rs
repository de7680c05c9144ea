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
    body: Vec<u8>,
    memory: Vec<ReservedMemory>,
    is_given_up: bool,
}

impl ResponseCapture {
    pub(crate) fn new(gateway: &Rc<GatewayState>, head: ResponseHead) -> ResponseCapture {
        ResponseCapture {
            gateway: gateway.clone(),
            head,
            body: Vec::new(),
            memory: Vec::new(),
            is_given_up: false,
        }
    }

    /// Whether the response will not be stored.
    pub(crate) fn is_given_up(&self) -> bool {
        self.is_given_up
    }

    /// Adds the next chunk of the body.
    pub(crate) fn push(&mut self, chunk: &Bytes) {
        if self.is_given_up {
            return;
        }
        let is_too_long = self.body.len() + chunk.len() > self.gateway.max_stored_response_bytes();
        let memory = ReservedMemory::reserve(&self.gateway, chunk.len());
        let Some(memory) = memory.filter(|_| !is_too_long) else {
            return self.give_up();
        };
        self.memory.push(memory);
        self.body.extend_from_slice(chunk);
    }

    fn give_up(&mut self) {
        self.is_given_up = true;
        self.body = Vec::new();
        self.memory.clear();
    }

    /// Returns the response, after its last chunk; `None` if it was given up.
    pub(crate) fn finish(self) -> Option<StoredResponse> {
        if self.is_given_up {
            return None;
        }
        StoredResponse::new(&self.head, &self.body).ok()
    }
}
