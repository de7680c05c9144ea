//! Tables of a configuration, JSON objects with `columns` and `rows`. Cells are looked up by column name.

use crate::error::ValidationError;
use crate::json;
use facet_value::{VArray, VObject, Value};

/// Tables with more rows are rejected.
const MAX_ROWS: usize = 100_000;

/// A table in which every row has one cell per column.
pub(crate) struct Table<'a> {
    field: &'a str,
    columns: Vec<String>,
    rows: Vec<&'a VArray>,
}

/// A row of a table, with its path for error messages.
pub(crate) struct Row<'a> {
    field: String,
    columns: &'a [String],
    cells: &'a VArray,
}

impl<'a> Table<'a> {
    /// Parses a table. `field` is its path in the configuration.
    ///
    /// # Errors
    /// Columns or rows are missing, a column name is not a string or is duplicated, a row has the wrong number of
    /// cells, or the table has too many rows.
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
    let mut row_cells = Vec::new();
    for (index, row) in rows.iter().enumerate() {
        let field = format!("{field}.rows[{index}]");
        let cells = json::list(row, &field)?;
        if cells.len() != column_count {
            let reason = format!("has {} cells for {column_count} columns", cells.len());
            return Err(ValidationError::at(&field, reason));
        }
        row_cells.push(cells);
    }
    Ok(row_cells)
}

impl<'a> Row<'a> {
    /// Returns the cell of a column; `None` if the column doesn't exist or the cell is null.
    pub(crate) fn cell(&self, column: &str) -> Option<&'a Value> {
        let index = self.columns.iter().position(|name| name == column)?;
        self.cells.get(index).filter(|value| !value.is_null())
    }

    /// Returns the path of a cell for error messages, such as `routes.rows[1].service`.
    pub(crate) fn field(&self, column: &str) -> String {
        format!("{}.{column}", self.field)
    }

    /// Creates an error for the cell of a column.
    pub(crate) fn error(&self, column: &str, reason: impl Into<String>) -> ValidationError {
        ValidationError::at(&self.field(column), reason)
    }

    /// Returns the string in a required cell.
    ///
    /// # Errors
    /// The cell is missing, null or not a string.
    pub(crate) fn text(&self, column: &str) -> Result<String, ValidationError> {
        self.optional_text(column)?
            .ok_or_else(|| self.error(column, "is missing"))
    }

    /// Returns the string in a cell; `None` if the cell is missing or null.
    ///
    /// # Errors
    /// The cell is not a string.
    pub(crate) fn optional_text(&self, column: &str) -> Result<Option<String>, ValidationError> {
        let Some(value) = self.cell(column) else {
            return Ok(None);
        };
        json::text(value, &self.field(column)).map(|text| Some(text.to_string()))
    }

    /// Returns the finite number in a cell; `None` if the cell is missing or null.
    ///
    /// # Errors
    /// The cell is not a finite number.
    pub(crate) fn optional_number(&self, column: &str) -> Result<Option<f64>, ValidationError> {
        self.cell(column)
            .map(|value| json::number(value, &self.field(column)))
            .transpose()
    }

    /// Returns the non-negative integer in a cell; `None` if the cell is missing or null.
    ///
    /// # Errors
    /// The cell is not a non-negative integer.
    pub(crate) fn optional_whole_number(
        &self,
        column: &str,
    ) -> Result<Option<u64>, ValidationError> {
        self.cell(column)
            .map(|value| json::whole_number(value, &self.field(column)))
            .transpose()
    }

    /// Returns the boolean in a cell; false if the cell is missing or null.
    ///
    /// # Errors
    /// The cell is not a boolean.
    pub(crate) fn flag(&self, column: &str) -> Result<bool, ValidationError> {
        let Some(value) = self.cell(column) else {
            return Ok(false);
        };
        value
            .as_bool()
            .ok_or_else(|| self.error(column, "must be true or false"))
    }
}
