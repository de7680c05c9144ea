//! Node id conversions and sequence number arithmetic.

use rushcourse_types::{ConfigurationVersion, Epoch, NodeId};
use std::net::Ipv4Addr;

#[test]
fn node_id_converts_to_and_from_ipv4_address() {
    let address = Ipv4Addr::new(10, 1, 0, 34);
    let node = NodeId::from(address);
    assert_eq!(node, NodeId(0x0a01_0022));
    assert_eq!(Ipv4Addr::from(node), address);
    assert_eq!(node.to_string(), "10.1.0.34");
}

#[test]
fn sequence_number_starts_at_none_and_saturates() {
    assert!(Epoch::NONE.is_none());
    assert_eq!(Epoch::NONE.next(), Epoch(1));
    assert!(!Epoch(1).is_none());
    let highest = ConfigurationVersion(u64::MAX);
    assert_eq!(highest.next(), highest);
    assert_eq!(Epoch(12).to_string(), "12");
}
