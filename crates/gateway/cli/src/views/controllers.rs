//! Tables with one row per controller: status, disk statistics, and the claim on an operation key.

use super::controller_table::controller_table;
use crate::control_api::ControllerPage;
use crate::error::CliError;
use crate::status_page::{ABSENT, Fields};

/// Renders the status of each controller with the numbers of its claims, peers, gateways and hosts.
///
/// # Errors
/// [`CliError::InvalidPage`] if a page is not valid JSON.
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
    controller_table(pages, &headings, |page| Some(status_row(page))).map(|table| table.to_string())
}

fn status_row(page: Fields<'_>) -> Vec<String> {
    let voting_set = page.object("set");
    let epoch = voting_set.map_or_else(|| ABSENT.into(), |set| set.text("number"));
    let voters = voting_set.map_or(0, |set| set.count("members"));
    // The field counts refused sessions and messages by reason; the table shows the total.
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

/// Renders the disk statistics of each controller.
///
/// # Errors
/// [`CliError::InvalidPage`] if a page is not valid JSON.
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
    controller_table(pages, &headings, row).map(|table| table.to_string())
}

/// Renders the claim that holds an operation key according to each controller.
///
/// # Errors
/// [`CliError::InvalidPage`] if a page is not valid JSON.
pub fn operation_key(pages: &[ControllerPage]) -> Result<String, CliError> {
    let headings = ["held", "by", "incarnation", "number", "age s", "on disk"];
    let fields = ["held", "by", "incarnation", "number", "age_s", "on_disk"];
    controller_table(pages, &headings, |page| Some(page.texts(&fields)))
        .map(|table| table.to_string())
}
