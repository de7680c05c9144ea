//! A controller whose disk refuses every write from the first start on, on loopback: it runs, serves reads, casts no vote,
//! and takes its place once the disk takes writes.

mod common;

use common::{Controllers, configuration, wait_until};
use std::fs;
use std::path::PathBuf;

/// Stands where a new state file is made, and can't be removed as a file: making one is refused, as on a full disk.
fn obstacle(controllers: &Controllers, number: u32) -> PathBuf {
    controllers.data_folder(number).join("controller.new")
}

fn page_says(controllers: &Controllers, number: u32, what: &str) -> bool {
    let page = controllers.status(number);
    page.is_some_and(|page| page.contains(what))
}

#[test]
fn a_seed_with_a_full_disk_serves_reads_and_takes_its_place_later() {
    let controllers = Controllers::start_with(|controllers| {
        fs::create_dir_all(obstacle(controllers, 1).join("in use")).expect("a folder");
    });
    controllers.request_until_acknowledged(2, "PUT", "/-/configuration", &configuration(5));
    wait_until("it reads what a majority holds", || {
        let answer = controllers.request(1, "GET", "/-/configuration", "");
        answer.is_some_and(|answer| answer.status == 200 && answer.text.contains("\"version\":5"))
    });
    assert!(page_says(&controllers, 1, r#""usable":false"#));
    assert!(page_says(&controllers, 1, r#""votes":false"#));
    assert!(page_says(&controllers, 2, r#""usable":true"#));
    // What needs no write of its own is taken at it, too.
    controllers.request_until_acknowledged(1, "PUT", "/-/configuration", &configuration(6));

    fs::remove_dir_all(obstacle(&controllers, 1)).expect("the folder");
    wait_until("its disk is used", || {
        page_says(&controllers, 1, r#""usable":true"#)
    });
    assert!(controllers.data_folder(1).join("controller.redb").exists());
    wait_until("it votes", || page_says(&controllers, 1, r#""votes":true"#));
    controllers.request_until_acknowledged(1, "PUT", "/-/configuration", &configuration(7));
}
