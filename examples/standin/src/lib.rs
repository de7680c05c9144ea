//! Stand-ins for what surrounds a director: a relay, discovery, hosts, a collector. They are written from the protocol
//! page alone, without the director's own codecs, so that each checks the other. They serve the socket tests and the
//! example; they make no load and simulate nothing.
//!
//! * [`relay`]: takes calls with orders and notifies of proxies.
//! * [`discovery`]: lists hosts.
//! * [`host`]: answers health checks.
//! * [`collector`]: reports to a director.
//! * [`scenario`]: the example, played with all of them.
//! * [`wait`]: waits until something holds.

pub mod collector;
pub mod discovery;
pub mod host;
pub mod relay;
pub mod scenario;
pub mod wait;
