//! A controller whose disk refuses writes at startup must serve reads without voting, and vote once the disk recovers.

mod common;

use common::{Controllers, configuration, wait_until};
use std::fs;
use std::path::PathBuf;

/// The path at which a new state file is first created. A non-empty directory at this path makes the creation fail, as
/// on a full disk.
fn blocked_path(controllers: &Controllers, number: u32) -> PathBuf {
    controllers.data_directory(number).join("controller.new")
}

fn status_contains(controllers: &Controllers, number: u32, text: &str) -> bool {
    let page = controllers.status(number);
    page.is_some_and(|page| page.contains(text))
}

#[test]
fn seed_with_full_disk_serves_reads_and_votes_once_disk_recovers() {
    let controllers = Controllers::start_with(|controllers| {
        fs::create_dir_all(blocked_path(controllers, 1).join("in use"))
            .expect("create the blocking directory");
    });
    controllers.request_until_acknowledged(2, "PUT", "/-/configuration", &configuration(5));
    wait_until("controller 1 serves the committed configuration", || {
        let response = controllers.request(1, "GET", "/-/configuration", "");
        response.is_some_and(|response| {
            response.status == 200 && response.text.contains("\"version\":5")
        })
    });
    assert!(status_contains(&controllers, 1, r#""usable":false"#));
    assert!(status_contains(&controllers, 1, r#""votes":false"#));
    assert!(status_contains(&controllers, 2, r#""usable":true"#));
    // A majority of the other disks suffices to commit a configuration submitted to this controller.
    controllers.request_until_acknowledged(1, "PUT", "/-/configuration", &configuration(6));

    fs::remove_dir_all(blocked_path(&controllers, 1)).expect("remove the blocking directory");
    wait_until("the disk of controller 1 is usable", || {
        status_contains(&controllers, 1, r#""usable":true"#)
    });
    assert!(
        controllers
            .data_directory(1)
            .join("controller.redb")
            .exists()
    );
    wait_until("controller 1 votes", || {
        status_contains(&controllers, 1, r#""votes":true"#)
    });
    controllers.request_until_acknowledged(1, "PUT", "/-/configuration", &configuration(7));
}
