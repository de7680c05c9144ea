//! Identification of nodes, and the choice between two streams of one proxy.

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
fn node_is_identified_or_rejected_with_a_specific_status() {
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
fn reconnecting_proxy_replaces_its_stream_but_a_second_process_is_rejected() {
    let mut registry = registry();
    assert_eq!(
        registry.claim(0.0, 3, StreamId(1), ConnectionId(10)),
        Ok(None)
    );
    assert_eq!(
        registry.claim(100.0, 3, StreamId(2), ConnectionId(10)),
        Ok(Some(StreamId(1))),
        "the same connection belongs to the same process"
    );
    registry.record_activity(5000.0, 3);
    let rejection = registry
        .claim(6000.0, 3, StreamId(3), ConnectionId(11))
        .expect_err("the other stream is active");
    assert_eq!(rejection.status(), StatusCode::AlreadyExists);
    assert_eq!(
        registry.claim(9000.0, 3, StreamId(4), ConnectionId(11)),
        Ok(Some(StreamId(2))),
        "an idle stream counts as lost"
    );
    assert!(
        !registry.release(9100.0, 3, StreamId(2)),
        "releasing the replaced stream has no effect"
    );
    assert!(registry.release(9200.0, 3, StreamId(4)));
    assert_eq!(registry.joined_count(), 0);
}

#[test]
fn processes_sharing_a_node_id_cannot_take_over_endlessly() {
    let mut registry = registry();
    _ = registry.claim(0.0, 3, StreamId(1), ConnectionId(1));
    let mut takeovers = 0;
    for k in 1..20u64 {
        let claim = registry.claim(k as f64 * 3000.0, 3, StreamId(k + 1), ConnectionId(k + 1));
        takeovers += usize::from(claim.is_ok());
    }
    assert!(
        takeovers <= 8,
        "{takeovers} of 19 takeovers exceed three per 30 s"
    );
    assert!(registry.takeover_history_count() <= 1);
}
