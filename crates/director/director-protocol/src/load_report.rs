//! Codec of hosts' load reports: a JSON object within a collector's message, or a line of text in a host's response to
//! a health check. Unknown names are ignored; a known name with an invalid value invalidates the whole report.

use rushcourse_policy::interface::HostLoad;
use serde_json::Value;
use serde_json::value::RawValue;

/// Upper bound of every value in a report; no host has more requests or more processor load.
const MAX_VALUE: f64 = 1e6;

/// Sets the field with this name on the wire. `None` if the value is missing, negative or above [`MAX_VALUE`].
fn set_value(load: &mut HostLoad, name: &str, value: Option<f64>) -> Option<()> {
    let field = match name {
        "util" => &mut load.cpu_utilization,
        "queue" => &mut load.queued,
        "inflight" => &mut load.in_flight,
        _ => return Some(()),
    };
    *field = Some(value.filter(|value| (0.0..=MAX_VALUE).contains(value))?);
    Some(())
}

/// Decodes the report within a collector's message. `None` if it is invalid; a missing or null report is empty.
pub fn from_json(raw: Option<&RawValue>) -> Option<HostLoad> {
    let mut load = HostLoad::default();
    match raw.map_or(Ok(Value::Null), |raw| serde_json::from_str(raw.get())) {
        Ok(Value::Null) => {}
        Ok(Value::Object(fields)) => {
            for (name, value) in &fields {
                set_value(&mut load, name, value.as_f64())?;
            }
        }
        _ => return None,
    }
    Some(load)
}

/// Decodes the report in a host's response, such as `TEXT inflight=7, queue=2, util=0.61`; empty if it is invalid.
pub fn from_text(body: &[u8]) -> HostLoad {
    let text = String::from_utf8_lossy(body);
    let pairs = text
        .trim()
        .strip_prefix("TEXT")
        .unwrap_or("")
        .split(',')
        .filter_map(|pair| pair.split_once('='));
    let mut load = HostLoad::default();
    for (name, value) in pairs {
        if set_value(&mut load, name.trim(), value.trim().parse().ok()).is_none() {
            return HostLoad::default();
        }
    }
    load
}
