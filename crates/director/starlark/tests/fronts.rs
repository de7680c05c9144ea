//! Fronts files: valid scripts, and the errors for invalid ones.

use rushcourse_starlark::{FrontsConfig, parse_fronts};
use std::time::Duration;

fn rejection(script: &str) -> String {
    parse_fronts("fronts.star", script)
        .expect_err("an invalid script")
        .to_string()
}

#[test]
fn empty_file_gives_the_defaults() {
    let fronts = parse_fronts("f", "# nothing\n").expect("a valid script");
    assert_eq!(
        fronts,
        FrontsConfig {
            grpc: None,
            relay: true
        }
    );
}

#[test]
fn script_sets_named_arguments_and_keeps_other_defaults() {
    let script = r#"
def names(n):
    return {"edge-%d" % k: k for k in range(n)}

grpc(listen = "127.0.0.1:7900", node_names = names(3), ask_hosts = True, streams = 40)
platform(relay = False)
"#;
    let fronts = parse_fronts("f", script).expect("a valid script");
    let grpc = fronts.grpc.expect("a gRPC front");
    assert_eq!(
        (
            grpc.listen.to_string().as_str(),
            grpc.max_streams,
            grpc.ask_hosts
        ),
        ("127.0.0.1:7900", Some(40), true)
    );
    assert_eq!(grpc.node_names.get("edge-2"), Some(&2));
    assert_eq!(
        (grpc.node_prefix.as_str(), grpc.join_timeout, fronts.relay),
        ("relay-", Duration::from_millis(1200), false)
    );
}

#[test]
fn errors_name_file_line_column_and_field() {
    let cases = [
        ("grpc(listen = 5)", "fronts.star:1:"),
        (
            "\n\ngrpc(listen = \"127.0.0.1:80\", strems = 4)",
            "fronts.star:3:",
        ),
        ("\n  grpc(", "fronts.star:"),
        ("grpc()", "listen"),
        (
            "x = 1\ngrpc(listen = \"nowhere\")",
            "fronts.star:2:1: listen is no address and port: \"nowhere\"",
        ),
        (
            "grpc(listen = \"127.0.0.1:80\", streams = -1)",
            "streams must be 0 to 100000, got -1",
        ),
        (
            "grpc(listen = \"127.0.0.1:80\", take_within_ms = 5)",
            "take_within_ms must be 1000 to 600000, got 5",
        ),
        (
            "grpc(listen = \"127.0.0.1:80\", node_names = {\"a\": 1, \"b\": 1})",
            "node_names maps both \"a\" and \"b\" to relay 1",
        ),
        (
            "grpc(listen = \"127.0.0.1:80\")\ngrpc(listen = \"127.0.0.1:81\")",
            "fronts.star:2:1: grpc(...) may be called only once",
        ),
        (
            "grpc(listen = \"127.0.0.1:80\", tls_key = \"k\")",
            "tls_cert and tls_key must be given together",
        ),
        (
            "grpc(listen = \"127.0.0.1:80\", tls_client_ca = \"c\")",
            "tls_client_ca requires tls_cert and tls_key",
        ),
        ("platform(relay = False)", "no proxy could connect"),
        ("load(\"other.star\", \"x\")", "fronts.star:1:"),
        ("tls(cert = 4)", "fronts.star:1:1"),
    ];
    for (script, expected) in cases {
        let error = rejection(script);
        assert!(error.contains(expected), "{script}: {error}");
        assert!(error.starts_with("fronts.star:"), "{error}");
    }
    assert!(rejection("\n\ngrpc(listen = \"127.0.0.1:80\", strems = 4)").contains("strems"));
}

#[test]
fn endless_or_oversized_script_is_stopped() {
    for script in [
        "def f():\n    for a in range(1000000):\n        for b in range(1000000):\n            pass\nf()",
        "def f(n):\n    return f(n + 1)\nf(0)",
        "def f():\n    x = []\n    for k in range(100000):\n        x.append(\"y\" * 10000 + str(k))\nf()",
    ] {
        let error = rejection(script);
        assert!(error.starts_with("fronts.star"), "{error}");
    }
    let oversized = format!("# {}", "x".repeat(70_000));
    assert!(rejection(&oversized).contains("exceeds the limit of 65536 bytes"));
}
