//! A host's load report: an object in what collectors forward, a line of text from the host itself. Names
//! that are not known are skipped; a known one with a value that can't be spoils the report.

use rushcourse_policy::interface::HostLoad;
use serde_json::Value;
use serde_json::value::RawValue;

/// No host has more in hand, or more processors' worth of load, than this.
const VALUE_MOST: f64 = 1e6;

/// Sets a known name; `None` for a value that can't be.
fn set(load: &mut HostLoad, name: &str, value: Option<f64>) -> Option<()> {
    let slot = match name {
        "util" => &mut load.cpu_utilization,
        "queue" => &mut load.queued,
        "inflight" => &mut load.in_flight,
        _ => return Some(()),
    };
    *slot = Some(value.filter(|v| (0.0..=VALUE_MOST).contains(v))?);
    Some(())
}

/// The report inside a collector's message; none is an empty one.
pub fn object(raw: Option<&RawValue>) -> Option<HostLoad> {
    let mut load = HostLoad::default();
    match raw.map_or(Ok(Value::Null), |r| serde_json::from_str(r.get())) {
        Ok(Value::Null) => {}
        Ok(Value::Object(fields)) => {
            for (name, value) in &fields {
                set(&mut load, name, value.as_f64())?;
            }
        }
        _ => return None,
    }
    Some(load)
}

/// The report in a host's answer: `TEXT inflight=7, queue=2, util=0.61`. A spoilt one tells nothing.
pub fn text(body: &[u8]) -> HostLoad {
    let mut load = HostLoad::default();
    let body = String::from_utf8_lossy(body);
    let mut pairs = body
        .trim()
        .strip_prefix("TEXT")
        .unwrap_or("")
        .split(',')
        .filter_map(|p| p.split_once('='));
    let read =
        pairs.try_for_each(|(name, value)| set(&mut load, name.trim(), value.trim().parse().ok()));
    if read.is_some() {
        load
    } else {
        HostLoad::default()
    }
}
