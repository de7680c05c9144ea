//! What the gateway's programs share: their start, their log, their clocks, and the sessions between nodes.
//!
//! * [`program`]: the command line of both programs.
//! * [`startup`]: the settings file, the node's handshake, sockets.
//! * [`logging`], [`counters`], [`clock`]: the log, rejections counted for it, and the clocks of a process.
//! * [`session`]: a session as its owner sees it, and what happens on it.
//! * [`session_context`]: what every session of a process starts from.
//! * [`dialer`], [`listener`]: sessions that this node opens, and those that others do.
//! * [`error`]: why a session ended.
//!
//! All of a process's sessions end in one queue of [`SessionEvent`]s, which their owner works through. A session is a
//! TCP connection, with TLS where the settings name keys, that begins with a handshake both ways; then come frames.

pub mod clock;
mod connection;
pub mod counters;
pub mod dialer;
pub mod error;
pub mod listener;
pub mod logging;
pub mod program;
pub mod session;
pub mod session_context;
pub mod startup;
mod tls;

pub use clock::Clock;
pub use counters::ReasonCounters;
pub use dialer::Dialer;
pub use error::SessionError;
pub use listener::{accept, accept_sessions};
pub use session::{Session, SessionEvent};
pub use session_context::SessionContext;
pub use startup::{SETTINGS_VARIABLE, StartError};
pub use tls::KeysError;
