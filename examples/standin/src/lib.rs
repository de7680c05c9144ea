//! Stand-ins for what surrounds a director: a relay, discovery, hosts, a collector. Written from the protocol
//! page alone, without the director's own codecs, so that each checks the other. They serve the socket tests
//! and the example; they make no load and simulate nothing.

pub mod collector;
pub mod discovery;
pub mod hosts;
pub mod relay;
pub mod story;
