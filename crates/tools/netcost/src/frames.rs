//! Encoded size of messages.

use rushcourse_messages::{Message, encode};

/// Returns the size of a message on the wire in bytes, including its frame header.
pub fn frame_bytes(message: &Message) -> u64 {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).expect("the message is within the frame limit");
    bytes.len() as u64
}
