//! Tables of a configuration: `columns` and `rows`. Cells are found by the name of their column; each error names its
//! field.

use crate::error::ValidationError;
use crate::json;
use facet_value::{VArray, VObject, Value};

/// Rows that a table may have (ours: far over what 64 MiB of tables would use).
const MAX_ROWS: usize = 100_000;

/// A table whose rows are all as long as its columns.
pub(crate) struct Table<'a> {
    field: &'a str,
    columns: Vec<String>,
    rows: Vec<&'a VArray>,
}

/// One row of a table.
pub(crate) struct Row<'a> {
    field: String,
    columns: &'a [String],
    cells: &'a VArray,
}

impl<'a> Table<'a> {
    /// Reads the table of a configuration's field.
    ///
    /// # Errors
    /// Columns that are no words, or stand twice; rows that are missing, have the wrong length, or are too many.
    pub(crate) fn read(table: &'a VObject, field: &'a str) -> Result<Table<'a>, ValidationError> {
        let columns = read_columns(table, field)?;
        let rows = read_rows(table, columns.len(), field)?;
        if rows.len() > MAX_ROWS {
            let reason = format!("has over {MAX_ROWS} rows");
            return Err(ValidationError::at(field, reason));
        }
        Ok(Table {
            field,
            columns,
            rows,
        })
    }

    /// The rows in their order.
    pub(crate) fn rows(&self) -> impl Iterator<Item = Row<'_>> {
        self.rows.iter().enumerate().map(|(index, cells)| Row {
            field: format!("{}.rows[{index}]", self.field),
            columns: &self.columns,
            cells,
        })
    }
}

fn read_columns(table: &VObject, field: &str) -> Result<Vec<String>, ValidationError> {
    let columns = json::required(table, "columns", field)?;
    let columns = json::list(columns, &format!("{field}.columns"))?;
    let mut names: Vec<String> = Vec::new();
    for (index, value) in columns.iter().enumerate() {
        let field = format!("{field}.columns[{index}]");
        let name = json::text(value, &field)?;
        if names.iter().any(|known| known == name) {
            return Err(ValidationError::at(&field, format!("{name} stands twice")));
        }
        names.push(name.to_string());
    }
    Ok(names)
}

fn read_rows<'a>(
    table: &'a VObject,
    column_count: usize,
    field: &str,
) -> Result<Vec<&'a VArray>, ValidationError> {
    let rows = json::required(table, "rows", field)?;
    let rows = json::list(rows, &format!("{field}.rows"))?;
    let mut found = Vec::new();
    for (index, row) in rows.iter().enumerate() {
        let field = format!("{field}.rows[{index}]");
        let cells = json::list(row, &field)?;
        if cells.len() != column_count {
            let reason = format!("has {} cells for {column_count} columns", cells.len());
            return Err(ValidationError::at(&field, reason));
        }
        found.push(cells);
    }
    Ok(found)
}

impl<'a> Row<'a> {
    /// The cell of a column; `None` if there is no such column, or the cell is null.
    pub(crate) fn cell(&self, column: &str) -> Option<&'a Value> {
        let index = self.columns.iter().position(|name| name == column)?;
        self.cells.get(index).filter(|value| !value.is_null())
    }

    /// The field of a cell, for errors.
    pub(crate) fn field(&self, column: &str) -> String {
        format!("{}.{column}", self.field)
    }

    /// An error at a cell.
    pub(crate) fn error(&self, column: &str, reason: impl Into<String>) -> ValidationError {
        ValidationError::at(&self.field(column), reason)
    }

    /// A text that must be there.
    ///
    /// # Errors
    /// It is missing or no text.
    pub(crate) fn text(&self, column: &str) -> Result<String, ValidationError> {
        self.optional_text(column)?
            .ok_or_else(|| self.error(column, "is missing"))
    }

    /// A text.
    ///
    /// # Errors
    /// It is no text.
    pub(crate) fn optional_text(&self, column: &str) -> Result<Option<String>, ValidationError> {
        let Some(value) = self.cell(column) else {
            return Ok(None);
        };
        json::text(value, &self.field(column)).map(|text| Some(text.to_string()))
    }

    /// A finite number.
    ///
    /// # Errors
    /// It is no number.
    pub(crate) fn optional_number(&self, column: &str) -> Result<Option<f64>, ValidationError> {
        self.cell(column)
            .map(|value| json::number(value, &self.field(column)))
            .transpose()
    }

    /// A whole number from 0 on.
    ///
    /// # Errors
    /// It is none.
    pub(crate) fn optional_whole_number(
        &self,
        column: &str,
    ) -> Result<Option<u64>, ValidationError> {
        self.cell(column)
            .map(|value| json::whole_number(value, &self.field(column)))
            .transpose()
    }

    /// True or false; false where there is no cell.
    ///
    /// # Errors
    /// It is neither.
    pub(crate) fn flag(&self, column: &str) -> Result<bool, ValidationError> {
        let Some(value) = self.cell(column) else {
            return Ok(false);
        };
        value
            .as_bool()
            .ok_or_else(|| self.error(column, "must be true or false"))
    }
}
