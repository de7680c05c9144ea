//! Parsing and validation of tenants, and lookup of a tenant by API key.

mod common;

use common::CONFIGURATION;
use rushcourse_config::{ApiKeyDigest, Configuration, Tenants, ValidationError};

/// Tenants `t1` with two keys and a priority, `t2` with one key and `t3` without any.
const TENANTS: &str = r#"{"columns":["name","api_keys","priority","later"],
"rows":[["t1",["key-a","key-b"],3,null],["t2",["key-c"],null,1],["t3",null,null,null]]}"#;

fn with_tenants(tenants: &str) -> String {
    CONFIGURATION.replacen(
        r#""more":true"#,
        &format!(r#""more":true,"tenants":{tenants}"#),
        1,
    )
}

fn parse(tenants: &str) -> Result<Configuration, ValidationError> {
    Configuration::parse(with_tenants(tenants).as_bytes())
}

fn tenants(text: &str) -> Tenants {
    let configuration = parse(text).expect("a valid configuration");
    configuration.tenants.expect("a configuration with tenants")
}

/// Returns the name of the tenant that holds the key, `-` if there is none.
fn holder<'a>(tenants: &'a Tenants, api_key: &str) -> &'a str {
    let found = tenants.find(api_key.as_bytes());
    found.map_or("-", |tenant| &tenant.name)
}

#[test]
fn configuration_without_tenants_has_none() {
    let configuration = Configuration::parse(CONFIGURATION.as_bytes()).expect("valid");
    assert_eq!(configuration.tenants, None);
    assert!(configuration.routes.iter().all(|route| !route.is_public));
}

#[test]
fn key_finds_its_tenant() {
    let tenants = tenants(TENANTS);
    assert_eq!(holder(&tenants, "key-a"), "t1");
    assert_eq!(holder(&tenants, "key-b"), "t1");
    assert_eq!(holder(&tenants, "key-c"), "t2");
}

#[test]
fn unknown_empty_and_similar_keys_find_no_tenant() {
    let tenants = tenants(TENANTS);
    for api_key in ["", "key-d", "key-", "key-aa", "KEY-A", " key-a", "t1"] {
        assert_eq!(holder(&tenants, api_key), "-", "{api_key:?}");
    }
}

#[test]
fn null_cells_mean_no_keys_and_the_priority_of_the_route() {
    let tenants = tenants(TENANTS);
    let priorities: Vec<_> = tenants.iter().map(|tenant| tenant.priority).collect();
    assert_eq!(priorities, [Some(3), None, None]);
    let key_counts: Vec<_> = tenants.iter().map(|tenant| tenant.api_keys.len()).collect();
    assert_eq!(key_counts, [2, 1, 0]);
}

#[test]
fn name_alone_is_a_valid_tenant() {
    let tenants = tenants(r#"{"columns":["name"],"rows":[["t1"]]}"#);
    let tenant = tenants.named("t1").expect("t1");
    assert!(tenant.api_keys.is_empty() && tenant.priority.is_none());
    assert_eq!(tenants.named("t2"), None);
}

#[test]
fn table_without_rows_is_valid_and_holds_no_key() {
    let tenants = tenants(r#"{"columns":["name","api_keys"],"rows":[]}"#);
    assert_eq!(tenants.iter().count(), 0);
    assert_eq!(holder(&tenants, "key-a"), "-");
}

#[test]
fn key_repeated_within_one_tenant_is_valid() {
    let tenants = tenants(r#"{"columns":["name","api_keys"],"rows":[["t1",["key-a","key-a"]]]}"#);
    assert_eq!(holder(&tenants, "key-a"), "t1");
    let tenant = tenants.named("t1").expect("t1");
    assert_eq!(
        tenant.api_keys.iter().collect::<Vec<_>>(),
        [&ApiKeyDigest::of(b"key-a")]
    );
}

#[test]
fn priority_above_the_maximum_is_clamped() {
    let tenants = tenants(r#"{"columns":["name","priority"],"rows":[["t1",0],["t2",5000]]}"#);
    let priorities: Vec<_> = tenants.iter().map(|tenant| tenant.priority).collect();
    assert_eq!(priorities, [Some(0), Some(1000)]);
}

/// A replacement in `TENANTS` that makes the configuration invalid.
struct Fault {
    replaced: &'static str,
    by: &'static str,
    /// Part of the expected error message.
    error: &'static str,
}

#[rustfmt::skip]
const FAULTS: [Fault; 16] = [
    Fault { replaced: r#"["key-c"]"#, by: r#"["key-c","key-a"]"#, error: r#"tenants.rows[1].api_keys: holds a key that tenant "t1" holds too"# },
    Fault { replaced: r#""t3",null"#, by: r#""t3",["key-c"]"#, error: r#"tenants.rows[2].api_keys: holds a key that tenant "t2" holds too"# },
    Fault { replaced: r#""t2""#, by: r#""t1""#, error: "tenants.rows[1].name: t1 stands twice" },
    Fault { replaced: r#""t2""#, by: r#""""#, error: "tenants.rows[1].name: is empty" },
    Fault { replaced: r#""t2""#, by: r#"" ""#, error: "tenants.rows[1].name: is empty" },
    Fault { replaced: r#""t2""#, by: "null", error: "tenants.rows[1].name: is missing" },
    Fault { replaced: r#""t2""#, by: "2", error: "tenants.rows[1].name: must be a word" },
    Fault { replaced: r#""t2""#, by: r#""t\r\n2""#, error: "tenants.rows[1].name: has a control character" },
    Fault { replaced: r#"["key-c"]"#, by: r#"[""]"#, error: "tenants.rows[1].api_keys[0]: is empty" },
    Fault { replaced: r#"["key-c"]"#, by: r#"["key-c",null]"#, error: "tenants.rows[1].api_keys[1]: must be a word" },
    Fault { replaced: r#"["key-c"]"#, by: r#"["key-c",{"key":"key-d"}]"#, error: "tenants.rows[1].api_keys[1]: must be a word" },
    Fault { replaced: r#"["key-c"]"#, by: r#""key-c""#, error: "tenants.rows[1].api_keys: must be a list" },
    Fault { replaced: r#"],3,null]"#, by: r#"],-3,null]"#, error: "tenants.rows[0].priority: must be a whole number" },
    Fault { replaced: r#"],3,null]"#, by: r#"],"3",null]"#, error: "tenants.rows[0].priority: must be a number" },
    Fault { replaced: r#","later"]"#, by: r#"]"#, error: "tenants.rows[0]: has 4 cells for 3 columns" },
    Fault { replaced: r#""columns""#, by: r#""fields""#, error: "tenants: columns is missing" },
];

#[test]
fn invalid_tenants_are_rejected_with_the_field_and_without_the_key() {
    for Fault {
        replaced,
        by,
        error,
    } in FAULTS
    {
        let text = TENANTS.replacen(replaced, by, 1);
        assert_ne!(text, TENANTS, "{replaced}");
        let message = parse(&text).expect_err(by).to_string();
        assert!(message.contains(error), "{by}: {message}");
        assert!(!message.contains("key-"), "{by}: {message}");
    }
}

#[test]
fn tenants_that_are_no_table_are_rejected() {
    for value in ["null", "[]", "7", r#""t1""#, "{}"] {
        let message = parse(value).expect_err(value).to_string();
        assert!(message.starts_with("tenants: "), "{value}: {message}");
    }
}

#[test]
fn debug_output_holds_no_key() {
    let configuration = parse(TENANTS).expect("a valid configuration");
    let output = format!("{configuration:?} {configuration:#?}");
    assert!(output.contains("t1") && output.contains("t3"), "{output}");
    assert!(!output.contains("key-"), "{output}");
}

#[test]
fn public_column_marks_routes() {
    let text = CONFIGURATION.replacen("maximum_attempts", "public", 1);
    let text = text
        .replacen("],2,null,null]", "],true,null,null]", 1)
        .replacen("null,2,\"s2\"", "null,null,\"s2\"", 1);
    let configuration = Configuration::parse(text.as_bytes()).expect("a valid configuration");
    let public: Vec<_> = configuration
        .routes
        .iter()
        .map(|route| route.is_public)
        .collect();
    assert_eq!(public, [true, false]);

    let invalid = text.replacen("],true,null,null]", "],1,null,null]", 1);
    let error = Configuration::parse(invalid.as_bytes()).expect_err("a number is no flag");
    assert_eq!(error.field, "routes.rows[0].public");
}

/// Guards against keys in the responses and logs about an upload that is not valid JSON.
#[test]
fn error_of_malformed_json_quotes_no_key() {
    let text = with_tenants(TENANTS);
    let malformed = [
        text.replacen(r#""key-a","#, r#""key-a" "#, 1),
        text.replacen(r#""key-a","#, "key-a,", 1),
        text.replacen(r#""key-a","#, r#""key-a\q","#, 1),
        text.replacen(r#""key-a","#, "\"key-a\u{1}\",", 1),
    ];
    let position = text.find("\"key-b\"").expect("a second key");
    let error = Configuration::parse(malformed[0].as_bytes()).expect_err("a comma is missing");
    assert_eq!(
        error.to_string(),
        format!("body: is no valid JSON at byte {position}")
    );
    let truncated = (0..text.len()).map(|end| text[..end].to_string());
    for text in malformed.into_iter().chain(truncated) {
        if let Err(error) = Configuration::parse(text.as_bytes()) {
            assert!(!error.to_string().contains("key-"), "{error}");
        }
    }
}
