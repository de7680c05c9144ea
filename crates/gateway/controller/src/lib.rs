//! The core director's program: calls of hosts and operators over HTTP (`calls.rs`, `reading.rs`), sessions with other
//! directors (`links.rs`), and the owner that works through all of it and carries out what the pure parts say
//! (`owner.rs`).

mod calls;
mod links;
mod owner;
mod pages;
mod reading;
mod state_file;
mod work;

pub use owner::serve;
