//! Parsing of the JSON body that a host sends with a registration or a heartbeat.

use facet_value::{VObject, Value};
use rushcourse_config::ValidationError;
use rushcourse_config::json::{self, number, object, required, whole_number};
use rushcourse_messages::{HostRecord, HostState};
use rushcourse_types::{CallSequence, Millis};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Maximum length in bytes of a host's id, service, zone or address.
const MAX_FIELD_BYTES: usize = 200;
/// Upper limit of the remaining warm-up time; larger values are clamped.
const MAX_WARM_UP_SECONDS: f64 = 3600.0;
/// Upper limit of the number of concurrent requests per host; larger values are clamped.
const MAX_SLOTS: u64 = 1_000_000;

/// Parses the body of a registration or heartbeat of the host `id`.
///
/// # Errors
/// Returns an error that names the first missing or invalid field.
pub(super) fn parse(id: &str, body: &[u8]) -> Result<HostRecord, ValidationError> {
    if id.is_empty() || id.len() > MAX_FIELD_BYTES {
        return Err(ValidationError::at("path", "names no host"));
    }
    let value = json::parse(body)?;
    let fields = object(&value, "body")?;
    let information = object(required(fields, "information", "body")?, "information")?;
    let status = object(required(fields, "status", "body")?, "status")?;
    let address = parse_address(fields)?;
    let state = parse_state(status)?;
    let warm_up = parse_warm_up(status)?;
    let slots = parse_slots(information)?;
    let service = required(information, "service", "information")?;
    let zone = required(information, "zone", "information")?;
    let sequence = required(status, "call_sequence", "status")?;
    Ok(HostRecord {
        id: id.into(),
        service: text_field(service, "information.service")?,
        zone: text_field(zone, "information.zone")?,
        address,
        slots,
        state,
        sequence: CallSequence(whole_number(sequence, "status.call_sequence")?),
        warm_up,
        age: Millis(0),
    })
}

fn parse_address(fields: &VObject) -> Result<Arc<str>, ValidationError> {
    let address = text_field(required(fields, "address", "body")?, "address")?;
    if address.parse::<SocketAddrV4>().is_err() {
        let reason = format!("{address:?} is no address of the form 10.1.0.34:8080");
        return Err(ValidationError::at("address", reason));
    }
    Ok(address)
}

fn parse_state(status: &VObject) -> Result<HostState, ValidationError> {
    let state = text_field(required(status, "state", "status")?, "status.state")?;
    match &*state {
        "ready" => Ok(HostState::Ready),
        "draining" => Ok(HostState::Draining),
        other => {
            let reason = format!("{other:?} is neither ready nor draining");
            Err(ValidationError::at("status.state", reason))
        }
    }
}

fn parse_warm_up(status: &VObject) -> Result<Millis, ValidationError> {
    let Some(value) = optional(status, "cold_remaining_s") else {
        return Ok(Millis(0));
    };
    let seconds = number(value, "status.cold_remaining_s")?.clamp(0.0, MAX_WARM_UP_SECONDS);
    Ok(Millis((seconds * 1000.0) as u64))
}

fn parse_slots(information: &VObject) -> Result<u32, ValidationError> {
    let Some(value) = optional(information, "available_slots") else {
        return Ok(1);
    };
    let slots = whole_number(value, "information.available_slots")?;
    Ok(slots.clamp(1, MAX_SLOTS) as u32)
}

fn optional<'a>(fields: &'a VObject, name: &str) -> Option<&'a Value> {
    fields.get(name).filter(|value| !value.is_null())
}

fn text_field(value: &Value, field: &str) -> Result<Arc<str>, ValidationError> {
    let text = json::text(value, field)?;
    match text.len() {
        0 => Err(ValidationError::at(field, "is empty")),
        length if length > MAX_FIELD_BYTES => Err(ValidationError::at(
            field,
            format!("has {length} letters, over {MAX_FIELD_BYTES}"),
        )),
        _ => Ok(text.into()),
    }
}
