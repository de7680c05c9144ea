//! Property tests: corrupted input never panics, and every accepted configuration satisfies the validity rules of
//! PROTOCOL.md, which are checked here independently of the parser.

use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use rushcourse_config::{Configuration, NodeSettings, Route};
use std::time::Duration;

const VALID_CONFIGURATION: &str = concat!(
    r#"{"version":7,"routes":{"columns":["name","host","path_prefix","route_kind","timeout_s","target_latency_s","#,
    r#""priority","weighted_split","maximum_attempts","service"],"rows":["#,
    r#"["r1","a.example","/x/","read_only",1.5,0.25,2,"#,
    r#"[{"service":"s1","weight":90},{"service":"s2","weight":10}],2,null],"#,
    r#"["r2","a.example","/x/y/","idempotent",2,0.3,1,null,2,"s2"]]},"#,
    r#""services":{"columns":["name","health_check_path","connection_capacity","deduplicates"],"#,
    r#""rows":[["s1","/health",110,false],["s2","/health",110,true]]},"#,
    r#""limits":{"header_size_bytes":16384,"body_size_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15}}"#,
);

const VALID_SETTINGS: &str = "node_name=core-1
zone=z1
ip_address=10.1.0.36
internal_port_range=7540,7555
zones.z2=r
seed_nodes=10.1.0.36:8544,10.2.0.37:8544
first_start=true
bounds.drain_s=2.5
";

/// Values in the valid configuration. Replacing one of them often gives well-formed JSON that is invalid.
const VALUES: [&str; 10] = [
    "7",
    "\"a.example\"",
    "\"/x/\"",
    "\"read_only\"",
    "1.5",
    "0.25",
    "90",
    "\"s1\"",
    "\"s2\"",
    "110",
];

/// A random replacement of characters in a text.
#[derive(Clone, Debug)]
struct Change {
    position: Index,
    /// Number of characters that are replaced.
    replaced: usize,
    by: String,
}

fn change() -> impl Strategy<Value = Change> {
    let pieces = prop_oneof![
        Just(String::new()),
        Just("null".to_string()),
        Just("-1".to_string()),
        Just("1e99".to_string()),
        Just("\"\"".to_string()),
        Just("[]".to_string()),
        Just("\"nobody\"".to_string()),
        Just("601".to_string()),
        "[\\[\\]{}\":,0-9a-z/=.\n-]{1,4}",
    ];
    (any::<Index>(), 0usize..12, pieces).prop_map(|(position, replaced, by)| Change {
        position,
        replaced,
        by,
    })
}

fn apply(text: &str, changes: &[Change]) -> String {
    let mut characters: Vec<char> = text.chars().collect();
    for change in changes {
        let from = change.position.index(characters.len() + 1);
        let to = (from + change.replaced).min(characters.len());
        characters.splice(from..to, change.by.chars());
    }
    characters.into_iter().collect()
}

fn assert_valid_or_rejected(text: &str) {
    let Ok(configuration) = Configuration::parse(text.as_bytes()) else {
        return;
    };
    for route in &configuration.routes {
        assert_valid_route(&configuration, route);
    }
}

fn assert_valid_route(configuration: &Configuration, route: &Route) {
    assert!(
        !route.services.is_empty() && !route.host.is_empty(),
        "{route:?}"
    );
    assert!(route.path_prefix.starts_with('/'), "{route:?}");
    let mut services = route.services.iter();
    assert!(
        services.all(|part| configuration.services.contains_key(&part.service)),
        "{route:?}"
    );
    let mut weights = route.services.iter().map(|part| part.weight);
    assert!(
        weights.all(|weight| weight.is_finite() && weight >= 0.0),
        "{route:?}"
    );
    let total: f64 = route.services.iter().map(|part| part.weight).sum();
    assert!(total > 0.0, "{route:?}");
    let is_valid = |timeout| timeout > Duration::ZERO && timeout <= Duration::from_secs(600);
    assert!(route.timeout.is_none_or(is_valid), "{route:?}");
    if let (Some(timeout), Some(target)) = (route.timeout, route.target_latency) {
        assert!(target < timeout + Duration::from_secs(60), "{route:?}");
    }
    assert!(route.max_attempts > 0, "{route:?}");
    // A lookup by the route's own host and prefix must match a prefix of at least this length.
    let found = configuration
        .find_route(&route.host, &route.path_prefix)
        .expect("a route of this host and prefix");
    assert!(
        found.path_prefix.len() >= route.path_prefix.len(),
        "{route:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default()
    })]

    #[test]
    fn corrupted_configuration_is_rejected_or_valid(changes in prop::collection::vec(change(), 1..4)) {
        assert_valid_or_rejected(&apply(VALID_CONFIGURATION, &changes));
    }

    #[test]
    fn configuration_with_replaced_value_is_rejected_or_valid(value in any::<Index>(), other in change()) {
        let value = VALUES[value.index(VALUES.len())];
        assert_valid_or_rejected(&VALID_CONFIGURATION.replacen(value, &other.by, 1));
    }

    #[test]
    fn corrupted_settings_file_is_accepted_or_rejected_with_a_reason(changes in prop::collection::vec(change(), 1..4)) {
        if let Err(error) = NodeSettings::parse(&apply(VALID_SETTINGS, &changes)) {
            prop_assert!(!error.field.is_empty() || error.line.is_some(), "{}", error);
            prop_assert!(!error.reason.is_empty());
        }
    }
}
