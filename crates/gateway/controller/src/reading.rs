//! Reading the bodies of hosts' calls.

use facet_value::Value;
use rushcourse_config::ValidationError;
use rushcourse_config::json::{number, object, parse, required, text, whole_number};
use rushcourse_messages::{HostRecord, HostState};
use rushcourse_types::{CallSequence, Millis};
use std::sync::Arc;

/// Letters of a host's id, service, zone or address at most (ours).
const WORD_MOST: usize = 200;

fn word(value: &Value, place: &str) -> Result<Arc<str>, ValidationError> {
    let word = text(value, place)?;
    match word.len() {
        0 => Err(ValidationError::at(place, "is empty")),
        n if n > WORD_MOST => Err(ValidationError::at(
            place,
            format!("has {n} letters, over {WORD_MOST}"),
        )),
        _ => Ok(word.into()),
    }
}

/// A registration or a beat.
///
/// # Errors
/// The first field that is missing or wrong, by its place.
pub fn host(id: &str, body: &[u8]) -> Result<HostRecord, ValidationError> {
    if id.is_empty() || id.len() > WORD_MOST {
        return Err(ValidationError::at("path", "names no host"));
    }
    let value = parse(body)?;
    let top = object(&value, "body")?;
    let information = object(required(top, "information", "body")?, "information")?;
    let status = object(required(top, "status", "body")?, "status")?;
    let address = word(required(top, "address", "body")?, "address")?;
    if address.parse::<std::net::SocketAddrV4>().is_err() {
        return Err(ValidationError::at(
            "address",
            format!("{address:?} is no address of the form 10.1.0.34:8080"),
        ));
    }
    let state = match word(required(status, "state", "status")?, "status.state")?.as_ref() {
        "ready" => HostState::Ready,
        "draining" => HostState::Draining,
        other => {
            return Err(ValidationError::at(
                "status.state",
                format!("{other:?} is neither ready nor draining"),
            ));
        }
    };
    let cold = match status.get("cold_remaining_s").filter(|v| !v.is_null()) {
        Some(value) => number(value, "status.cold_remaining_s")?.clamp(0.0, 3600.0),
        None => 0.0,
    };
    let slots = match information.get("available_slots").filter(|v| !v.is_null()) {
        Some(value) => {
            whole_number(value, "information.available_slots")?.clamp(1, 1_000_000) as u32
        }
        None => 1,
    };
    Ok(HostRecord {
        id: id.into(),
        service: word(
            required(information, "service", "information")?,
            "information.service",
        )?,
        zone: word(
            required(information, "zone", "information")?,
            "information.zone",
        )?,
        address,
        slots,
        state,
        sequence: CallSequence(whole_number(
            required(status, "call_sequence", "status")?,
            "status.call_sequence",
        )?),
        warm_up: Millis((cold * 1000.0) as u64),
        age: Millis(0),
    })
}
