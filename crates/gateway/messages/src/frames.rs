//! Messages as bytes: four bytes of length (big-endian), then the message in postcard's form.

use crate::message::Message;
use std::fmt;

/// Bytes of a message at most: with room for a snapshot chunk and for a configuration's text (ours).
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Bytes of a frame before its message: the message's length.
const HEADER_BYTES: usize = 4;

/// Why bytes are no message. The session that they came by is closed: what follows can't be trusted either.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// A message of so many bytes.
    TooLong(usize),
    /// postcard's reason.
    Unreadable(String),
    /// A message, and so many bytes behind it.
    TrailingBytes(usize),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLong(bytes) => write!(f, "frame of {bytes} bytes"),
            FrameError::Unreadable(reason) => write!(f, "unreadable frame: {reason}"),
            FrameError::TrailingBytes(bytes) => {
                write!(f, "unreadable frame: {bytes} bytes left over")
            }
        }
    }
}

impl std::error::Error for FrameError {}

/// Appends a message's frame to `buffer`.
///
/// # Errors
/// A message over [`MAX_FRAME_BYTES`]; nothing is appended then.
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

/// Bytes of the message that follows these four bytes of length.
///
/// # Errors
/// More than [`MAX_FRAME_BYTES`].
pub fn frame_length(header: [u8; HEADER_BYTES]) -> Result<usize, FrameError> {
    let length = u32::from_be_bytes(header) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    Ok(length)
}

/// Reads a whole message, without the bytes of its length.
///
/// # Errors
/// Bytes that are no message, or bytes left over.
pub fn decode(bytes: &[u8]) -> Result<Message, FrameError> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok((_, rest)) => Err(FrameError::TrailingBytes(rest.len())),
        Err(error) => Err(FrameError::Unreadable(error.to_string())),
    }
}
