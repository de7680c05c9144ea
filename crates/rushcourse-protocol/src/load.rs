//! A host's load report: an object in what collectors forward, a line of text from the host itself. Names
//! that are not known, and values that are no numbers, are skipped.

use rushcourse_core::interface::Load;
use serde_json::Value;
use serde_json::value::RawValue;

fn set(load: &mut Load, name: &str, value: f64) {
    let slot = match name {
        "util" => &mut load.busy,
        "queue" => &mut load.waiting,
        "inflight" => &mut load.inflight,
        _ => return,
    };
    *slot = (value.is_finite() && value >= 0.0).then_some(value);
}

/// The report inside a collector's message.
pub fn object(raw: Option<&RawValue>) -> Load {
    let mut load = Load::default();
    if let Some(Value::Object(fields)) = raw.and_then(|r| serde_json::from_str(r.get()).ok()) {
        fields.iter().filter_map(|(k, v)| v.as_f64().map(|v| (k, v))).for_each(|(k, v)| set(&mut load, k, v));
    }
    load
}

/// The report in a host's answer: `TEXT inflight=7, queue=2, util=0.61`.
pub fn text(body: &[u8]) -> Load {
    let mut load = Load::default();
    let body = String::from_utf8_lossy(body);
    let pairs = body.trim().strip_prefix("TEXT").unwrap_or("").split(',');
    for (name, value) in pairs.filter_map(|pair| pair.split_once('=')) {
        value.trim().parse().into_iter().for_each(|v| set(&mut load, name.trim(), v));
    }
    load
}
