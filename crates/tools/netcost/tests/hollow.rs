//! The hollow run's command line, and the limit of a voter that it has to show.

use std::process::{Command, Output};

fn netcost(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_netcost"))
        .args(arguments)
        .output()
        .expect("netcost starts")
}

#[test]
fn a_part_prints_one_row() {
    let output = netcost(&["hollow", "keys", "8"]);
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).expect("text");
    let cells: Vec<&str> = text.trim().split('|').map(str::trim).collect();
    assert_eq!(cells[..3], ["30000", "30000", "0"], "{text}");
    assert_eq!(text.lines().count(), 1);
}

#[test]
fn a_voter_takes_claims_up_to_its_limit_and_rejects_the_others() {
    let output = netcost(&["hollow", "keys", "1"]);
    let text = String::from_utf8(output.stdout).expect("text");
    let cells: Vec<&str> = text.trim().split('|').map(str::trim).collect();
    assert_eq!(cells[..3], ["240000", "200000", "40000"], "{text}");
}

#[test]
fn a_gateway_takes_the_tables_of_all_services() {
    let output = netcost(&["hollow", "gateway", "8"]);
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(text.trim().starts_with("1750 |       46 |"), "{text}");
}

#[test]
fn unknown_arguments_end_with_code_1() {
    for arguments in [
        &["hollow", "moon", "1"][..],
        &["hollow", "keys", "many"],
        &["hollow", "keys"],
        &["moon"],
    ] {
        let output = netcost(arguments);
        assert_eq!(output.status.code(), Some(1), "{arguments:?}");
        assert!(!output.stderr.is_empty());
    }
}
