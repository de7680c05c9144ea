//! Typed access to the values of a JSON body. The accessors take the path of the value as `field` for error messages.

use crate::error::ValidationError;
use facet_value::{VArray, VObject, Value};

/// Maximum nesting of arrays and objects. The parser uses stack for each level, and a configuration has six.
const MAX_DEPTH: usize = 64;

/// Parses a JSON body.
///
/// # Errors
/// The body is not valid UTF-8, nested too deeply or not valid JSON. The error names the position and quotes nothing of
/// the body, which may contain secrets such as API keys.
pub fn parse(body: &[u8]) -> Result<Value, ValidationError> {
    let text = std::str::from_utf8(body)
        .map_err(|error| ValidationError::at("body", format!("is no text: {error}")))?;
    check_depth(text)?;
    facet_json::from_str(text).map_err(|error| {
        let position = error
            .span
            .map_or_else(String::new, |span| format!(" at byte {}", span.offset));
        ValidationError::at("body", format!("is no valid JSON{position}"))
    })
}

/// A bracket outside of strings.
struct Bracket {
    offset: usize,
    /// Number of arrays and objects that are open after it.
    depth: usize,
}

/// Finds the brackets of a JSON text, without recursion.
fn brackets(text: &str) -> impl Iterator<Item = Bracket> {
    let (mut depth, mut is_in_string, mut is_escaped) = (0_usize, false, false);
    text.bytes().enumerate().filter_map(move |(offset, byte)| {
        if is_in_string {
            is_in_string = is_escaped || byte != b'"';
            is_escaped = !is_escaped && byte == b'\\';
            return None;
        }
        match byte {
            b'"' => is_in_string = true,
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        matches!(byte, b'[' | b'{' | b']' | b'}').then_some(Bracket { offset, depth })
    })
}

/// Checks that arrays and objects are nested at most [`MAX_DEPTH`] levels deep.
fn check_depth(text: &str) -> Result<(), ValidationError> {
    match brackets(text).find(|bracket| bracket.depth > MAX_DEPTH) {
        Some(bracket) => {
            let offset = bracket.offset;
            let reason = format!("is nested over {MAX_DEPTH} levels deep at byte {offset}");
            Err(ValidationError::at("body", reason))
        }
        None => Ok(()),
    }
}

/// Checks that only white space follows the object or array in a body that [`parse`] accepts. Apart from [`parse`], since
/// texts that earlier releases have acknowledged may have more after their end.
///
/// # Errors
/// Something follows.
pub(crate) fn check_end(body: &[u8]) -> Result<(), ValidationError> {
    let text = String::from_utf8_lossy(body);
    let end = brackets(&text).find(|bracket| bracket.depth == 0);
    let rest = end.map_or("", |end| &text[end.offset + 1..]);
    if rest.trim_ascii().is_empty() {
        return Ok(());
    }
    let offset = text.len() - rest.len();
    let reason = format!("ends at byte {offset}, and something follows");
    Err(ValidationError::at("body", reason))
}

/// Returns the value as an object.
///
/// # Errors
/// The value is not an object.
pub fn object<'a>(value: &'a Value, field: &str) -> Result<&'a VObject, ValidationError> {
    value
        .as_object()
        .ok_or_else(|| ValidationError::at(field, "must be an object"))
}

/// Returns the value as an array.
///
/// # Errors
/// The value is not an array.
pub(crate) fn list<'a>(value: &'a Value, field: &str) -> Result<&'a VArray, ValidationError> {
    value
        .as_array()
        .ok_or_else(|| ValidationError::at(field, "must be a list"))
}

/// Returns the value as a string.
///
/// # Errors
/// The value is not a string.
pub fn text<'a>(value: &'a Value, field: &str) -> Result<&'a str, ValidationError> {
    value
        .as_string()
        .map(|text| text.as_str())
        .ok_or_else(|| ValidationError::at(field, "must be a word"))
}

/// Returns a required member of an object. `field` is the path of the object.
///
/// # Errors
/// The object has no member of this name.
pub fn required<'a>(
    object: &'a VObject,
    name: &str,
    field: &str,
) -> Result<&'a Value, ValidationError> {
    object
        .get(name)
        .ok_or_else(|| ValidationError::at(field, format!("{name} is missing")))
}

/// Returns the value as a non-negative integer. A number with a zero fraction, such as `7.0`, is accepted.
///
/// # Errors
/// The value is not a number, not an integer, or negative.
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

/// Returns the value as a finite number.
///
/// # Errors
/// The value is not a number, or not finite.
pub fn number(value: &Value, field: &str) -> Result<f64, ValidationError> {
    value
        .as_number()
        .and_then(|number| number.to_f64())
        .filter(|number| number.is_finite())
        .ok_or_else(|| ValidationError::at(field, "must be a number"))
}
