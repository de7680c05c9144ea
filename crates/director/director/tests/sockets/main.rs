//! Tests of a director process on loopback sockets, with stand-ins that inject faults.
//!
//! * `relay.rs`: the relay and discovery. `peers.rs`: peers that connect to the director's own address.
//! * `pages.rs`: HTTP pages. `lifecycle.rs`: start, reload and shutdown. `fault_injection.rs`: random faults.

#[path = "../common/mod.rs"]
mod common;
mod fault_injection;
mod lifecycle;
mod pages;
mod peers;
mod relay;
