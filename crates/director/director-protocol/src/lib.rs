//! Codecs of the platform's protocol as a director on sockets speaks it. Pure: bytes in, borrowed messages out, and
//! back. No I/O, no state, no decision.
//!
//! * [`frames`]: messages at the director's own address.
//! * [`relay`]: lines of the relay, over which proxies are reached.
//! * [`discovery`]: the list of hosts.
//! * [`load_report`]: what hosts report of their load.

pub mod discovery;
pub mod frames;
pub mod load_report;
pub mod relay;
