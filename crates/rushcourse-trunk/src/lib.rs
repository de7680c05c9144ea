//! What directors of the gateway say to each other: messages (`messages.rs`) in frames (`frames.rs`).

pub mod frames;
pub mod messages;

pub use frames::{Damage, FRAME_MOST, decode, encode, length};
pub use messages::*;
