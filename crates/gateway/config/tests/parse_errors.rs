//! Errors of a configuration go to the log and to the operator's terminal, so they must not quote API keys.

use rushcourse_config::{Configuration, json};

const API_KEY: &str = "secretkey7f21";

fn configuration_text() -> String {
    format!(
        r#"{{"version":1,"routes":{{"columns":["host","path_prefix","route_kind","service"],"rows":[["a.example","/","read_only","s"]]}},"services":{{"columns":["name"],"rows":[["s"]]}},"tenants":{{"columns":["name","api_keys"],"rows":[["bakery",["{API_KEY}"]],["grocer",["{API_KEY}2"]]]}},"limits":{{"header_size_bytes":16384,"body_size_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15}}}}"#
    )
}

fn assert_error_quotes_no_key(text: &str) {
    if let Err(error) = Configuration::parse(text.as_bytes()) {
        for shown in [error.to_string(), format!("{error:?}")] {
            assert!(!shown.contains(API_KEY), "{shown} for {text}");
        }
    }
}

/// Guards against keys in `event=request_rejected` and `event=configuration_unusable`.
#[test]
fn error_of_a_damaged_configuration_quotes_no_key() {
    let text = configuration_text();
    Configuration::parse(text.as_bytes()).expect("the undamaged configuration is valid");
    for position in 0..text.len() {
        assert_error_quotes_no_key(&text[..position]);
        for inserted in ["\"", ",", ":", "[", "]", "{", "}", "x", "1", "\\"] {
            let (before, after) = text.split_at(position);
            assert_error_quotes_no_key(&format!("{before}{inserted}{after}"));
            assert_error_quotes_no_key(&format!("{before}{inserted}{}", &after[1..]));
        }
    }
}

/// Guards against keys in the error where the operator wrote a key outside of its list.
#[test]
fn error_of_a_misplaced_key_quotes_no_key() {
    let text = configuration_text();
    let list = format!(r#"["{API_KEY}"]"#);
    for replacement in [
        format!(r#""{API_KEY}""#),
        format!(r#"[["{API_KEY}"]]"#),
        format!(r#"{{"{API_KEY}":"{API_KEY}"}}"#),
        format!(r#"["{API_KEY}","{API_KEY}"]"#),
        format!(r#"["{API_KEY}2"]"#),
        format!(r#"["{API_KEY}" "{API_KEY}"]"#),
        format!(r#"[{API_KEY}]"#),
    ] {
        assert_error_quotes_no_key(&text.replacen(&list, &replacement, 1));
    }
}

#[test]
fn error_of_a_damaged_configuration_names_the_position() {
    let text = configuration_text();
    let comma = text.find(r#",["grocer""#).expect("the text has this row");
    let damaged = format!("{} {}", &text[..comma], &text[comma + 1..]);
    let error = Configuration::parse(damaged.as_bytes()).expect_err("a comma is missing");
    assert_eq!(error.field, "body");
    assert_eq!(
        error.reason,
        format!("is no valid JSON at byte {}", comma + 1)
    );
}

/// Guards against a body that ends a controller: the parser uses stack for each level of nesting.
#[test]
fn deeply_nested_body_is_rejected() {
    for opening in ["[", r#"{"a":"#, r#"{"version":1,"routes":["#] {
        let text = opening.repeat(100_000);
        let message = json::parse(text.as_bytes()).expect_err(opening).to_string();
        assert!(message.contains("levels deep at byte"), "{message}");
    }
    let nested = |levels: usize| "[".repeat(levels) + &"]".repeat(levels);
    assert!(json::parse(nested(64).as_bytes()).is_ok());
    assert!(json::parse(nested(65).as_bytes()).is_err());
    let in_text = format!(r#"{{"name":"{}\"{}"}}"#, "[".repeat(100), "{".repeat(100));
    assert!(
        json::parse(in_text.as_bytes()).is_ok(),
        "brackets in a text are no nesting"
    );
}
