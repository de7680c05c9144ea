//! Errors of operators' configuration files.

use std::error::Error;
use std::fmt;
use std::io;

/// A position in a file; line and column count from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Line number, from 1.
    pub line: usize,
    /// Column number, from 1.
    pub column: usize,
}

/// Why a fronts file can't be used.
#[derive(Debug)]
pub enum FrontsError {
    /// The file can't be read.
    Unreadable {
        /// Path of the file.
        file: String,
        /// The error from the file system.
        source: io::Error,
    },
    /// The file exceeds the size limit.
    TooLarge {
        /// Path of the file.
        file: String,
        /// Size of the file in bytes.
        size: u64,
        /// Size limit in bytes.
        max: usize,
    },
    /// The script has a syntax error, or its evaluation failed or exceeded a limit.
    Script {
        /// Path of the file.
        file: String,
        /// Position of the error; `None` if it is unknown.
        position: Option<Position>,
        /// The evaluator's error message; for an invalid argument, the text of a [`FieldError`].
        message: String,
    },
    /// The file disables the relay and configures no gRPC front, so that no proxy could connect.
    NoFront {
        /// Path of the file.
        file: String,
    },
}

impl fmt::Display for FrontsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrontsError::Unreadable { file, source } => {
                write!(f, "{file}: can't be read: {source}")
            }
            FrontsError::TooLarge { file, size, max } => {
                write!(
                    f,
                    "{file}: size of {size} bytes exceeds the limit of {max} bytes"
                )
            }
            FrontsError::Script {
                file,
                position: Some(Position { line, column }),
                message,
            } => write!(f, "{file}:{line}:{column}: {message}"),
            FrontsError::Script {
                file,
                position: None,
                message,
            } => write!(f, "{file}: {message}"),
            FrontsError::NoFront { file } => write!(
                f,
                "{file}: platform(relay = False) requires grpc(...): no proxy could connect"
            ),
        }
    }
}

impl Error for FrontsError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            FrontsError::Unreadable { source, .. } => Some(source),
            _ => None,
        }
    }
}

/// An invalid argument of a function call in a script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldError {
    /// `listen` isn't an IP address with a port; contains the given text.
    Listen(String),
    /// `node_prefix` and `node_names` are both empty, so that no node id maps to a proxy.
    NoNodeIds,
    /// `node_names` has too many entries.
    TooManyNodeNames {
        /// Number of entries given.
        count: usize,
        /// Largest number of entries allowed.
        max: usize,
    },
    /// `node_names` maps two node ids to the same proxy.
    NodeNamedTwice {
        /// Number of the proxy.
        proxy: u32,
        /// The node id that comes first.
        first: String,
        /// The node id that comes second.
        second: String,
    },
    /// A number is out of range.
    OutOfRange {
        /// Name of the argument, with the key if it is an entry of `node_names`.
        field: String,
        /// Smallest valid value.
        min: i32,
        /// Largest valid value.
        max: i32,
        /// The value given.
        value: i32,
    },
    /// Only one of `tls_cert` and `tls_key` is given.
    IncompleteTls,
    /// `tls_client_ca` is given without `tls_cert` and `tls_key`.
    ClientCaWithoutTls,
    /// A function that may be called once is called again; contains its name.
    CalledTwice(&'static str),
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldError::Listen(text) => write!(f, "listen is no address and port: {text:?}"),
            FieldError::NoNodeIds => write!(
                f,
                "node_prefix and node_names are both empty: no relay could be identified"
            ),
            FieldError::TooManyNodeNames { count, max } => {
                write!(f, "node_names has {count} entries, the limit is {max}")
            }
            FieldError::NodeNamedTwice {
                proxy,
                first,
                second,
            } => write!(
                f,
                "node_names maps both {first:?} and {second:?} to relay {proxy}"
            ),
            FieldError::OutOfRange {
                field,
                min,
                max,
                value,
            } => write!(f, "{field} must be {min} to {max}, got {value}"),
            FieldError::IncompleteTls => write!(f, "tls_cert and tls_key must be given together"),
            FieldError::ClientCaWithoutTls => {
                write!(f, "tls_client_ca requires tls_cert and tls_key")
            }
            FieldError::CalledTwice(function) => {
                write!(f, "{function}(...) may be called only once")
            }
        }
    }
}

impl Error for FieldError {}
