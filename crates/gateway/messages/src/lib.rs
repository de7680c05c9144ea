//! What directors of the gateway say to each other: messages (`messages.rs`) in frames (`frames.rs`), and who may say
//! them (`speakers.rs`).

pub mod ballots;
pub mod frames;
pub mod identity;
pub mod messages;
pub mod speakers;

pub use ballots::*;
pub use frames::{Damage, FRAME_MOST, decode, encode, length};
pub use identity::*;
pub use messages::*;
pub use speakers::{Foreign, Shown};
