//! Code shared by the programs of the gateway: startup, logging, clocks, and sessions between nodes.
//!
//! * [`program`]: the command line of both programs.
//! * [`startup`]: settings file, local handshake, runtime and listening sockets.
//! * [`logging`], [`counters`], [`clock`]: log setup, counters by reason, and clocks.
//! * [`session`]: handles of open sessions, and session events.
//! * [`session_context`]: the state shared by all sessions of a process.
//! * [`dialer`], [`listener`]: outbound and inbound sessions.
//! * [`error`]: errors that end a session.
//!
//! A session is a TCP connection, with TLS if the settings name keys. Both sides send a handshake, then frames. The
//! events of all sessions go into one queue of [`SessionEvent`]s that is read by the owner of the [`SessionContext`].

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
