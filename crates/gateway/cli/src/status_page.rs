//! Pages of controllers, read field by field: a page of a later version may have more fields, one of an earlier version
//! may lack some.

use crate::error::CliError;
use facet_value::{VObject, Value};

/// What stands for a field that a page does not have.
pub(crate) const ABSENT: &str = "-";

/// A page of a controller.
pub(crate) struct StatusPage(Value);

impl StatusPage {
    /// Reads a page.
    ///
    /// # Errors
    /// [`CliError::InvalidPage`] if it is no JSON.
    pub(crate) fn read(text: &str) -> Result<StatusPage, CliError> {
        let value = facet_json::from_str(text);
        value
            .map(StatusPage)
            .map_err(|error| CliError::InvalidPage(error.to_string()))
    }

    /// The fields of the page; none if it is no object.
    pub(crate) fn fields(&self) -> Option<Fields<'_>> {
        self.0.as_object().map(Fields)
    }
}

/// The fields of a page, or of an object in it.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a>(&'a VObject);

impl<'a> Fields<'a> {
    /// A field as text, or [`ABSENT`]. A truth value is `yes` or `no`, a fraction has one digit.
    pub(crate) fn text(self, name: &str) -> String {
        let text = self.0.get(name).and_then(display_text);
        text.unwrap_or_else(|| ABSENT.into())
    }

    /// Several fields as text.
    pub(crate) fn texts(self, names: &[&str]) -> Vec<String> {
        names.iter().map(|name| self.text(name)).collect()
    }

    /// An object in this one.
    pub(crate) fn object(self, name: &str) -> Option<Fields<'a>> {
        self.0.get(name)?.as_object().map(Fields)
    }

    /// The objects of a list.
    pub(crate) fn objects(self, name: &str) -> Vec<Fields<'a>> {
        let items = self.items(name);
        items.filter_map(Value::as_object).map(Fields).collect()
    }

    /// The strings of a list.
    pub(crate) fn strings(self, name: &str) -> Vec<String> {
        let string = |item: &Value| item.as_string().map(|string| string.as_str().to_string());
        self.items(name)
            .map(|item| string(item).unwrap_or_default())
            .collect()
    }

    /// How many items a list has.
    pub(crate) fn count(self, name: &str) -> usize {
        self.items(name).count()
    }

    /// The sum of all whole numbers in this object.
    pub(crate) fn sum(self) -> u64 {
        let numbers = self.0.iter().filter_map(|(_, value)| value.as_number());
        numbers.filter_map(|number| number.to_u64()).sum()
    }

    fn items(self, name: &str) -> impl Iterator<Item = &'a Value> {
        let list = self.0.get(name).and_then(Value::as_array);
        list.into_iter().flat_map(|list| list.iter())
    }
}

/// A string, truth value or number as text.
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
