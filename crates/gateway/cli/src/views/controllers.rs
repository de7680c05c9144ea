//! A line for each controller: its status, its disk, who holds an operation key there.

use super::each::table_of_each;
use crate::control_api::ControllerPage;
use crate::error::CliError;
use crate::status_page::{ABSENT, Fields};

/// What each controller says of itself, and how many it knows of everything.
///
/// # Errors
/// [`CliError::InvalidPage`]: a page that can't be read.
pub fn status(pages: &[ControllerPage]) -> Result<String, CliError> {
    let headings = [
        "name",
        "epoch",
        "voters",
        "votes",
        "held",
        "committed",
        "claims",
        "peers",
        "gateways",
        "hosts",
        "refused",
    ];
    table_of_each(pages, &headings, |page| Some(status_row(page))).map(|table| table.to_string())
}

fn status_row(page: Fields<'_>) -> Vec<String> {
    let voting_set = page.object("set");
    let epoch = voting_set.map_or_else(|| ABSENT.into(), |set| set.text("number"));
    let voters = voting_set.map_or(0, |set| set.count("members"));
    // Sessions and messages that were refused, for all reasons.
    let refused = page.object("refused").map_or(0, Fields::sum);
    vec![
        page.text("name"),
        epoch,
        voters.to_string(),
        page.text("votes"),
        page.text("held"),
        page.text("in_force"),
        page.text("claims"),
        page.count("peers").to_string(),
        page.count("members").to_string(),
        page.count("hosts").to_string(),
        refused.to_string(),
    ]
}

/// What each controller's disk has done.
///
/// # Errors
/// [`CliError::InvalidPage`]: a page that can't be read.
pub fn disks(pages: &[ControllerPage]) -> Result<String, CliError> {
    let headings = [
        "name",
        "usable",
        "bytes",
        "syncs",
        "refused",
        "last ms",
        "most ms",
        "stalled ms",
    ];
    let fields = [
        "usable",
        "bytes",
        "syncs",
        "refused",
        "last_ms",
        "most_ms",
        "writing_ms",
    ];
    let row = |page: Fields<'_>| {
        let disk = page.object("disk")?;
        Some([vec![page.text("name")], disk.texts(&fields)].concat())
    };
    table_of_each(pages, &headings, row).map(|table| table.to_string())
}

/// Which claim holds an operation key, as each controller has it.
///
/// # Errors
/// [`CliError::InvalidPage`]: a page that can't be read.
pub fn operation_key(pages: &[ControllerPage]) -> Result<String, CliError> {
    let headings = ["held", "by", "incarnation", "number", "age s", "on disk"];
    let fields = ["held", "by", "incarnation", "number", "age_s", "on_disk"];
    table_of_each(pages, &headings, |page| Some(page.texts(&fields))).map(|table| table.to_string())
}
