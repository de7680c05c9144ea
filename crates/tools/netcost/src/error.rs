//! Why netcost ends with code 1 without a finding.

use std::fmt;
use std::process::ExitStatus;

/// Why a measurement was not made.
#[derive(Debug)]
pub enum NetcostError {
    /// The first argument is none that is known.
    UnknownVerb(String),
    /// There is no such part of the hollow run, or its divisor is no number.
    UnknownPart {
        /// The part's name.
        name: String,
        /// What the target is divided by.
        divisor: String,
    },
    /// `hollow` was called with other than a part and a divisor.
    UnexpectedArguments,
    /// The process of a part could not be started.
    Start(std::io::Error),
    /// The process of a part ended otherwise than well.
    PartFailed {
        /// The part's name.
        name: &'static str,
        /// What the target was divided by.
        divisor: usize,
        /// How it ended.
        status: ExitStatus,
    },
}

impl fmt::Display for NetcostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NetcostError::UnknownVerb(verb) => write!(f, "no verb {verb}"),
            NetcostError::UnknownPart { name, divisor } => write!(f, "no part {name} {divisor}"),
            NetcostError::UnexpectedArguments => f.write_str("hollow takes no arguments"),
            NetcostError::Start(error) => error.fmt(f),
            NetcostError::PartFailed {
                name,
                divisor,
                status,
            } => write!(f, "part {name} at 1/{divisor} ended with {status}"),
        }
    }
}

impl std::error::Error for NetcostError {}

impl From<std::io::Error> for NetcostError {
    fn from(error: std::io::Error) -> NetcostError {
        NetcostError::Start(error)
    }
}
