//! Codecs of the protocol that real directors speak. Pure: bytes in, borrowed messages out, and back. No I/O,
//! no state, no decision.

pub mod discovery;
pub mod frames;
pub mod load;
pub mod relay;
