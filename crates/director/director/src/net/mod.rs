//! All reading and writing on sockets. Nothing here decides; what is read becomes an input of the session.

pub mod admin;
pub mod discovery;
pub mod listener;
pub mod probe;
pub mod relay;

mod http;
