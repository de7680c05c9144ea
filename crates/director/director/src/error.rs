//! Why the program ends with something to say.

use crate::config::ConfigError;
use rushcourse_grpc::ListenError;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why the director does not run, or does not follow a new configuration.
#[derive(Debug)]
pub(crate) enum DirectorError {
    /// The configuration can't be used.
    Config(ConfigError),
    /// The runtime can't be started.
    Runtime(io::Error),
    /// Signals can't be received.
    Signals(io::Error),
    /// The director's address can't be bound.
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The gRPC address can't be served.
    Grpc(ListenError),
}

impl DirectorError {
    /// The exit code of the program: 2 where its environment is wrong, else 1.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            DirectorError::Config(ConfigError::NotNamed) => 2,
            _ => 1,
        }
    }
}

impl From<ConfigError> for DirectorError {
    fn from(error: ConfigError) -> DirectorError {
        DirectorError::Config(error)
    }
}

impl fmt::Display for DirectorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DirectorError::Config(source) => write!(f, "{source}"),
            DirectorError::Runtime(source) => write!(f, "no runtime: {source}"),
            DirectorError::Signals(source) => write!(f, "no signals: {source}"),
            DirectorError::Listen { address, source } => {
                write!(f, "listen: {address} can't be bound: {source}")
            }
            DirectorError::Grpc(source) => write!(f, "grpc: {source}"),
        }
    }
}

impl Error for DirectorError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            DirectorError::Config(source) => Some(source),
            DirectorError::Runtime(source)
            | DirectorError::Signals(source)
            | DirectorError::Listen { source, .. } => Some(source),
            DirectorError::Grpc(source) => Some(source),
        }
    }
}
