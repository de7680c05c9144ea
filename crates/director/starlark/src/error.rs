//! What can be wrong with an operators' file.

use std::error::Error;
use std::fmt;
use std::io;

/// A place in a file, both counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

/// Why a file of fronts can't be used.
#[derive(Debug)]
pub enum FrontsError {
    /// The file can't be read.
    Unreadable {
        /// The file.
        file: String,
        /// Why.
        source: io::Error,
    },
    /// The file is too large to be one of settings.
    TooLarge {
        /// The file.
        file: String,
        /// Its size in bytes.
        size: u64,
        /// The largest size in bytes.
        max: usize,
    },
    /// The script can't be parsed, or its evaluation failed or went beyond its bounds.
    Script {
        /// The file.
        file: String,
        /// Where, if that is known.
        position: Option<Position>,
        /// What is wrong there. Where an argument is wrong, the text of a [`FieldError`].
        message: String,
    },
    /// The file leaves no way to reach a proxy.
    NoFront {
        /// The file.
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
                write!(f, "{file}: {size} bytes, {max} at most")
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
                "{file}: platform(relay = False) without grpc(...): no proxy could be reached"
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

/// What is wrong with an argument of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldError {
    /// `listen` is no address and port.
    Listen(String),
    /// Neither a prefix nor names: no node id could name a proxy.
    NoNodeIds,
    /// `node_names` has too many entries.
    TooManyNodeNames {
        /// How many there are.
        count: usize,
        /// How many there may be.
        max: usize,
    },
    /// `node_names` gives a proxy's number to two names.
    NodeNamedTwice {
        /// The number.
        proxy: u32,
        /// The name that came first.
        first: String,
        /// The other name.
        second: String,
    },
    /// A number is out of its range.
    OutOfRange {
        /// The field.
        field: String,
        /// The least value.
        min: i32,
        /// The largest value.
        max: i32,
        /// What was given.
        value: i32,
    },
    /// One of `tls_cert` and `tls_key` is missing.
    IncompleteTls,
    /// `tls_client_ca` without `tls_cert` and `tls_key`.
    ClientCaWithoutTls,
    /// A function is called a second time.
    CalledTwice(&'static str),
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldError::Listen(text) => write!(f, "listen is no address and port: {text:?}"),
            FieldError::NoNodeIds => write!(
                f,
                "node_prefix is empty and node_names too: no relay could say who it is"
            ),
            FieldError::TooManyNodeNames { count, max } => {
                write!(f, "node_names has {count} entries, {max} at most")
            }
            FieldError::NodeNamedTwice {
                proxy,
                first,
                second,
            } => write!(
                f,
                "node_names gives relay {proxy} to {first:?} and to {second:?}"
            ),
            FieldError::OutOfRange {
                field,
                min,
                max,
                value,
            } => write!(f, "{field} must be {min} to {max}, it is {value}"),
            FieldError::IncompleteTls => write!(
                f,
                "tls_cert and tls_key go together: one of them is missing"
            ),
            FieldError::ClientCaWithoutTls => {
                write!(f, "tls_client_ca needs tls_cert and tls_key")
            }
            FieldError::CalledTwice(function) => {
                write!(f, "{function}(...) is called twice: a director has one")
            }
        }
    }
}

impl Error for FieldError {}
