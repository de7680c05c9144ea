//! The command line: what is wrong is said in one plain line, and the exit code tells whose fault it is.

mod common;
use common::*;
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

/// It ended with this code and one line that names all of these.
fn says(out: &Output, code: i32, names: &[&str]) {
    let text = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(code), "{text}");
    names
        .iter()
        .for_each(|n| assert!(text.contains(n), "{n:?} is not named: {text}"));
    assert!(!text.contains("panicked"), "{text}");
    assert_eq!(text.trim_end().lines().count(), 1, "{text}");
}

#[test]
fn version_and_help_are_there() {
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
fn a_wrong_command_line_or_environment_is_exit_code_2() {
    assert_eq!(run(&[], None).status.code(), Some(2));
    assert_eq!(run(&["dance"], None).status.code(), Some(2));
    says(&run(&["serve"], None), 2, &["RELAY_CONFIG"]);
}

#[test]
fn a_good_configuration_passes_the_check() {
    let path = file("good.json", &example().to_string());
    let out = run(&["check", path.to_str().expect("a path")], None);
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
}

/// What is wrong, how the example is bent to it, and what the line must name.
type Bent = (&'static str, fn(&mut Value), &'static [&'static str]);

#[test]
fn a_bad_configuration_is_told_by_check_and_by_serve() {
    let bent: [Bent; 11] = [
        (
            "no settings",
            |c| drop(c.as_object_mut().expect("one").remove("settings")),
            &["settings"],
        ),
        (
            "no store",
            |c| drop(c.as_object_mut().expect("one").remove("store")),
            &["store"],
        ),
        (
            "no address",
            |c| c["listen"] = json!("somewhere"),
            &["listen", "somewhere"],
        ),
        (
            "no relay",
            |c| c["store"]["address"] = json!("127.0.0.1"),
            &["store.address", "127.0.0.1"],
        ),
        (
            "no discovery",
            |c| c["discovery"] = json!(8500),
            &["string"],
        ),
        ("seed", |c| c["seed"] = json!("xyz"), &["seed", "xyz"]),
        (
            "no classes",
            |c| c["settings"]["categories"] = json!([]),
            &["categories"],
        ),
        (
            "no class name",
            |c| c["settings"]["categories"][1]["name"] = json!("a b"),
            &["categories[1].name"],
        ),
        (
            "no channel",
            |c| c["settings"]["family-info"]["push-rate"] = json!(0),
            &["push-rate", "above 0"],
        ),
        (
            "no zone",
            |c| c["settings"]["my-zone"] = json!(7),
            &["my-zone"],
        ),
        (
            "no list",
            |c| c["known"] = json!({"revision": 1}),
            &["known"],
        ),
    ];
    for (what, bend, names) in bent {
        let mut config = example();
        bend(&mut config);
        let path = file("bad.json", &config.to_string());
        let path = path.to_str().expect("a path");
        let all: Vec<&str> = names.iter().copied().chain([path]).collect();
        println!("{what}");
        says(&run(&["check", path], None), 1, &all);
        says(&run(&["serve"], Some(path)), 1, &all);
    }
}

#[test]
fn a_file_that_is_not_there_or_no_json_is_told() {
    says(
        &run(&["serve"], Some("/nowhere/config.json")),
        1,
        &["/nowhere/config.json", "can't be read"],
    );
    let path = file("cut.json", "{\"name\": \"n0\",");
    says(
        &run(&["check", path.to_str().expect("a path")], None),
        1,
        &["line 1"],
    );
}

#[test]
fn an_address_that_is_taken_is_told() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut config = config();
    config["listen"] = json!(taken.local_addr().expect("an address").to_string());
    let path = file("taken.json", &config.to_string());
    says(
        &run(&["serve"], path.to_str()),
        1,
        &["listen", "can't be bound"],
    );
}
