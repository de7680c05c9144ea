//! Hosts and endpoint tables as one controller sees them.

use crate::control_api::SuccessResponse;
use crate::error::CliError;
use crate::status_page::StatusPage;
use crate::text_table::TextTable;

/// The hosts, with their state and the age of the last word from them.
///
/// # Errors
/// [`CliError::InvalidPage`]: the page can't be read.
pub fn hosts(answer: &SuccessResponse) -> Result<String, CliError> {
    let page = StatusPage::read(&answer.body)?;
    let mut table = TextTable::new(&["host", "service", "address", "zone", "state", "age s"]);
    let fields = ["id", "service", "address", "zone", "state", "age_s"];
    for host in page
        .fields()
        .into_iter()
        .flat_map(|page| page.objects("hosts"))
    {
        table.add_row(host.texts(&fields));
    }
    Ok(format!("as {} sees them\n{table}", answer.controller))
}

/// The endpoint tables, with the gateways that are bound to each.
///
/// # Errors
/// [`CliError::InvalidPage`]: the page can't be read.
pub fn tables(answer: &SuccessResponse) -> Result<String, CliError> {
    let page = StatusPage::read(&answer.body)?;
    let mut table = TextTable::new(&["service", "table", "gateways", "endpoints"]);
    for shown in page
        .fields()
        .into_iter()
        .flat_map(|page| page.objects("tables"))
    {
        let mut cells = shown.texts(&["service", "table", "gateways"]);
        cells.push(shown.count("endpoints").to_string());
        table.add_row(cells);
    }
    Ok(format!("as {} orders them\n{table}", answer.controller))
}
