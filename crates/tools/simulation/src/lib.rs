//! Deterministic simulation of a director. Scripts generated from a seed run on a fake clock, each once with proxies on
//! the platform's relay, on state-of-the-world streams, on delta streams and on a mix of these. A checker verifies five
//! rules from the tables that proxies hold, and the tables of all modes are compared.

pub mod check;
pub mod cost;
pub mod proxy;
pub mod script;
pub mod suite;
pub mod world;
