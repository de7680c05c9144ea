//! Encoding of messages: a frame is a four-byte big-endian length, followed by the message encoded with postcard.

use crate::message::Message;
use std::fmt;

/// Maximum length of an encoded message in bytes, without the frame header. Larger than any snapshot chunk or
/// configuration text.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Length of the frame header in bytes. The header holds the length of the message as a big-endian `u32`.
const HEADER_BYTES: usize = 4;

/// A frame that can't be encoded or decoded. The receiver closes the session, since frame boundaries are lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The message has this many bytes, more than [`MAX_FRAME_BYTES`].
    TooLong(usize),
    /// postcard failed to encode or decode the message, for this reason.
    Unreadable(String),
    /// This many bytes follow the message inside the frame.
    TrailingBytes(usize),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLong(bytes) => write!(f, "frame of {bytes} bytes is too long"),
            FrameError::Unreadable(reason) => write!(f, "unreadable frame: {reason}"),
            FrameError::TrailingBytes(bytes) => {
                write!(f, "unreadable frame: {bytes} trailing bytes")
            }
        }
    }
}

impl std::error::Error for FrameError {}

/// Encodes `message` and appends its frame to `buffer`.
///
/// # Errors
/// Returns [`FrameError::TooLong`] if the message exceeds [`MAX_FRAME_BYTES`]; `buffer` is then unchanged.
pub fn encode(message: &Message, buffer: &mut Vec<u8>) -> Result<(), FrameError> {
    let start = buffer.len();
    buffer.extend([0; HEADER_BYTES]);
    let written = postcard::to_extend(message, std::mem::take(buffer));
    *buffer = written.map_err(|error| FrameError::Unreadable(error.to_string()))?;
    let length = buffer.len() - start - HEADER_BYTES;
    if length > MAX_FRAME_BYTES {
        buffer.truncate(start);
        return Err(FrameError::TooLong(length));
    }
    buffer[start..start + HEADER_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(())
}

/// Reads the message length, in bytes, from a frame header.
///
/// # Errors
/// Returns [`FrameError::TooLong`] if the length exceeds [`MAX_FRAME_BYTES`].
pub fn frame_length(header: [u8; HEADER_BYTES]) -> Result<usize, FrameError> {
    let length = u32::from_be_bytes(header) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    Ok(length)
}

/// Decodes the message of a frame. `bytes` is the frame without its header.
///
/// # Errors
/// Returns an error if the bytes are not a valid message or if bytes follow it.
pub fn decode(bytes: &[u8]) -> Result<Message, FrameError> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok((_, rest)) => Err(FrameError::TrailingBytes(rest.len())),
        Err(error) => Err(FrameError::Unreadable(error.to_string())),
    }
}
