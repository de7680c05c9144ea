//! Values of a JSON body, checked; each error names its field.

use crate::error::ValidationError;
use facet_value::{VArray, VObject, Value};

/// The whole body.
///
/// # Errors
/// Bytes that are no UTF-8, or no JSON.
pub fn parse(body: &[u8]) -> Result<Value, ValidationError> {
    let text = std::str::from_utf8(body)
        .map_err(|error| ValidationError::at("body", format!("is no text: {error}")))?;
    facet_json::from_str(text)
        .map_err(|error| ValidationError::at("body", format!("can't be read: {error}")))
}

/// The object that a value must be.
///
/// # Errors
/// It is none.
pub fn object<'a>(value: &'a Value, field: &str) -> Result<&'a VObject, ValidationError> {
    value
        .as_object()
        .ok_or_else(|| ValidationError::at(field, "must be an object"))
}

/// The list that a value must be.
///
/// # Errors
/// It is none.
pub(crate) fn list<'a>(value: &'a Value, field: &str) -> Result<&'a VArray, ValidationError> {
    value
        .as_array()
        .ok_or_else(|| ValidationError::at(field, "must be a list"))
}

/// The text that a value must be.
///
/// # Errors
/// It is none.
pub fn text<'a>(value: &'a Value, field: &str) -> Result<&'a str, ValidationError> {
    value
        .as_string()
        .map(|text| text.as_str())
        .ok_or_else(|| ValidationError::at(field, "must be a word"))
}

/// A member of an object that must be there.
///
/// # Errors
/// It is missing.
pub fn required<'a>(
    object: &'a VObject,
    name: &str,
    field: &str,
) -> Result<&'a Value, ValidationError> {
    object
        .get(name)
        .ok_or_else(|| ValidationError::at(field, format!("{name} is missing")))
}

/// A whole number from 0 on, also one that is written with a fraction of 0.
///
/// # Errors
/// No number, or no whole one, or one below 0.
pub fn whole_number(value: &Value, field: &str) -> Result<u64, ValidationError> {
    let number = value
        .as_number()
        .ok_or_else(|| ValidationError::at(field, "must be a number"))?;
    let without_fraction = || {
        let float = number.to_f64()?;
        (float.fract() == 0.0 && float >= 0.0).then_some(float as u64)
    };
    number
        .to_u64()
        .or_else(without_fraction)
        .ok_or_else(|| ValidationError::at(field, "must be a whole number from 0 on"))
}

/// A finite number.
///
/// # Errors
/// No number.
pub fn number(value: &Value, field: &str) -> Result<f64, ValidationError> {
    value
        .as_number()
        .and_then(|number| number.to_f64())
        .filter(|number| number.is_finite())
        .ok_or_else(|| ValidationError::at(field, "must be a number"))
}
