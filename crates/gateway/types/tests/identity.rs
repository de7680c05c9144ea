//! Nodes by the addresses of their machines, and numbers that only rise.

use rushcourse_types::{ConfigurationVersion, Epoch, NodeId};
use std::net::Ipv4Addr;

#[test]
fn a_node_is_the_address_of_its_machine() {
    let address = Ipv4Addr::new(10, 1, 0, 34);
    let node = NodeId::from(address);
    assert_eq!(node, NodeId(0x0a01_0022));
    assert_eq!(Ipv4Addr::from(node), address);
    assert_eq!(node.to_string(), "10.1.0.34");
}

#[test]
fn a_number_rises_from_none_and_stops_at_the_highest() {
    assert!(Epoch::NONE.is_none());
    assert_eq!(Epoch::NONE.next(), Epoch(1));
    assert!(!Epoch(1).is_none());
    let highest = ConfigurationVersion(u64::MAX);
    assert_eq!(highest.next(), highest);
    assert_eq!(Epoch(12).to_string(), "12");
}
