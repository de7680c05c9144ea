//! Tests of the conversion between protobuf messages and the types of `rushcourse_xds`.

use prost::Message;
use prost_types::Duration;
use rushcourse_grpc::convert::{
    decode_assignment, decode_duration, encode_assignment, encode_duration,
};
use rushcourse_grpc::proto::envoy::config::endpoint::v3 as endpoint;
use rushcourse_policy::interface::RetryPolicy;
use rushcourse_xds::{ClusterLoadAssignment, Endpoint, Locality};

#[test]
fn assignment_round_trips_unchanged() {
    let endpoint = |host: &str, address: &str, weight, draining| Endpoint {
        host: host.into(),
        address: address.into(),
        weight,
        draining,
    };
    let assignment = ClusterLoadAssignment {
        cluster_name: "pay".into(),
        localities: vec![
            Locality {
                zone: "east".into(),
                endpoints: vec![endpoint("a", "127.0.0.1:80", 1, true)],
            },
            Locality {
                zone: "west".into(),
                endpoints: vec![endpoint("b", "[::1]:81", u32::MAX / 2, false)],
            },
        ],
        drop_per_million: 125_000,
        retry_policy: RetryPolicy::OnceAfterFailure,
    };
    let bytes = encode_assignment(&assignment).encode_to_vec();
    let decoded = endpoint::ClusterLoadAssignment::decode(&bytes[..]).expect("a message");
    assert_eq!(decode_assignment(&decoded), Some(assignment));
}

#[test]
fn negative_durations_are_rejected() {
    assert_eq!(decode_duration(&encode_duration(1234.5)), Some(1234.5));
    let negative_seconds = Duration {
        seconds: -1,
        nanos: 0,
    };
    assert_eq!(decode_duration(&negative_seconds), None);
    let negative_nanos = Duration {
        seconds: 1,
        nanos: -5,
    };
    assert_eq!(decode_duration(&negative_nanos), None);
}
