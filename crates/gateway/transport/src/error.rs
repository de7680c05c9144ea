//! Errors that end a session between nodes or prevent it from opening.

use rushcourse_messages::{FrameError, PeerRejection};
use std::fmt;
use std::io;

/// The reason why a session ended or could not be opened.
#[derive(Debug)]
pub enum SessionError {
    /// The connection failed, timed out or was closed by this node.
    Io(io::Error),
    /// The peer's handshake or one of its messages failed authorization.
    Rejected(PeerRejection),
    /// The peer sent a malformed frame, or the local handshake could not be encoded.
    Frame(FrameError),
    /// The TLS handshake failed: a certificate was not accepted, or the peer did not speak TLS.
    BadCertificate(io::Error),
    /// The peer has no IPv4 address, from which its node id would be derived.
    NotIpv4,
    /// The peer's first message was not a handshake.
    NoHandshake,
    /// The limit for inbound sessions is reached.
    TooManySessions {
        /// Maximum number of open inbound sessions.
        max_sessions: usize,
    },
}

impl SessionError {
    /// The reason under which the rejection of the peer is counted. `None` if the peer was not rejected.
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
            SessionError::NotIpv4 => formatter.write_str("the peer has no IPv4 address"),
            SessionError::NoHandshake => formatter.write_str("the first message is no handshake"),
            SessionError::TooManySessions { max_sessions } => {
                write!(formatter, "the limit of {max_sessions} sessions is reached")
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
