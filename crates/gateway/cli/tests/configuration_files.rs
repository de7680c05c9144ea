//! Runs `rushctl` on configuration files: tenants are shown, and never an API key.

use std::path::PathBuf;
use std::process::{Command, Output};

const CONFIGURATION: &str = r#"{"version":7,
"routes":{"columns":["name","host","path_prefix","route_kind","priority","service"],"rows":[["r1","a.example","/x/","read_only",2,"s1"]]},
"services":{"columns":["name"],"rows":[["s1"]]},"limits":{}}"#;
const OLD_TENANTS: &str = r#"{"columns":["name","api_keys","priority"],
"rows":[["t1",["key-a","key-b"],0],["t2",["key-c"],null],["t3",["key-d"],null],["t4",["key-e"],1]]}"#;
/// `t1` with another key, `t2` with another priority, `t3` removed, `t4` unchanged and `t5` added.
const NEW_TENANTS: &str = r#"{"columns":["name","api_keys","priority"],
"rows":[["t5",["key-g","key-h","key-i"],null],["t1",["key-f","key-b"],0],["t2",["key-c"],5],["t4",["key-e"],1]]}"#;

/// Configuration files, which are removed in the end.
struct Files(PathBuf);

impl Files {
    fn new(test: &str) -> Files {
        let name = format!("rushctl-{test}-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("create the directory");
        Files(directory)
    }

    /// Writes a configuration, with `tenants` unless that is empty, and returns the path.
    fn write(&self, name: &str, tenants: &str) -> String {
        let text = if tenants.is_empty() {
            CONFIGURATION.to_string()
        } else {
            CONFIGURATION.replacen(
                r#""limits":{}"#,
                &format!(r#""limits":{{}},"tenants":{tenants}"#),
                1,
            )
        };
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("write the file");
        path.display().to_string()
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn rushctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_rushctl"))
        .args(arguments)
        .output()
        .expect("rushctl runs")
}

/// Runs a command that succeeds and returns its output, after a check that it holds no key.
fn printed(arguments: &[&str]) -> String {
    let output = rushctl(arguments);
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(output.status.success(), "{text}");
    assert!(!text.contains("key-"), "{text}");
    text
}

#[test]
fn diff_shows_changes_of_tenants_without_their_keys() {
    let files = Files::new("diff");
    let old = files.write("old", OLD_TENANTS);
    let new = files.write("new", NEW_TENANTS);
    // The digits are the beginnings of `printf key-f | sha256sum` and `printf key-a | sha256sum`.
    let expected = "version 7 to 7
+ tenant t5: 3 API keys, priority -
~ tenant t1: +key eae1d6d6 -key f10f7812
~ tenant t2: priority - to 5
- tenant t3: 1 API keys, priority -
";
    assert_eq!(printed(&["diff", &old, &new]), expected);
    assert_eq!(printed(&["diff", &new, &new]), "version 7 to 7\n");
}

#[test]
fn diff_shows_that_tenants_are_introduced_or_abolished() {
    let files = Files::new("introduced");
    let without = files.write("without", "");
    let with = files.write("with", r#"{"columns":["name"],"rows":[["t1"]]}"#);
    let introduced = "version 7 to 7
+ tenants: requests need an API key from now on
+ tenant t1: 0 API keys, priority -
";
    assert_eq!(printed(&["diff", &without, &with]), introduced);
    let abolished = "version 7 to 7
- tenants: requests need no API key from now on
- tenant t1: 0 API keys, priority -
";
    assert_eq!(printed(&["diff", &with, &without]), abolished);
}

#[test]
fn check_counts_tenants_and_keys() {
    let files = Files::new("check");
    let with = files.write("with", OLD_TENANTS);
    let text = printed(&["check", &with]);
    assert_eq!(text, "version 7: valid, 4 tenants with 5 API keys\n");
    let without = files.write("without", "");
    assert_eq!(printed(&["check", &without]), "version 7: valid\n");
}

#[test]
fn check_refuses_a_key_of_two_tenants_without_printing_it() {
    let files = Files::new("shared");
    let shared = files.write("shared", &OLD_TENANTS.replacen("key-e", "key-a", 1));
    let output = rushctl(&["check", &shared]);
    let error = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(1), "{error}");
    assert!(error.contains("tenants.rows[3].api_keys"), "{error}");
    assert!(!error.contains("key-"), "{error}");
}

#[test]
fn order_has_a_rank_for_each_priority_of_the_tenants() {
    let files = Files::new("order");
    let text = printed(&["order", &files.write("with", OLD_TENANTS)]);
    let priorities: Vec<&str> = text
        .lines()
        .skip(1)
        .filter_map(|line| line.split_whitespace().rev().nth(1))
        .collect();
    assert_eq!(priorities, ["2", "1", "0"], "{text}");
}
