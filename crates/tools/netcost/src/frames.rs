//! Messages in frames, as nodes send them.

use rushcourse_messages::{Message, decode, encode};

/// Bytes of a frame before its message.
const HEADER_BYTES: usize = 4;

/// The frame of a message.
pub fn frame(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).expect("a message that fits");
    bytes
}

/// Bytes of a message's frame.
pub fn frame_bytes(message: &Message) -> u64 {
    frame(message).len() as u64
}

/// The message of a frame that [`frame`] made.
pub fn message(frame: &[u8]) -> Message {
    decode(&frame[HEADER_BYTES..]).expect("a frame of ours")
}
