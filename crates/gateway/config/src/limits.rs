//! Size and time limits of client connections.

use crate::error::ValidationError;
use crate::json;
use crate::seconds::duration_from_seconds;
use facet_value::VObject;
use std::time::Duration;

/// Size and time limits of a client connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request's head in bytes; default 16 KiB.
    pub max_header_bytes: u64,
    /// Maximum size of a request's body in bytes; default 64 MiB.
    pub max_body_bytes: u64,
    /// Time a client has to send the head of a request; greater than 0, default 3 s.
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed; greater than 0, default 15 s.
    pub idle_timeout: Duration,
}

/// Parses the `limits` object. Missing and null members get their defaults.
pub(crate) fn read_limits(object: &VObject) -> Result<Limits, ValidationError> {
    let number = |name: &str, default: f64| read_number(object, name, default);
    let max_header_bytes = number("header_size_bytes", 16_384.0)? as u64;
    let max_body_bytes = number("body_size_bytes", 67_108_864.0)? as u64;
    let header_timeout = number("header_timeout_s", 3.0)?;
    let idle_timeout = number("idle_timeout_s", 15.0)?;
    Ok(Limits {
        max_header_bytes,
        max_body_bytes,
        header_timeout: timeout("header_timeout_s", header_timeout)?,
        idle_timeout: timeout("idle_timeout_s", idle_timeout)?,
    })
}

fn read_number(object: &VObject, name: &str, default: f64) -> Result<f64, ValidationError> {
    match object.get(name).filter(|value| !value.is_null()) {
        Some(value) => json::number(value, &format!("limits.{name}")),
        None => Ok(default),
    }
}

fn timeout(name: &str, seconds: f64) -> Result<Duration, ValidationError> {
    if seconds <= 0.0 {
        let reason = format!("{seconds} is not over 0");
        return Err(ValidationError::at(&format!("limits.{name}"), reason));
    }
    Ok(duration_from_seconds(seconds))
}
