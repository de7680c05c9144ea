//! The director's process on loopback sockets, with stand-ins that misbehave.
//!
//! * `relay.rs`: the relay and discovery. `peers.rs`: peers at the director's own address.
//! * `pages.rs`: pages by HTTP. `lifecycle.rs`: start, reload, end. `storm.rs`: faults of all kinds at once.

#[path = "../common/mod.rs"]
mod common;
mod lifecycle;
mod pages;
mod peers;
mod relay;
mod storm;
