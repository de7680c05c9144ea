//! Views of the status pages of three controllers, the third of which does not respond.

use rushcourse_cli::control_api::{CallError, ControllerPage};
use rushcourse_cli::views::{disks, duty, members, status, voters};
use rushcourse_types::Epoch;

fn page(name: &str, epoch: Epoch, is_primary: bool) -> String {
    format!(
        r#"{{"name":"{name}","set":{{"number":{epoch},"members":["10.0.0.1","10.0.0.2","10.0.0.3"]}},
        "complete_state":true,"votes":true,"held":7,"in_force":7,"claims":2,"peers":["10.0.0.2"],
        "disk":{{"usable":true,"bytes":4096,"syncs":9,"refused":1,"last_ms":0.5,"most_ms":31.0,"writing_ms":null}},
        "sessions":[{{"id":1,"name":"front-1","address":"10.0.0.9","zone":"n","role":"gateway","primary":{is_primary}}},
        {{"id":2,"name":"core-2","address":"10.0.0.2","zone":"n","role":"controller","primary":false}}],
        "members":["10.0.0.9"],"hosts":[],"refused":{{"other machine":2,"unreadable":1}},"tables":[]}}"#
    )
}

fn pages() -> Vec<ControllerPage> {
    let of = |controller: &str, page| ControllerPage {
        controller: controller.into(),
        page,
    };
    vec![
        of("10.0.0.1:80", Ok(page("core-1", Epoch(1), false))),
        of("10.0.0.2:80", Ok(page("core-2", Epoch(2), true))),
        of("10.0.0.3:80", Err(CallError::TimedOut)),
    ]
}

/// Splits a table into its non-empty cells, row by row.
fn cells(table: &str) -> Vec<Vec<&str>> {
    table
        .lines()
        .map(|line| {
            let cells = line.split("  ").map(str::trim);
            cells.filter(|cell| !cell.is_empty()).collect()
        })
        .collect()
}

#[test]
fn voters_view_shows_reached_members_and_differing_sets() {
    let table = voters(&pages()).expect("a table");
    let rows = cells(&table);
    assert_eq!(
        rows[1],
        [
            "10.0.0.1:80",
            "core-1",
            "1",
            "10.0.0.1,10.0.0.2,10.0.0.3",
            "2",
            "yes",
            "yes",
            "7"
        ]
    );
    assert_eq!(rows[3], ["10.0.0.3:80", "(no answer)"]);
    assert_eq!(rows[4], ["controllers differ: not all vote in one epoch"]);
    assert!(!voters(&pages()[..1]).expect("a table").contains("differ"));
}

#[test]
fn members_view_shows_primary_controller() {
    let table = members(&pages()).expect("a table");
    assert_eq!(
        cells(&table)[1],
        ["front-1", "10.0.0.9", "n", "core-2", "core-1,core-2"]
    );
    assert!(table.ends_with("10.0.0.3:80  (no answer)\n"), "{table}");
}

#[test]
fn disks_view_shows_refusals_and_status_view_their_sum() {
    let table = disks(&pages()).expect("a table");
    assert_eq!(
        cells(&table)[1],
        [
            "10.0.0.1:80",
            "core-1",
            "yes",
            "4096",
            "9",
            "1",
            "0.5",
            "31",
            "-"
        ]
    );
    let table = status(&pages()).expect("a table");
    assert_eq!(
        cells(&table)[1].last(),
        Some(&"3"),
        "refused, for all reasons: {table}"
    );
}

#[test]
fn duty_view_shows_the_holder_or_that_there_is_none() {
    let of = |controller: &str, page: &str| ControllerPage {
        controller: controller.into(),
        page: Ok(page.into()),
    };
    let held = r#"{"name":"core-1","usage_duty":{"sequence":9,"holder":"core-2","fence":4,"known_for_s":12.5,
        "settled_through":353687574,"undelivered":2}}"#;
    let table = duty(&[
        of("10.0.0.1:80", held),
        of("10.0.0.2:80", r#"{"name":"core-2","usage_duty":null}"#),
    ]);
    let table = table.expect("a table");
    let rows = cells(&table);
    assert_eq!(
        rows[1],
        [
            "10.0.0.1:80",
            "core-1",
            "9",
            "core-2",
            "4",
            "12.5",
            "353687574",
            "2"
        ]
    );
    assert_eq!(
        rows[2],
        ["10.0.0.2:80", "core-2", "-", "-", "-", "-", "-", "-"]
    );
}
