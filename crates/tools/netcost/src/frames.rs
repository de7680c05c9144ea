//! Messages in frames, as nodes send them.

use rushcourse_messages::{Message, encode};

/// Bytes of a message's frame.
pub fn frame_bytes(message: &Message) -> u64 {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).expect("a message that fits");
    bytes.len() as u64
}
