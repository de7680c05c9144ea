//! Plumbing that the gateway's programs share.

pub mod boot;
pub mod logs;
pub mod office;
pub mod outbox;
pub mod sessions;
pub mod tally;
pub mod times;

pub use boot::{SETTINGS_VARIABLE, StartError, start};
pub use office::Office;
pub use outbox::{Outbox, Session, SessionEvent};
pub use sessions::{Dialler, accept, listen};
pub use tally::Tally;
pub use times::Times;
