//! What a client may send, and how long it may take.

use crate::error::ValidationError;
use crate::json;
use crate::seconds::duration_of;
use facet_value::VObject;
use std::time::Duration;

/// Limits of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a request's head at most.
    pub max_header_bytes: u64,
    /// Bytes of a request's body at most.
    pub max_body_bytes: u64,
    /// How long a client may take to send a request.
    pub header_timeout: Duration,
    /// How long a connection may stand without a request.
    pub idle_timeout: Duration,
}

/// Reads the object of limits. What it does not name has its default.
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
    Ok(duration_of(seconds))
}
