//! A table with rows of each controller's page, or the reason why there is none.

use crate::control_api::{CallError, ControllerPage};
use crate::error::CliError;
use crate::status_page::{Fields, StatusPage};
use crate::text_table::TextTable;

/// Rows of all pages that came, with the controller in front; a remark for each controller that did not answer.
pub(super) fn table_of_each(
    pages: &[ControllerPage],
    headings: &[&str],
    row: impl Fn(Fields<'_>) -> Option<Vec<String>>,
) -> Result<TextTable, CliError> {
    let mut table = TextTable::new(&[&["controller"], headings].concat());
    for ControllerPage { controller, page } in pages {
        match page {
            Err(error) => table.add_row(vec![controller.clone(), remark(error)]),
            Ok(text) => {
                let page = StatusPage::read(text)?;
                if let Some(cells) = page.fields().and_then(&row) {
                    table.add_row([vec![controller.clone()], cells].concat());
                }
            }
        }
    }
    Ok(table)
}

/// Why there is no page.
pub(super) fn remark(error: &CallError) -> String {
    format!("({error})")
}
