//! A controller refuses each kind of invalid configuration with 400 and keeps the committed one (PROTOCOL.md).

mod common;

use common::Controllers;

/// A valid configuration with two tenants, which hold three keys.
const CONFIGURATION: &str = r#"{"version":1,"routes":{"columns":["name","host","path_prefix","route_kind","timeout_s","target_latency_s","priority","service","maximum_attempts","public","weighted_split"],
"rows":[["r1","a.example","/x/","read_only",1.5,0.25,2,"s1",2,false,null],["r2","a.example","/y/","idempotent",2,0.3,1,null,2,true,[{"service":"s1","weight":90},{"service":"s2","weight":10}]]]},
"services":{"columns":["name","connection_capacity"],"rows":[["s1",110],["s2",110]]},
"limits":{"header_size_bytes":16384,"body_size_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15},
"tenants":{"columns":["name","api_keys","priority"],"rows":[["t1",["key-a","key-b"],0],["t2",["key-c"],null]]}}"#;

/// Replacements in [`CONFIGURATION`], each of which makes it invalid, with the field that the response names.
const FAULTS: [(&str, &str, &str); 21] = [
    (
        r#"["key-c"]"#,
        r#"["key-c","key-b"]"#,
        "tenants.rows[1].api_keys",
    ),
    (
        r#"["key-c"]"#,
        r#"["key-c",7]"#,
        "tenants.rows[1].api_keys[1]",
    ),
    (
        r#"["key-c"]"#,
        r#"["key-c",""]"#,
        "tenants.rows[1].api_keys[1]",
    ),
    (r#"["key-c"]"#, r#""key-c""#, "tenants.rows[1].api_keys"),
    (r#""t2""#, r#""t1""#, "tenants.rows[1].name"),
    (r#""t2""#, r#""""#, "tenants.rows[1].name"),
    (
        r#""tenants":{"columns""#,
        r#""tenants":{"names""#,
        "tenants",
    ),
    (
        r#""s1",2,false"#,
        r#""s9",2,false"#,
        "routes.rows[0].service",
    ),
    (
        r#"{"service":"s2""#,
        r#"{"service":"s9""#,
        "weighted_split[1].service",
    ),
    ("1.5,0.25", "600.5,0.25", "routes.rows[0].timeout_s"),
    ("1.5,0.25", "1.5,61.5", "routes.rows[0].target_latency_s"),
    (r#""/x/""#, r#""x/""#, "routes.rows[0].path_prefix"),
    (r#""a.example","/x/""#, r#""","/x/""#, "routes.rows[0].host"),
    ("read_only", "sometimes", "routes.rows[0].route_kind"),
    ("2,false,null", "2,7,null", "routes.rows[0].public"),
    (r#"["key-a","key-b"]"#, r#"["key-a" "key-b"]"#, "body"),
    (r#""limits""#, r#""bounds""#, "body"),
    (r#"null]]}}"#, r#"null]]}"#, "body"),
    // Something follows the configuration: letters, a bracket, a second configuration.
    (r#"null]]}}"#, r#"null]]}} key-x"#, "body: ends at byte"),
    (r#"null]]}}"#, r#"null]]}}}"#, "body: ends at byte"),
    (
        r#"null]]}}"#,
        r#"null]]}}{"version":9}"#,
        "body: ends at byte",
    ),
];

fn configuration(version: u32) -> String {
    CONFIGURATION.replacen(r#""version":1"#, &format!(r#""version":{version}"#), 1)
}

/// Guards against two tenants that share a key, and against keys in the responses to operators.
#[test]
fn invalid_configuration_is_refused_with_400_and_the_committed_one_stays() {
    const PATH: &str = "/-/configuration";
    let controllers = Controllers::start();
    controllers.request_until_acknowledged(1, "PUT", PATH, &configuration(1));
    for (replaced, by, field) in FAULTS {
        let valid = configuration(2);
        let invalid = valid.replacen(replaced, by, 1);
        assert_ne!(invalid, valid, "{replaced}");
        let response = controllers
            .request(1, "PUT", PATH, &invalid)
            .expect("a response");
        let text = response.text;
        assert_eq!(response.status, 400, "{by}: {text}");
        assert!(text.contains(field), "{by}: {text}");
        assert!(!text.contains("key-"), "{by}: {text}");
    }
    let committed = controllers.request(1, "GET", PATH, "").expect("a response");
    assert_eq!(committed.status, 200, "{}", committed.text);
    assert!(
        committed.text.ends_with(&configuration(1)),
        "{}",
        committed.text
    );
    controllers.request_until_acknowledged(1, "PUT", PATH, &configuration(2));
}
