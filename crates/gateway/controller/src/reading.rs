//! Reading the bodies of hosts' calls.

use facet_value::Value;
use rushcourse_config::Invalid;
use rushcourse_config::cells::{needed, number, object, whole};
use rushcourse_messages::{HostRecord, HostState};
use rushcourse_types::{CallSequence, Millis};
use std::sync::Arc;

/// Letters of a host's id, service, zone or address at most (ours).
const WORD_MOST: usize = 200;

fn word(value: &Value, place: &str) -> Result<Arc<str>, Invalid> {
    let word = value
        .as_string()
        .ok_or_else(|| Invalid::at(place, "must be a word"))?;
    let word = word.as_str();
    match word.len() {
        0 => Err(Invalid::at(place, "is empty")),
        n if n > WORD_MOST => Err(Invalid::at(
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
pub fn host(id: &str, body: &[u8]) -> Result<HostRecord, Invalid> {
    if id.is_empty() || id.len() > WORD_MOST {
        return Err(Invalid::at("path", "names no host"));
    }
    let text =
        std::str::from_utf8(body).map_err(|e| Invalid::at("body", format!("is no text: {e}")))?;
    let value: Value = facet_json::from_str(text)
        .map_err(|e| Invalid::at("body", format!("can't be read: {e}")))?;
    let top = object(&value, "body")?;
    let information = object(needed(top, "information", "body")?, "information")?;
    let status = object(needed(top, "status", "body")?, "status")?;
    let address = word(needed(top, "address", "body")?, "address")?;
    if address.parse::<std::net::SocketAddrV4>().is_err() {
        return Err(Invalid::at(
            "address",
            format!("{address:?} is no address of the form 10.1.0.34:8080"),
        ));
    }
    let state = match word(needed(status, "state", "status")?, "status.state")?.as_ref() {
        "ready" => HostState::Ready,
        "draining" => HostState::Draining,
        other => {
            return Err(Invalid::at(
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
        Some(value) => whole(value, "information.available_slots")?.clamp(1, 1_000_000) as u32,
        None => 1,
    };
    Ok(HostRecord {
        id: id.into(),
        service: word(
            needed(information, "service", "information")?,
            "information.service",
        )?,
        zone: word(
            needed(information, "zone", "information")?,
            "information.zone",
        )?,
        address,
        slots,
        state,
        sequence: CallSequence(whole(
            needed(status, "call_sequence", "status")?,
            "status.call_sequence",
        )?),
        warm_up: Millis((cold * 1000.0) as u64),
        age: Millis(0),
    })
}
