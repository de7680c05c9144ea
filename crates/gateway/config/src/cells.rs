//! Tables of `columns` and `rows`: cells by the name of their column, each error with its place.

use crate::invalid::Invalid;
use facet_value::{VObject, Value};

/// One row of a table, and where it stands.
pub struct Row<'a> {
    pub place: String,
    columns: &'a [String],
    cells: Vec<&'a Value>,
}

fn field<'a>(of: &'a VObject, name: &str, place: &str) -> Result<&'a Value, Invalid> {
    of.get(name)
        .ok_or_else(|| Invalid::at(place, format!("{name} is missing")))
}

/// The object that a value must be.
pub fn object<'a>(value: &'a Value, place: &str) -> Result<&'a VObject, Invalid> {
    value
        .as_object()
        .ok_or_else(|| Invalid::at(place, "must be an object"))
}

/// A field of an object that must be there.
pub fn needed<'a>(of: &'a VObject, name: &str, place: &str) -> Result<&'a Value, Invalid> {
    field(of, name, place)
}

/// A whole number from 0 on.
pub fn whole(value: &Value, place: &str) -> Result<u64, Invalid> {
    let number = value
        .as_number()
        .ok_or_else(|| Invalid::at(place, "must be a number"))?;
    let whole = number.to_u64().or_else(|| {
        number
            .to_f64()
            .filter(|f| f.fract() == 0.0 && *f >= 0.0)
            .map(|f| f as u64)
    });
    whole.ok_or_else(|| Invalid::at(place, "must be a whole number from 0 on"))
}

/// A finite number.
pub fn number(value: &Value, place: &str) -> Result<f64, Invalid> {
    let found = value
        .as_number()
        .and_then(|n| n.to_f64())
        .filter(|f| f.is_finite());
    found.ok_or_else(|| Invalid::at(place, "must be a number"))
}

/// Names of columns of a table: words, each once.
pub fn columns(table: &VObject, place: &str) -> Result<Vec<String>, Invalid> {
    let place = format!("{place}.columns");
    let list = field(table, "columns", place.trim_end_matches(".columns"))?;
    let list = list
        .as_array()
        .ok_or_else(|| Invalid::at(&place, "must be a list"))?;
    let mut names: Vec<String> = Vec::new();
    for (k, value) in list.iter().enumerate() {
        let name = value
            .as_string()
            .ok_or_else(|| Invalid::at(&format!("{place}[{k}]"), "must be a word"))?;
        if names.iter().any(|n| n == name.as_str()) {
            return Err(Invalid::at(
                &format!("{place}[{k}]"),
                format!("{} stands twice", name.as_str()),
            ));
        }
        names.push(name.as_str().to_string());
    }
    Ok(names)
}

/// The rows of a table, each as long as its columns.
pub fn rows<'a>(
    table: &'a VObject,
    columns: &'a [String],
    place: &str,
) -> Result<Vec<Row<'a>>, Invalid> {
    let list = field(table, "rows", place)?;
    let list = list
        .as_array()
        .ok_or_else(|| Invalid::at(&format!("{place}.rows"), "must be a list"))?;
    let mut rows = Vec::new();
    for (k, row) in list.iter().enumerate() {
        let place = format!("{place}.rows[{k}]");
        let cells = row
            .as_array()
            .ok_or_else(|| Invalid::at(&place, "must be a list"))?;
        if cells.len() != columns.len() {
            let text = format!("has {} cells for {} columns", cells.len(), columns.len());
            return Err(Invalid::at(&place, text));
        }
        rows.push(Row {
            place,
            columns,
            cells: cells.iter().collect(),
        });
    }
    Ok(rows)
}

impl<'a> Row<'a> {
    /// The cell of a column; none if the column is not there or the cell is null.
    pub fn cell(&self, name: &str) -> Option<&'a Value> {
        let at = self.columns.iter().position(|c| c == name)?;
        self.cells.get(at).copied().filter(|v| !v.is_null())
    }

    pub fn at(&self, name: &str) -> String {
        format!("{}.{name}", self.place)
    }

    /// A word that must be there.
    pub fn word(&self, name: &str) -> Result<String, Invalid> {
        self.maybe_word(name)?
            .ok_or_else(|| Invalid::at(&self.at(name), "is missing"))
    }

    pub fn maybe_word(&self, name: &str) -> Result<Option<String>, Invalid> {
        let Some(value) = self.cell(name) else {
            return Ok(None);
        };
        let word = value
            .as_string()
            .ok_or_else(|| Invalid::at(&self.at(name), "must be a word"))?;
        Ok(Some(word.as_str().to_string()))
    }

    pub fn maybe_number(&self, name: &str) -> Result<Option<f64>, Invalid> {
        self.cell(name)
            .map(|v| number(v, &self.at(name)))
            .transpose()
    }

    pub fn maybe_whole(&self, name: &str) -> Result<Option<u64>, Invalid> {
        self.cell(name)
            .map(|v| whole(v, &self.at(name)))
            .transpose()
    }

    pub fn flag(&self, name: &str) -> Result<bool, Invalid> {
        let Some(value) = self.cell(name) else {
            return Ok(false);
        };
        value
            .as_bool()
            .ok_or_else(|| Invalid::at(&self.at(name), "must be true or false"))
    }
}
