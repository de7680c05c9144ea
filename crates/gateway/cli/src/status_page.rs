//! Lenient access to the fields of controllers' JSON pages: pages of other releases may have additional fields or lack
//! some.

use crate::error::CliError;
use facet_value::{VObject, Value};

/// Text shown for a field that a page does not have.
pub(crate) const ABSENT: &str = "-";

/// A parsed JSON page of a controller.
pub(crate) struct StatusPage(Value);

impl StatusPage {
    /// Parses the text of a page.
    ///
    /// # Errors
    /// [`CliError::InvalidPage`] if the text is not valid JSON.
    pub(crate) fn read(text: &str) -> Result<StatusPage, CliError> {
        let value = facet_json::from_str(text);
        value
            .map(StatusPage)
            .map_err(|error| CliError::InvalidPage(error.to_string()))
    }

    /// Returns the fields of the page; `None` if the page is not a JSON object.
    pub(crate) fn fields(&self) -> Option<Fields<'_>> {
        self.0.as_object().map(Fields)
    }
}

/// Fields of a page, or of an object within it.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a>(&'a VObject);

impl<'a> Fields<'a> {
    /// Returns a field as text, or [`ABSENT`] if it is missing. Booleans become `yes` or `no`; fractions are shown with
    /// one decimal.
    pub(crate) fn text(self, name: &str) -> String {
        let text = self.0.get(name).and_then(display_text);
        text.unwrap_or_else(|| ABSENT.into())
    }

    /// Returns several fields as text, as [`Fields::text`] does.
    pub(crate) fn texts(self, names: &[&str]) -> Vec<String> {
        names.iter().map(|name| self.text(name)).collect()
    }

    /// Returns the fields of a nested object; `None` if it is missing or not an object.
    pub(crate) fn object(self, name: &str) -> Option<Fields<'a>> {
        self.0.get(name)?.as_object().map(Fields)
    }

    /// Returns the objects in a list; empty if the list is missing.
    pub(crate) fn objects(self, name: &str) -> Vec<Fields<'a>> {
        let items = self.items(name);
        items.filter_map(Value::as_object).map(Fields).collect()
    }

    /// Returns the items of a list of strings; items of other types become empty strings.
    pub(crate) fn strings(self, name: &str) -> Vec<String> {
        let string = |item: &Value| item.as_string().map(|string| string.as_str().to_string());
        self.items(name)
            .map(|item| string(item).unwrap_or_default())
            .collect()
    }

    /// Returns the number of items in a list; 0 if the list is missing.
    pub(crate) fn count(self, name: &str) -> usize {
        self.items(name).count()
    }

    /// Returns the sum of all non-negative integers among the fields.
    pub(crate) fn sum(self) -> u64 {
        let numbers = self.0.iter().filter_map(|(_, value)| value.as_number());
        numbers.filter_map(|number| number.to_u64()).sum()
    }

    fn items(self, name: &str) -> impl Iterator<Item = &'a Value> {
        let list = self.0.get(name).and_then(Value::as_array);
        list.into_iter().flat_map(|list| list.iter())
    }
}

/// Formats a string, boolean or number; `None` for other values.
fn display_text(value: &Value) -> Option<String> {
    if let Some(string) = value.as_string() {
        return Some(string.as_str().to_string());
    }
    if let Some(is_true) = value.as_bool() {
        return Some(if is_true { "yes" } else { "no" }.into());
    }
    let number = value.as_number()?;
    let whole = number.to_u64().map(|whole| whole.to_string());
    let fraction = || number.to_f64().map(|fraction| format!("{fraction:.1}"));
    Some(whole.or_else(fraction).unwrap_or_default())
}
