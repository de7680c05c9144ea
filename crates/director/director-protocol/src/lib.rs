//! Codecs of the platform's protocols as a director speaks them over sockets. They are free of I/O and state, and
//! decoded messages borrow from the received bytes.
//!
//! * [`frames`]: messages on the director's own port.
//! * [`relay`]: text lines of the relay, which connects directors to proxies.
//! * [`discovery`]: the host list.
//! * [`load_report`]: load reports of hosts.

pub mod discovery;
pub mod frames;
pub mod load_report;
pub mod relay;
