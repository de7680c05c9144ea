//! Why a session between nodes ended, or never began.

use rushcourse_messages::{FrameError, PeerRejection};
use std::fmt;
use std::io;

/// Why a session ended, or never began.
#[derive(Debug)]
pub enum SessionError {
    /// The connection broke, fell silent, or was closed here.
    Io(io::Error),
    /// The peer is not one of this cluster, or sent what a node of its role doesn't send.
    Rejected(PeerRejection),
    /// The peer sent bytes that are no message, or our handshake can't be put into a frame.
    Frame(FrameError),
    /// The TLS handshake failed by what the peer showed, or by what it made of ours.
    BadCertificate(io::Error),
    /// The peer's address is none of IPv4, by which nodes are named.
    NotIpv4,
    /// The peer's first message was no handshake.
    NoHandshake,
    /// This node has as many sessions open as it may have.
    TooManySessions {
        /// Sessions that may be open.
        max_sessions: usize,
    },
}

impl SessionError {
    /// The reason that it is counted by, where this side rejected the peer. `None` where the session just ended.
    pub fn rejection_reason(&self) -> Option<&'static str> {
        match self {
            SessionError::Io(_) => None,
            SessionError::Rejected(rejection) => Some(rejection.reason()),
            SessionError::Frame(FrameError::TooLong(_)) => Some("too long"),
            SessionError::Frame(_) => Some("unreadable"),
            SessionError::BadCertificate(_) => Some("bad certificate"),
            SessionError::NotIpv4 => Some("other machine"),
            SessionError::NoHandshake => Some("no handshake"),
            SessionError::TooManySessions { .. } => Some("too many"),
        }
    }
}

impl fmt::Display for SessionError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SessionError::Io(error) | SessionError::BadCertificate(error) => error.fmt(formatter),
            SessionError::Rejected(rejection) => rejection.fmt(formatter),
            SessionError::Frame(error) => error.fmt(formatter),
            SessionError::NotIpv4 => formatter.write_str("no IPv4 address"),
            SessionError::NoHandshake => formatter.write_str("its first message is no handshake"),
            SessionError::TooManySessions { max_sessions } => {
                write!(formatter, "{max_sessions} sessions are open")
            }
        }
    }
}

impl std::error::Error for SessionError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SessionError::Io(error) | SessionError::BadCertificate(error) => Some(error),
            SessionError::Rejected(rejection) => Some(rejection),
            SessionError::Frame(error) => Some(error),
            SessionError::NotIpv4
            | SessionError::NoHandshake
            | SessionError::TooManySessions { .. } => None,
        }
    }
}

impl From<io::Error> for SessionError {
    fn from(error: io::Error) -> SessionError {
        SessionError::Io(error)
    }
}

impl From<FrameError> for SessionError {
    fn from(error: FrameError) -> SessionError {
        SessionError::Frame(error)
    }
}

impl From<PeerRejection> for SessionError {
    fn from(rejection: PeerRejection) -> SessionError {
        SessionError::Rejected(rejection)
    }
}
