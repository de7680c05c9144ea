//! Errors that end the program or make a reload fail.

use crate::config::ConfigError;
use rushcourse_grpc::ListenError;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why the director can't start, or rejects a reloaded configuration.
#[derive(Debug)]
pub(crate) enum DirectorError {
    Config(ConfigError),
    /// The Tokio runtime can't be built.
    Runtime(io::Error),
    /// The signal handlers can't be installed.
    Signals(io::Error),
    /// The director's own address can't be bound.
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    /// The gRPC address can't be bound, or its certificates are unusable.
    Grpc(ListenError),
}

impl DirectorError {
    /// The program's exit code: 2 if RELAY_CONFIG is not set, 1 for all other errors.
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
            DirectorError::Runtime(source) => write!(f, "can't start the runtime: {source}"),
            DirectorError::Signals(source) => write!(f, "can't install signal handlers: {source}"),
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
