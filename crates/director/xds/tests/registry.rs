//! Who a node is, and which of two streams of one proxy is served.

use rushcourse_xds::registry::{ProxyIdentity, ProxyRegistry};
use rushcourse_xds::{ConnectionId, Node, NodeIdentities, StatusCode, StreamId};

fn registry() -> ProxyRegistry {
    let identities = NodeIdentities {
        prefix: "relay-".into(),
        names: [("edge".to_string(), 5)].into(),
    };
    ProxyRegistry::new(identities, vec!["east".into(), "west".into()], 8)
}

fn node(id: &str, zone: &str) -> Node {
    Node {
        id: id.into(),
        zone: zone.into(),
        rate: None,
    }
}

#[test]
fn a_node_is_identified_or_gets_the_status_that_says_why_not() {
    let registry = registry();
    assert_eq!(
        registry.identify(Some(&node("relay-3", "west"))),
        Ok(ProxyIdentity { proxy: 3, zone: 1 })
    );
    assert_eq!(
        registry.identify(Some(&node("edge", "east"))),
        Ok(ProxyIdentity { proxy: 5, zone: 0 })
    );
    let status = |node: Option<&Node>| registry.identify(node).expect_err("rejected").status();
    assert_eq!(status(None), StatusCode::InvalidArgument);
    for (id, zone, expected) in [
        ("", "east", StatusCode::InvalidArgument),
        ("relay-", "east", StatusCode::PermissionDenied),
        ("relay-+3", "east", StatusCode::PermissionDenied),
        ("relay-99999999999", "east", StatusCode::PermissionDenied),
        ("nobody", "east", StatusCode::PermissionDenied),
        ("relay-8", "east", StatusCode::ResourceExhausted),
        ("relay-3", "north", StatusCode::InvalidArgument),
    ] {
        assert_eq!(status(Some(&node(id, zone))), expected, "{id} {zone}");
    }
}

#[test]
fn a_proxy_that_comes_back_replaces_its_stream_and_a_second_process_does_not() {
    let mut registry = registry();
    assert_eq!(
        registry.claim(0.0, 3, StreamId(1), ConnectionId(10)),
        Ok(None)
    );
    assert_eq!(
        registry.claim(100.0, 3, StreamId(2), ConnectionId(10)),
        Ok(Some(StreamId(1))),
        "the same connection: the same process"
    );
    registry.record_activity(5000.0, 3);
    let rejection = registry
        .claim(6000.0, 3, StreamId(3), ConnectionId(11))
        .expect_err("the other one is alive");
    assert_eq!(rejection.status(), StatusCode::AlreadyExists);
    assert_eq!(
        registry.claim(9000.0, 3, StreamId(4), ConnectionId(11)),
        Ok(Some(StreamId(2))),
        "it was lost unnoticed"
    );
    assert!(
        !registry.release(9100.0, 3, StreamId(2)),
        "the old one's end changes nothing"
    );
    assert!(registry.release(9200.0, 3, StreamId(4)));
    assert_eq!(registry.joined_count(), 0);
}

#[test]
fn two_processes_of_one_name_do_not_replace_each_other_without_end() {
    let mut registry = registry();
    _ = registry.claim(0.0, 3, StreamId(1), ConnectionId(1));
    let mut takeovers = 0;
    for k in 1..20u64 {
        let claim = registry.claim(k as f64 * 3000.0, 3, StreamId(k + 1), ConnectionId(k + 1));
        takeovers += usize::from(claim.is_ok());
    }
    assert!(takeovers <= 8, "{takeovers} of 19: three in 30 s");
    assert!(registry.takeover_count() <= 1);
}
