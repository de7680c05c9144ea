//! Helpers that format JSON fragments for status pages and responses.

/// Formats `text` as a JSON string with quotes and escapes.
pub(crate) fn quoted(text: &str) -> String {
    facet_json::to_string(&text.to_string()).unwrap_or_else(|_| "\"?\"".into())
}

/// Formats `items` as a JSON array. `to_json` formats one item as JSON.
pub(crate) fn list<T>(items: impl IntoIterator<Item = T>, to_json: impl Fn(T) -> String) -> String {
    let items: Vec<String> = items.into_iter().map(to_json).collect();
    format!("[{}]", items.join(","))
}
