//! Table of the usage duty as each controller knows it.

use super::controller_table::controller_table;
use crate::control_api::ControllerPage;
use crate::error::CliError;
use crate::status_page::{ABSENT, Fields};

/// Fields of the duty that are shown as they are.
const FIELDS: [&str; 6] = [
    "sequence",
    "holder",
    "fence",
    "known_for_s",
    "settled_through",
    "undelivered",
];

/// Renders the duty's holder, its fence, for how many seconds the controller has known of that fence, the last window
/// with a settled report, and the number of reports that wait for delivery.
///
/// # Errors
/// [`CliError::InvalidPage`] if a page is not valid JSON.
pub fn duty(pages: &[ControllerPage]) -> Result<String, CliError> {
    let headings = [
        "name",
        "sequence",
        "holder",
        "fence",
        "for s",
        "settled through",
        "undelivered",
    ];
    let table = controller_table(pages, &headings, |page| Some(duty_row(page)))?;
    Ok(table.to_string())
}

fn duty_row(page: Fields<'_>) -> Vec<String> {
    let duty = page.object("usage_duty");
    let cell = |name: &str| duty.map_or_else(|| ABSENT.into(), |duty| duty.text(name));
    let mut row = vec![page.text("name")];
    row.extend(FIELDS.iter().map(|name| cell(name)));
    row
}
