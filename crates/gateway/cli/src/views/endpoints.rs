//! Tables of the hosts and endpoint tables that one controller reports.

use crate::control_api::SuccessResponse;
use crate::error::CliError;
use crate::status_page::StatusPage;
use crate::text_table::TextTable;

/// Renders the hosts with their states and the time since their last heartbeat.
///
/// # Errors
/// [`CliError::InvalidPage`] if the page is not valid JSON.
pub fn hosts(reply: &SuccessResponse) -> Result<String, CliError> {
    let page = StatusPage::read(&reply.body)?;
    let mut table = TextTable::new(&["host", "service", "address", "zone", "state", "age s"]);
    let fields = ["id", "service", "address", "zone", "state", "age_s"];
    for host in page
        .fields()
        .into_iter()
        .flat_map(|page| page.objects("hosts"))
    {
        table.add_row(host.texts(&fields));
    }
    Ok(format!("as {} sees them\n{table}", reply.controller))
}

/// Renders the endpoint tables with the gateways that are bound to them.
///
/// # Errors
/// [`CliError::InvalidPage`] if the page is not valid JSON.
pub fn tables(reply: &SuccessResponse) -> Result<String, CliError> {
    let page = StatusPage::read(&reply.body)?;
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
    Ok(format!("as {} orders them\n{table}", reply.controller))
}
