//! One director's session as a pure step: what was read comes in, what is to be written, connected, asked or
//! waited for goes out. Nothing here does I/O or reads a clock.

mod backoff;
mod boundary;
mod bounds;
mod calls;
mod counters;
mod listing;
mod news;
mod peers;
mod probes;
mod relay_connection;
mod reload;
mod reports;
mod session;
mod step_context;
mod streams;

pub use boundary::{Conn, Effect, Input, Link, Places, Reread, Weight};
pub use bounds::{Bounds, StreamBounds};
pub use counters::{Counters, Histogram};
pub use session::{Session, Setup};
