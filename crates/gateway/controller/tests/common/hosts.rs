//! Requests of hosts, and their states on status pages.

/// The body of a registration or heartbeat.
pub fn heartbeat(state: &str, sequence: u32) -> String {
    format!(
        r#"{{"address":"10.128.0.9:8080","information":{{"service":"s1","version":"v1","zone":"z1","available_slots":4}},"status":{{"state":"{state}","call_sequence":{sequence},"cold_remaining_s":0}}}}"#
    )
}

/// The state of a host on a status page; `None` if the page doesn't list the host.
pub fn host_state(page: &str, id: &str) -> Option<&'static str> {
    let host = page
        .split(r#"{"id":"#)
        .find(|host| host.starts_with(&format!("\"{id}\"")))?;
    ["ready", "draining", "gone"]
        .into_iter()
        .find(|state| host.contains(&format!(r#""state":"{state}""#)))
}
