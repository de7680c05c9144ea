//! Updates of the endpoint table from complete lists and deltas.

mod common;

use common::platform::list;
use rushcourse_director_protocol::discovery;
use rushcourse_director_state::EndpointTable;
use rushcourse_policy::interface::HostListKind;

/// An encoded entry of host `h` that listens at this port.
fn entry(port: u32, phase: &str) -> String {
    format!(r#"{{"id":"h","host_port":"127.0.0.1:{port}","locality":"east","phase":"{phase}"}}"#)
}

/// Applies a list with these entries; returns the resulting address of host `h`.
fn address_after(
    table: &mut EndpointTable,
    kind: HostListKind,
    entries: &[String],
) -> Option<String> {
    let text = list(1, true, entries);
    let list = discovery::decode(text.as_bytes()).expect("valid list");
    table.apply(&list, kind, &["east".to_string()]);
    table.address(&"h".into()).cloned()
}

#[test]
fn host_address_follows_the_latest_list_entry() {
    use HostListKind::{Delta, Full};
    let mut table = EndpointTable::default();
    let mut after = |kind, entries: &[String]| address_after(&mut table, kind, entries);
    assert_eq!(
        after(Full, &[entry(1, "Ready")]).as_deref(),
        Some("127.0.0.1:1")
    );
    assert_eq!(
        after(Delta, &[entry(2, "Ready")]).as_deref(),
        Some("127.0.0.1:2")
    );
    assert_eq!(
        after(Delta, &[entry(2, "Odd")]).as_deref(),
        Some("127.0.0.1:2")
    );
    assert_eq!(after(Delta, &[entry(2, "Gone")]), None);
    assert_eq!(
        after(Full, &[entry(3, "Ready")]).as_deref(),
        Some("127.0.0.1:3")
    );
    assert_eq!(
        after(Full, &[]),
        None,
        "a complete list removes hosts that it does not name"
    );
}
