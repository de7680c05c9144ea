//! The command line: errors are printed as a single line, and exit codes distinguish usage errors from others.

mod common;

use common::{PROGRAM, config, example_config, write_temp_file};
use serde_json::{Value, json};
use std::net::TcpListener;
use std::process::{Command, Output};

fn run(args: &[&str], config: Option<&str>) -> Output {
    let mut command = Command::new(PROGRAM);
    command.args(args).env_remove("RELAY_CONFIG");
    config
        .into_iter()
        .for_each(|c| _ = command.env("RELAY_CONFIG", c));
    command.output().expect("it runs")
}

/// Asserts that the program exited with `code` and printed one line that contains all of `names`.
fn assert_fails(out: &Output, code: i32, names: &[&str]) {
    let text = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(code), "{text}");
    names
        .iter()
        .for_each(|n| assert!(text.contains(n), "{n:?} is missing: {text}"));
    assert!(!text.contains("panicked"), "{text}");
    assert_eq!(text.trim_end().lines().count(), 1, "{text}");
}

#[test]
fn version_and_help_are_printed() {
    let out = run(&["version"], None);
    assert!(out.status.success());
    assert_eq!(
        String::from_utf8_lossy(&out.stdout).trim(),
        format!("rushcourse {}", env!("CARGO_PKG_VERSION"))
    );
    let out = run(&["serve", "--help"], None);
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(
        out.status.success() && text.contains("RELAY_CONFIG") && text.contains("RELAY_LISTEN"),
        "{text}"
    );
    let out = run(&["--help"], None);
    assert!(String::from_utf8_lossy(&out.stdout).contains("Exit codes"));
}

#[test]
fn invalid_command_line_or_environment_exits_with_code_2() {
    assert_eq!(run(&[], None).status.code(), Some(2));
    assert_eq!(run(&["dance"], None).status.code(), Some(2));
    assert_fails(&run(&["serve"], None), 2, &["RELAY_CONFIG"]);
}

#[test]
fn valid_configuration_passes_check() {
    let path = write_temp_file("good.json", &example_config().to_string());
    let out = run(&["check", path.to_str().expect("a path")], None);
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
}

/// A mistake in a configuration, and how it is reported.
struct Fault {
    description: &'static str,
    /// Changes a valid configuration.
    apply: fn(&mut Value),
    /// Texts that the error message must contain.
    names: &'static [&'static str],
}

const FAULTS: [Fault; 11] = [
    Fault {
        description: "no settings",
        apply: |c| drop(c.as_object_mut().expect("one").remove("settings")),
        names: &["settings"],
    },
    Fault {
        description: "no store",
        apply: |c| drop(c.as_object_mut().expect("one").remove("store")),
        names: &["store"],
    },
    Fault {
        description: "no address",
        apply: |c| c["listen"] = json!("somewhere"),
        names: &["listen", "somewhere"],
    },
    Fault {
        description: "no relay",
        apply: |c| c["store"]["address"] = json!("127.0.0.1"),
        names: &["store.address", "127.0.0.1"],
    },
    Fault {
        description: "no discovery",
        apply: |c| c["discovery"] = json!(8500),
        names: &["string"],
    },
    Fault {
        description: "seed",
        apply: |c| c["seed"] = json!("xyz"),
        names: &["seed", "xyz"],
    },
    Fault {
        description: "no classes",
        apply: |c| c["settings"]["categories"] = json!([]),
        names: &["categories"],
    },
    Fault {
        description: "no class name",
        apply: |c| c["settings"]["categories"][1]["name"] = json!("a b"),
        names: &["categories[1].name"],
    },
    Fault {
        description: "no channel",
        apply: |c| c["settings"]["family-info"]["push-rate"] = json!(0),
        names: &["push-rate", "above 0"],
    },
    Fault {
        description: "no zone",
        apply: |c| c["settings"]["my-zone"] = json!(7),
        names: &["my-zone"],
    },
    Fault {
        description: "no list",
        apply: |c| c["known"] = json!({"revision": 1}),
        names: &["known"],
    },
];

#[test]
fn invalid_configuration_is_rejected_by_check_and_serve() {
    for Fault {
        description,
        apply,
        names,
    } in FAULTS
    {
        let mut config = example_config();
        apply(&mut config);
        let path = write_temp_file("bad.json", &config.to_string());
        let path = path.to_str().expect("a path");
        let names: Vec<&str> = names.iter().copied().chain([path]).collect();
        println!("{description}");
        assert_fails(&run(&["check", path], None), 1, &names);
        assert_fails(&run(&["serve"], Some(path)), 1, &names);
    }
}

#[test]
fn missing_or_malformed_file_is_rejected() {
    assert_fails(
        &run(&["serve"], Some("/nowhere/config.json")),
        1,
        &["/nowhere/config.json", "can't be read"],
    );
    let path = write_temp_file("cut.json", "{\"name\": \"n0\",");
    assert_fails(
        &run(&["check", path.to_str().expect("a path")], None),
        1,
        &["line 1"],
    );
}

#[test]
fn address_in_use_is_rejected() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut config = config();
    config["listen"] = json!(taken.local_addr().expect("an address").to_string());
    let path = write_temp_file("taken.json", &config.to_string());
    assert_fails(
        &run(&["serve"], path.to_str()),
        1,
        &["listen", "can't be bound"],
    );
}
