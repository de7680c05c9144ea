//! Why a stand-in can't do what it was asked for.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;
use std::time::Duration;

/// Why a stand-in can't do what it was asked for.
#[derive(Debug)]
pub enum StandinError {
    /// A file can't be read or written.
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file is not JSON.
    Json {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A field of the configuration is no address.
    ConfigAddress {
        /// The field, as a JSON pointer.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// An address of the stand-ins' own can't be read.
    Address(AddrParseError),
    /// A stand-in can't listen, or a program can't be started.
    Start {
        /// What it is.
        what: String,
        /// Why.
        source: io::Error,
    },
    /// A connection can't be made.
    Connect(tonic::transport::Error),
    /// A connection can't be made, or a call can't be sent, below gRPC.
    Http2(h2::Error),
    /// A TCP connection can't be made.
    Tcp(io::Error),
    /// A request's headers can't be built.
    Request(http::Error),
    /// Something did not happen in time.
    Wait(String),
    /// The director does not answer.
    NoAnswer,
    /// Proxies still send requests to a host that drains.
    NotDrained {
        /// How many.
        proxies: usize,
        /// The host.
        host: String,
        /// How long was waited.
        waited: Duration,
    },
}

impl fmt::Display for StandinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StandinError::File { path, source } => write!(f, "{}: {source}", path.display()),
            StandinError::Json { path, source } => write!(f, "{}: {source}", path.display()),
            StandinError::ConfigAddress { field, value } => {
                write!(f, "the configuration's {field} is no address: {value:?}")
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
            StandinError::Wait(text) => write!(f, "{text}"),
            StandinError::NoAnswer => write!(f, "the director does not answer"),
            StandinError::NotDrained {
                proxies,
                host,
                waited,
            } => write!(
                f,
                "{proxies} relays still pick {host} after {} s",
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
    /// What a wait for something says where that did not happen.
    pub(crate) fn wait(error: impl fmt::Display) -> StandinError {
        StandinError::Wait(error.to_string())
    }

    /// Why something can't be started.
    pub(crate) fn start(what: impl Into<String>) -> impl FnOnce(io::Error) -> StandinError {
        let what = what.into();
        move |source| StandinError::Start { what, source }
    }
}
