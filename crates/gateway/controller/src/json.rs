//! Pieces of JSON that pages and answers are put together from.

/// A text as a JSON string.
pub(crate) fn quoted(text: &str) -> String {
    facet_json::to_string(&text.to_string()).unwrap_or_else(|_| "\"?\"".into())
}

/// A JSON list of items, each already JSON by `show`.
pub(crate) fn list<T>(items: impl IntoIterator<Item = T>, show: impl Fn(T) -> String) -> String {
    let items: Vec<String> = items.into_iter().map(show).collect();
    format!("[{}]", items.join(","))
}
