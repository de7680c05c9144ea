//! A table with one row per controller, built from its page or from the error of fetching it.

use crate::control_api::{CallError, ControllerPage};
use crate::error::CliError;
use crate::status_page::{Fields, StatusPage};
use crate::text_table::TextTable;

/// Builds a table with a row for each page, preceded by the controller's address. A controller whose page could not be
/// fetched gets a row with a note.
pub(super) fn controller_table(
    pages: &[ControllerPage],
    headings: &[&str],
    row: impl Fn(Fields<'_>) -> Option<Vec<String>>,
) -> Result<TextTable, CliError> {
    let mut table = TextTable::new(&[&["controller"], headings].concat());
    for ControllerPage { controller, page } in pages {
        match page {
            Err(error) => table.add_row(vec![controller.clone(), error_note(error)]),
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

/// Formats a call error as a note in parentheses.
pub(super) fn error_note(error: &CallError) -> String {
    format!("({error})")
}
