//! A frame: four bytes of length (big-endian), then one message in postcard's form.

use crate::messages::Message;
use std::fmt;

/// Bytes of a message at most: the claims of a whole window that one voter teaches another, with room (ours).
pub const FRAME_MOST: usize = 16 << 20;

/// Why bytes are no message. The session they came by is closed: what follows can't be trusted either.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Damage {
    TooLong(usize),
    Unreadable(String),
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Damage::TooLong(n) => write!(f, "frame of {n} bytes"),
            Damage::Unreadable(why) => write!(f, "unreadable frame: {why}"),
        }
    }
}

/// Adds a message's frame to what is to be written.
///
/// # Errors
/// A message over `FRAME_MOST` bytes; nothing is added then.
pub fn encode(message: &Message, to: &mut Vec<u8>) -> Result<(), Damage> {
    let start = to.len();
    to.extend([0; 4]);
    let done = postcard::to_extend(message, std::mem::take(to));
    *to = match done {
        Ok(bytes) => bytes,
        Err(e) => return Err(Damage::Unreadable(e.to_string())),
    };
    let length = to.len() - start - 4;
    if length > FRAME_MOST {
        to.truncate(start);
        return Err(Damage::TooLong(length));
    }
    to[start..start + 4].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(())
}

/// Bytes of the message whose four bytes of length these are.
///
/// # Errors
/// More than `FRAME_MOST`.
pub fn length(head: [u8; 4]) -> Result<usize, Damage> {
    let length = u32::from_be_bytes(head) as usize;
    if length > FRAME_MOST {
        Err(Damage::TooLong(length))
    } else {
        Ok(length)
    }
}

/// Reads a message whole.
///
/// # Errors
/// Bytes that are no message, or bytes left over.
pub fn decode(bytes: &[u8]) -> Result<Message, Damage> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok((_, rest)) => Err(Damage::Unreadable(format!(
            "{} bytes left over",
            rest.len()
        ))),
        Err(e) => Err(Damage::Unreadable(e.to_string())),
    }
}
