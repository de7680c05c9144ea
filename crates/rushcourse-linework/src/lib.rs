//! Plumbing that the gateway's programs share.

pub mod boot;
pub mod logs;
pub mod sessions;
pub mod times;

pub use boot::{SETTINGS_VARIABLE, StartError, start};
pub use sessions::{Dialler, Outbox, Session, SessionEvent, accept, listen};
pub use times::Times;
