//! What is remembered of each host from list to list.

mod common;

use common::platform::list;
use rushcourse_director_protocol::discovery;
use rushcourse_director_state::EndpointTable;
use rushcourse_policy::interface::HostListKind;

/// The entry of host `h` with its address.
fn entry(port: u32, phase: &str) -> String {
    format!(r#"{{"id":"h","host_port":"127.0.0.1:{port}","locality":"east","phase":"{phase}"}}"#)
}

/// Applies a list with these entries; returns where host `h` is reached then.
fn address_after(
    table: &mut EndpointTable,
    kind: HostListKind,
    entries: &[String],
) -> Option<String> {
    let text = list(1, true, entries);
    let list = discovery::decode(text.as_bytes()).expect("a list");
    table.apply(&list, kind, &["east".to_string()]);
    table.address(&"h".into()).cloned()
}

#[test]
fn a_host_is_reached_where_it_was_last_listed() {
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
        "a list that does not name it forgets it"
    );
}
