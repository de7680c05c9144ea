//! Error type of the stand-ins.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;
use std::time::Duration;

/// Error of a stand-in, the scenario or a measurement.
#[derive(Debug)]
pub enum StandinError {
    /// A file can't be read or written.
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error from the operating system.
        source: io::Error,
    },
    /// A configuration file is not valid JSON.
    Json {
        /// Path of the file.
        path: PathBuf,
        /// Syntax error with its line and column.
        source: serde_json::Error,
    },
    /// A configuration field is not a valid socket address.
    ConfigAddress {
        /// JSON pointer of the field.
        field: &'static str,
        /// Value of the field, empty if it is missing or not a string.
        value: String,
    },
    /// A fixed listen address can't be parsed.
    Address(AddrParseError),
    /// A stand-in can't listen, or a program can't be started.
    Start {
        /// Kind or address of the stand-in, or path of the program.
        what: String,
        /// Error from the operating system.
        source: io::Error,
    },
    /// A gRPC connection can't be established.
    Connect(tonic::transport::Error),
    /// An HTTP/2 connection or stream failed.
    Http2(h2::Error),
    /// A TCP connection can't be established.
    Tcp(io::Error),
    /// The headers of a request are invalid.
    Request(http::Error),
    /// A condition did not become true in time; the text describes it.
    Timeout(String),
    /// The director did not accept connections in time.
    NotResponding,
    /// Some proxies still select a draining host after the time limit.
    NotDrained {
        /// Number of these proxies.
        proxies: usize,
        /// ID of the draining host.
        host: String,
        /// The time limit.
        waited: Duration,
    },
}

impl fmt::Display for StandinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StandinError::File { path, source } => write!(f, "{}: {source}", path.display()),
            StandinError::Json { path, source } => write!(f, "{}: {source}", path.display()),
            StandinError::ConfigAddress { field, value } => {
                write!(f, "configuration field {field}: invalid address {value:?}")
            }
            StandinError::Address(source) => write!(f, "{source}"),
            StandinError::Start { what, source } => write!(f, "{what}: {source}"),
            StandinError::Connect(error) => match error.source() {
                Some(source) => write!(f, "{error}: {source}"),
                None => write!(f, "{error}"),
            },
            StandinError::Http2(source) => write!(f, "{source}"),
            StandinError::Tcp(source) => write!(f, "{source}"),
            StandinError::Request(source) => write!(f, "{source}"),
            StandinError::Timeout(text) => write!(f, "{text}"),
            StandinError::NotResponding => write!(f, "the director does not respond"),
            StandinError::NotDrained {
                proxies,
                host,
                waited,
            } => write!(
                f,
                "{proxies} relays still select {host} after {} s",
                waited.as_secs()
            ),
        }
    }
}

impl Error for StandinError {}

impl From<AddrParseError> for StandinError {
    fn from(error: AddrParseError) -> StandinError {
        StandinError::Address(error)
    }
}

impl From<tonic::transport::Error> for StandinError {
    fn from(error: tonic::transport::Error) -> StandinError {
        StandinError::Connect(error)
    }
}

impl From<h2::Error> for StandinError {
    fn from(error: h2::Error) -> StandinError {
        StandinError::Http2(error)
    }
}

impl StandinError {
    /// Converts the error of a wait.
    pub(crate) fn timeout(error: impl fmt::Display) -> StandinError {
        StandinError::Timeout(error.to_string())
    }

    /// Returns a converter for errors of starting a stand-in or a program.
    pub(crate) fn start(what: impl Into<String>) -> impl FnOnce(io::Error) -> StandinError {
        let what = what.into();
        move |source| StandinError::Start { what, source }
    }
}
